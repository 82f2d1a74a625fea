#include "RequestReader.h"

#include "HttpHead.h"

#include <iterator>

namespace tanagerlanding {

namespace {

namespace http = boost::beast::http;

constexpr unsigned Http10 = 10;

RelayRefusalReason refusalReasonFor(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit)
    return RelayRefusalReason::HeadersTooLarge;
  if (Error == http::error::body_limit)
    return RelayRefusalReason::BodyTooLarge;
  return RelayRefusalReason::Malformed;
}

/// Returns whether the end of a request's body is unambiguous. Otherwise a
/// second request could be smuggled past a peer that parses it differently.
bool hasUnambiguousLength(const http::request_header<> &Head) {
  const auto Codings = Head.equal_range(http::field::transfer_encoding);
  if (Codings.first == Codings.second)
    return Head.count(http::field::content_length) <= 1;
  const bool IsOne = std::next(Codings.first) == Codings.second;
  return IsOne && boost::beast::iequals(Codings.first->value(), "chunked") &&
         Head.count(http::field::content_length) == 0;
}

} // namespace

RequestReader::RequestReader(const CallerLimits &Limits) : Limits(Limits) {
  this->Parser.eager(true);
  this->Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  this->Parser.body_limit(Limits.BodyBytes);
}

Result<bool, RelayRefusalReason>
RequestReader::read(boost::beast::flat_buffer &Input) {
  boost::system::error_code Error;
  Input.consume(this->Parser.put(Input.data(), Error));
  if (Error && Error != http::error::need_more)
    return refusalReasonFor(Error);
  if (!this->hasHead())
    return false;
  if (!hasUnambiguousLength(this->Parser.get().base()))
    return RelayRefusalReason::Malformed;
  if (this->Parser.is_done())
    return true;
  // The parser consumes a chunk's first line and a trailer only as a whole.
  if (this->Limits.HeaderBytes < Input.size())
    return RelayRefusalReason::HeadersTooLarge;
  return false;
}

bool RequestReader::isContinueExpected() const {
  return this->hasHead() &&
         boost::beast::iequals(this->Parser.get()[http::field::expect],
                               "100-continue");
}

bool RequestReader::isHttp10() const {
  return this->Parser.get().version() <= Http10;
}

bool RequestReader::isCloseRequested() const {
  return !this->Parser.get().keep_alive();
}

std::size_t RequestReader::bodyCapacity() const {
  return this->Parser.get().body().capacity();
}

RawRequest RequestReader::take() {
  auto Message = this->Parser.release();
  RawRequest Raw;
  Raw.Method = std::string(Message.method_string());
  Raw.Target = std::string(Message.target());
  Raw.Headers = endToEndFields(Message.base());
  Raw.Body = std::move(Message.body());
  return Raw;
}

} // namespace tanagerlanding
