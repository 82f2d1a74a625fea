/// \file
/// Reading and writing of HTTP message heads with Boost.Beast.
#ifndef TANAGERLANDING_HTTP_HTTPHEAD_H
#define TANAGERLANDING_HTTP_HTTPHEAD_H

#include "tanagerlanding/decision/relay/CallerRequest.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace tanagerlanding {

/// Returns the end-to-end fields in order, that is, without hop-by-hop fields
/// and Content-Length.
HeaderFields endToEndFields(const boost::beast::http::fields &Fields);

/// Returns the memory that fields occupy, in bytes; several times their size on
/// the wire if they are short.
std::size_t bytesOf(const HeaderFields &Headers);

/// How the end of a message's body is marked.
struct BodyFraming {
  enum class Kind { None, ContentLength, Chunked, UntilClose };
  Kind Type = Kind::None;
  std::size_t Bytes = 0;
};

/// Returns the head of a response.
std::string writeResponseHead(std::uint16_t Status, const HeaderFields &Headers,
                              BodyFraming Body, bool ShouldClose);

/// Returns the head of a request.
std::string writeRequestHead(const std::string &Method,
                             const std::string &Target,
                             const HeaderFields &Headers, BodyFraming Body);

/// Returns one chunk of a chunked body.
std::string writeChunk(const std::string &Bytes);
/// Returns the last chunk, which ends a chunked body.
std::string writeLastChunk();

} // namespace tanagerlanding

#endif
