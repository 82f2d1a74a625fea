/// \file
/// Journal records as bytes.
#ifndef TANAGERLANDING_WIRE_RECORDCODEC_H
#define TANAGERLANDING_WIRE_RECORDCODEC_H

#include "tanagerlanding/decision/Records.h"

#include <string>
#include <string_view>

namespace tanagerlanding {

/// Returns a record's bytes.
std::string encodeRecord(const Record &Content);

/// Returns the record, or fails where the bytes are not a whole record of a
/// known type.
Result<Record, DecodeError> decodeRecord(std::string_view Bytes);

} // namespace tanagerlanding

#endif
