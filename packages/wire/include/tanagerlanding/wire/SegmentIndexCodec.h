/// \file
/// The index of a segment as bytes.
#ifndef TANAGERLANDING_WIRE_SEGMENTINDEXCODEC_H
#define TANAGERLANDING_WIRE_SEGMENTINDEXCODEC_H

#include "tanagerlanding/decision/ledger/SegmentIndex.h"

#include <functional>
#include <string>
#include <string_view>

namespace tanagerlanding {

std::string encodeSegmentIndex(const SegmentIndex &Index);

/// Hands out the batches of an index in their order, with places in Segment.
/// Returns false, and hands out none, where Bytes are not the index of a
/// segment with this identity.
bool decodeSegmentIndex(std::string_view Bytes, std::uint64_t Segment,
                        const SegmentIdentity &Identity,
                        const std::function<void(IndexedBatch)> &Visit);

} // namespace tanagerlanding

#endif
