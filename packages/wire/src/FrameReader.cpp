#include "tanagerlanding/wire/FrameReader.h"

#include <flatbuffers/base.h>

namespace tanagerlanding {

namespace {

constexpr std::size_t LengthPrefixBytes = 4;

} // namespace

std::string makeFrame(std::string_view Payload) {
  std::string Frame(LengthPrefixBytes, '\0');
  flatbuffers::WriteScalar(Frame.data(),
                           static_cast<std::uint32_t>(Payload.size()));
  Frame.append(Payload);
  return Frame;
}

void FrameReader::append(std::string_view Bytes) {
  this->Buffer.erase(0, this->Start);
  this->Start = 0;
  this->Buffer.append(Bytes);
}

Result<std::optional<std::string>, DecodeError> FrameReader::next() {
  const std::size_t Available = this->Buffer.size() - this->Start;
  if (Available < LengthPrefixBytes)
    return std::optional<std::string>();
  const char *Begin = this->Buffer.data() + this->Start;
  const auto Length = flatbuffers::ReadScalar<std::uint32_t>(Begin);
  if (Length > MaxFrameBytes)
    return DecodeError{DecodeError::Kind::TooLarge};
  if (Available < LengthPrefixBytes + Length)
    return std::optional<std::string>();
  std::string Payload(Begin + LengthPrefixBytes, Length);
  this->Start += LengthPrefixBytes + Length;
  return std::optional<std::string>(std::move(Payload));
}

} // namespace tanagerlanding
