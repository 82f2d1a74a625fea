/// \file
/// Reading of one HTTP/1.1 request from the bytes of a connection.
#ifndef TANAGERLANDING_HTTP_REQUESTREADER_H
#define TANAGERLANDING_HTTP_REQUESTREADER_H

#include "tanagerlanding/http/CallerProtocol.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

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

  bool hasHead() const { return this->Head.has_value(); }
  /// Returns whether the client waits for 100 Continue before it sends the
  /// body.
  bool isContinueExpected() const {
    return this->Head && this->Head->IsContinueExpected;
  }
  /// The following are valid once hasHead() returns true.
  bool isHttp10() const { return this->Head->IsHttp10; }
  /// Returns whether the client closes its connection after the response.
  bool isCloseRequested() const { return this->Head->IsCloseRequested; }
  /// Return the memory that the body and the head's fields occupy so far, in
  /// bytes.
  std::size_t bodyCapacity() const;
  std::size_t headBytes() const { return this->HeadBytes; }

  /// Returns the complete request. Fields of a trailer are not part of it, as
  /// a field may be merged into the head only if its definition allows it
  /// (RFC 9110, section 6.5.1).
  RawRequest take();

private:
  /// What a head states.
  struct ReadHead {
    /// Without a body.
    RawRequest Request;
    bool IsHttp10 = false;
    bool IsCloseRequested = false;
    bool IsContinueExpected = false;
  };

  /// Keeps the head of the message, to which the parser adds the fields of a
  /// trailer. Returns false if the length of the body is ambiguous.
  bool adoptHead();

  const CallerLimits Limits;
  boost::beast::http::request_parser<boost::beast::http::string_body> Parser;
  std::optional<ReadHead> Head;
  std::size_t HeadBytes = 0;
};

} // namespace tanagerlanding

#endif
