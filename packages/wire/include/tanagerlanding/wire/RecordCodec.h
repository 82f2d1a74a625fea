/// \file
/// Serialization of journal records.
#ifndef TANAGERLANDING_WIRE_RECORDCODEC_H
#define TANAGERLANDING_WIRE_RECORDCODEC_H

#include "tanagerlanding/decision/Records.h"

#include <string>
#include <string_view>

namespace tanagerlanding {

/// Returns a record's serialized bytes.
std::string encodeRecord(const Record &Content);

/// Returns the deserialized record. Fails with Malformed if the bytes are not
/// a complete, valid record, and with UnknownType if its type is unknown.
Result<Record, DecodeError> decodeRecord(std::string_view Bytes);

} // namespace tanagerlanding

#endif
