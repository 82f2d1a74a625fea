/// \file
/// Heads of HTTP messages on Boost.Beast.
#ifndef TANAGERLANDING_RELAY_HTTPHEAD_H
#define TANAGERLANDING_RELAY_HTTPHEAD_H

#include "tanagerlanding/decision/relay/CallerRequest.h"

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string>

namespace tanagerlanding {

/// Returns the fields in order, without those that concern one connection
/// only and without lengths.
HeaderFields endToEndFields(const boost::beast::http::fields &Fields);

/// What stands behind the headers of a message.
struct BodyForm {
  enum class Kind { None, Length, Chunks, UntilClose };
  Kind Form = Kind::None;
  std::size_t Bytes = 0;
};

/// Returns the head of an answer.
std::string writeAnswerHead(std::uint16_t Status, const HeaderFields &Headers,
                            BodyForm Body, bool ShouldClose);

/// Returns the head of a request.
std::string writeRequestHead(const std::string &Method,
                             const std::string &Target,
                             const HeaderFields &Headers, BodyForm Body);

/// Returns one chunk of a chunked body.
std::string writeChunk(const std::string &Bytes);
/// Returns the end of a chunked body.
std::string writeLastChunk();

} // namespace tanagerlanding

#endif
