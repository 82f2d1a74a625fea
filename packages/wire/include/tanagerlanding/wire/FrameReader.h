/// \file
/// Length-prefixed frames on a byte stream: a four-byte little-endian length,
/// then the payload.
#ifndef TANAGERLANDING_WIRE_FRAMEREADER_H
#define TANAGERLANDING_WIRE_FRAMEREADER_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerlanding {

/// Maximum payload size of a frame, in bytes.
constexpr std::size_t MaxFrameBytes = 64 * 1024 * 1024;

/// Returns Payload with its length prefix.
std::string makeFrame(std::string_view Payload);

/// Splits a byte stream into frames. Add bytes with append(), then call next()
/// until it returns no payload. See MessageCodec for the payload's encoding.
class FrameReader {
public:
  static constexpr std::size_t PrefixBytes = 4;

  FrameReader() = default;
  FrameReader(const FrameReader &) = delete;
  FrameReader &operator=(const FrameReader &) = delete;

  /// Appends bytes received from the stream.
  void append(std::string_view Bytes);

  /// Returns the next complete payload, or nothing if more bytes are needed.
  /// Fails with TooLarge if a length exceeds MaxFrameBytes; the stream can't
  /// be read any further then.
  Result<std::optional<std::string>, DecodeError> next();

  /// Returns the payload size of the frame that has begun and is not complete,
  /// or 0.
  std::size_t incompleteBytes() const { return this->Length.value_or(0); }

private:
  /// Bytes of which those before Start are read.
  std::string Unread;
  std::size_t Start = 0;
  /// The frame that has begun.
  std::optional<std::uint32_t> Length;
  std::string Payload;
};

} // namespace tanagerlanding

#endif
