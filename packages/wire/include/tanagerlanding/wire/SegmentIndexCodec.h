/// \file
/// Serialization of segment indexes.
#ifndef TANAGERLANDING_WIRE_SEGMENTINDEXCODEC_H
#define TANAGERLANDING_WIRE_SEGMENTINDEXCODEC_H

#include "tanagerlanding/decision/ledger/SegmentIndex.h"

#include <functional>
#include <string>
#include <string_view>

namespace tanagerlanding {

std::string encodeSegmentIndex(const SegmentIndex &Index);

/// Calls Visit with each batch of an index in order, with its location in
/// Segment. Returns false without calling Visit if Bytes are not a valid index
/// of a segment with this identity.
bool decodeSegmentIndex(std::string_view Bytes, std::uint64_t Segment,
                        const SegmentIdentity &Identity,
                        const std::function<void(IndexedBatch)> &Visit);

} // namespace tanagerlanding

#endif
