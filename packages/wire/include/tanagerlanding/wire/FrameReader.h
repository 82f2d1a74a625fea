/// \file
/// Frames on a byte stream: four bytes of length, little-endian, then a
/// message.
#ifndef TANAGERLANDING_WIRE_FRAMEREADER_H
#define TANAGERLANDING_WIRE_FRAMEREADER_H

#include "tanagerlanding/basics.h"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerlanding {

/// The longest frame that is taken, in bytes.
constexpr std::size_t MaxFrameBytes = 64 * 1024 * 1024;

/// Returns Payload with its length in front.
std::string makeFrame(std::string_view Payload);

/// Cuts a byte stream into frames. Feed it with append(), then call next()
/// until it has no frame left. See MessageCodec for what a frame holds.
class FrameReader {
public:
  FrameReader() = default;
  FrameReader(const FrameReader &) = delete;
  FrameReader &operator=(const FrameReader &) = delete;

  /// Adds bytes as they came from the stream.
  void append(std::string_view Bytes);

  /// Returns the next whole payload, or nothing if more bytes are needed.
  /// Fails where a length is over MaxFrameBytes; the stream is then useless.
  Result<std::optional<std::string>, DecodeError> next();

private:
  std::string Buffer;
  std::size_t Start = 0;
};

} // namespace tanagerlanding

#endif
