/// \file
/// Serialization of messages.
#ifndef TANAGERLANDING_WIRE_MESSAGECODEC_H
#define TANAGERLANDING_WIRE_MESSAGECODEC_H

#include "tanagerlanding/decision/Messages.h"

#include <string>
#include <string_view>

namespace tanagerlanding {

/// Returns a message's serialized bytes, without a length prefix.
std::string encodeMessage(const Message &Body);

/// Returns the same with a length prefix; see FrameReader.
std::string encodeFrame(const Message &Body);

/// Returns the deserialized message. Fails with Malformed if the bytes are not
/// a complete, valid message, and with UnknownType if its type is unknown.
Result<Message, DecodeError> decodeMessage(std::string_view Bytes);

} // namespace tanagerlanding

#endif
