#include "tanagerlanding/wire/FrameReader.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <utility>

namespace tanagerlanding {

std::string makeFrame(std::string_view Payload) {
  std::string Frame;
  Frame.reserve(FrameReader::PrefixBytes + Payload.size());
  Frame.resize(FrameReader::PrefixBytes);
  flatbuffers::WriteScalar(Frame.data(),
                           static_cast<std::uint32_t>(Payload.size()));
  Frame.append(Payload);
  return Frame;
}

void FrameReader::append(std::string_view Bytes) {
  this->Unread.erase(0, this->Start);
  this->Start = 0;
  this->Unread.append(Bytes);
}

Result<std::optional<std::string>, DecodeError> FrameReader::next() {
  if (!this->Length) {
    if (this->Unread.size() - this->Start < PrefixBytes)
      return std::optional<std::string>();
    this->Length = flatbuffers::ReadScalar<std::uint32_t>(this->Unread.data() +
                                                          this->Start);
    this->Start += PrefixBytes;
    if (*this->Length > MaxFrameBytes)
      return DecodeError{DecodeError::Kind::TooLarge};
    this->Payload.reserve(*this->Length);
  }
  const std::size_t Count = std::min<std::size_t>(
      *this->Length - this->Payload.size(), this->Unread.size() - this->Start);
  this->Payload.append(this->Unread, this->Start, Count);
  this->Start += Count;
  if (this->Payload.size() < *this->Length)
    return std::optional<std::string>();
  this->Length.reset();
  return std::optional<std::string>(std::exchange(this->Payload, {}));
}

} // namespace tanagerlanding
