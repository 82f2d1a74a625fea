/// \file
/// Reading of one HTTP/1.1 request from the bytes of a connection.
#ifndef TANAGERLANDING_RELAY_REQUESTREADER_H
#define TANAGERLANDING_RELAY_REQUESTREADER_H

#include "tanagerlanding/relay/RelayProtocol.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace tanagerlanding {

/// Reads one request, within limits, as its bytes arrive.
///
/// Call read() whenever bytes were added to the input, until it returns true or
/// an error, then take(). See CallerServer for the connections.
class RequestReader {
public:
  explicit RequestReader(const CallerLimits &Limits);

  /// Consumes what has arrived of the request. Returns whether it is complete,
  /// or why it must be refused. What remains in the input afterwards is at most
  /// CallerLimits::HeaderBytes of a head, a chunk's first line or a trailer, or
  /// bytes behind the request.
  Result<bool, RelayRefusalReason> read(boost::beast::flat_buffer &Input);

  bool hasHead() const { return this->Parser.is_header_done(); }
  /// Returns whether the client waits for 100 Continue before it sends the
  /// body.
  bool isContinueExpected() const;
  bool isHttp10() const;
  /// Returns whether the client closes its connection after the response.
  bool isCloseRequested() const;
  /// Returns the memory that the body occupies so far, in bytes.
  std::size_t bodyCapacity() const;

  /// Returns the complete request.
  RawRequest take();

private:
  const CallerLimits Limits;
  boost::beast::http::request_parser<boost::beast::http::string_body> Parser;
};

} // namespace tanagerlanding

#endif
