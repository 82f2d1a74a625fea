/// \file
/// Messages as bytes.
#ifndef TANAGERLANDING_WIRE_MESSAGECODEC_H
#define TANAGERLANDING_WIRE_MESSAGECODEC_H

#include "tanagerlanding/decision/Messages.h"

#include <string>
#include <string_view>

namespace tanagerlanding {

/// Returns a message's bytes, without a length in front.
std::string encodeMessage(const Message &Body);

/// Returns the message, or fails where the bytes are not a whole message of a
/// known type.
Result<Message, DecodeError> decodeMessage(std::string_view Bytes);

} // namespace tanagerlanding

#endif
