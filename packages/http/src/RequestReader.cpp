#include "RequestReader.h"

#include "tanagerlanding/http/HttpHead.h"

#include <iterator>

namespace tanagerlanding {

namespace {

namespace http = boost::beast::http;

constexpr unsigned Http10 = 10;
/// A body may occupy this part more than its size.
constexpr std::size_t MaxSlackPart = 8;

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
  this->Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  this->Parser.body_limit(Limits.BodyBytes);
}

Result<bool, RelayRefusalReason>
RequestReader::read(boost::beast::flat_buffer &Input) {
  boost::system::error_code Error;
  Input.consume(this->Parser.put(Input.data(), Error));
  if (!Error && !this->Head) {
    if (!this->adoptHead())
      return RelayRefusalReason::Malformed;
    if (Input.size() > 0 && !this->Parser.is_done())
      Input.consume(this->Parser.put(Input.data(), Error));
  }
  if (Error && Error != http::error::need_more)
    return refusalReasonFor(Error);
  if (!this->Head)
    return false;
  if (this->Parser.is_done())
    return true;
  // The parser consumes a chunk's first line and a trailer only as a whole.
  if (this->Limits.HeaderBytes < Input.size())
    return RelayRefusalReason::HeadersTooLarge;
  return false;
}

bool RequestReader::adoptHead() {
  auto &Message = this->Parser.get();
  if (!hasUnambiguousLength(Message.base()))
    return false;
  ReadHead NewHead;
  NewHead.Request.Method = std::string(Message.method_string());
  NewHead.Request.Target = std::string(Message.target());
  NewHead.Request.Headers = endToEndFields(Message.base());
  NewHead.IsHttp10 = Message.version() <= Http10;
  NewHead.IsCloseRequested = !Message.keep_alive();
  NewHead.IsContinueExpected =
      boost::beast::iequals(Message[http::field::expect], "100-continue");
  this->HeadBytes = bytesOf(NewHead.Request.Headers);
  this->Head = std::move(NewHead);
  // The parser's own copy of the fields is not needed for the body.
  Message.base().clear();
  this->Parser.eager(true);
  return true;
}

std::size_t RequestReader::bodyCapacity() const {
  return this->Parser.get().body().capacity();
}

RawRequest RequestReader::take() {
  RawRequest Raw = std::move(this->Head->Request);
  Raw.Body = std::move(this->Parser.get().body());
  // A chunked body grows by doubling.
  if (Raw.Body.size() + Raw.Body.size() / MaxSlackPart < Raw.Body.capacity())
    Raw.Body.shrink_to_fit();
  return Raw;
}

} // namespace tanagerlanding
