#include "tanagerlanding/http/HttpHead.h"

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <vector>

namespace tanagerlanding {

namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;

constexpr unsigned HttpVersion = 11;
/// Hop-by-hop fields and those that delimit a body.
constexpr const char *ConnectionFields[] = {
    "Connection",         "Keep-Alive", "Proxy-Connection", "TE",
    "Transfer-Encoding",  "Trailer",    "Upgrade",          "Content-Length",
    "Proxy-Authenticate", "Expect",
};

bool isConnectionField(string_view Name) {
  return std::any_of(std::begin(ConnectionFields), std::end(ConnectionFields),
                     [&](const char *Each) { return iequals(Name, Each); });
}

/// Returns whether the message's Connection header lists a field.
bool isNamedByConnection(const http::fields &Fields, string_view Name) {
  const auto Range = Fields.equal_range(http::field::connection);
  return std::any_of(Range.first, Range.second, [&](const auto &Each) {
    return http::token_list(Each.value()).exists(Name);
  });
}

void addBodyFields(http::fields &Fields, BodyFraming Body) {
  if (Body.Type == BodyFraming::Kind::ContentLength)
    Fields.insert(http::field::content_length, std::to_string(Body.Bytes));
  else if (Body.Type == BodyFraming::Kind::Chunked)
    Fields.insert(http::field::transfer_encoding, "chunked");
}

template <typename Head> std::string serializeHead(const Head &Message) {
  std::ostringstream Out;
  Out << Message;
  return Out.str();
}

} // namespace

HeaderFields endToEndFields(const http::fields &Fields) {
  HeaderFields Kept;
  Kept.reserve(
      static_cast<std::size_t>(std::distance(Fields.begin(), Fields.end())));
  for (const auto &Each : Fields) {
    if (!isConnectionField(Each.name_string()) &&
        !isNamedByConnection(Fields, Each.name_string()))
      Kept.emplace_back(Each.name_string(), Each.value());
  }
  return Kept;
}

std::size_t bytesOf(const HeaderFields &Headers) {
  std::size_t Sum = Headers.capacity() * sizeof(HeaderFields::value_type);
  for (const auto &[Name, Value] : Headers) {
    for (const std::string *Text : {&Name, &Value})
      Sum += Text->capacity() < sizeof(std::string) ? 0 : Text->capacity();
  }
  return Sum;
}

std::string writeResponseHead(std::uint16_t Status, const HeaderFields &Headers,
                              BodyFraming Body, bool ShouldClose) {
  http::response_header<> Head;
  Head.version(HttpVersion);
  Head.result(Status);
  for (const auto &[Name, Value] : Headers)
    Head.insert(Name, Value);
  addBodyFields(Head, Body);
  if (ShouldClose)
    Head.insert(http::field::connection, "close");
  return serializeHead(Head);
}

std::string writeRequestHead(const std::string &Method,
                             const std::string &Target,
                             const HeaderFields &Headers, BodyFraming Body) {
  http::request_header<> Head;
  Head.version(HttpVersion);
  Head.method_string(Method);
  Head.target(Target);
  for (const auto &[Name, Value] : Headers)
    Head.insert(Name, Value);
  addBodyFields(Head, Body);
  return serializeHead(Head);
}

std::string writeChunk(const std::string &Bytes) {
  return boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::buffer(Bytes)));
}

std::string writeLastChunk() {
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

} // namespace tanagerlanding
