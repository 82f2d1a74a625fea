/// \file
/// What a replica needs of an ended segment of its data folder at its start.
#ifndef TANAGERLANDING_DECISION_LEDGER_SEGMENTINDEX_H
#define TANAGERLANDING_DECISION_LEDGER_SEGMENTINDEX_H

#include "tanagerlanding/decision/ledger/LedgerState.h"

#include <vector>

namespace tanagerlanding {

/// A batch without the text of its turns, and its place. A batch of which a
/// later one in the same segment says all, or more, has no entry.
struct IndexedBatch {
  RecordPlace Place;
  LedgerBatch Batch;
};

/// Tells one segment from another that has had the same number: a folder that
/// lost its segments counts from one again.
struct SegmentIdentity {
  std::uint64_t Bytes = 0;
  Fingerprint FirstPayload;

  bool operator==(const SegmentIdentity &Other) const {
    return this->Bytes == Other.Bytes &&
           this->FirstPayload == Other.FirstPayload;
  }
};

/// The index of one ended segment.
struct SegmentIndex {
  SegmentIdentity Identity;
  std::vector<IndexedBatch> Batches;
};

/// Returns the batch without its turns' inputs and outputs.
LedgerBatch withoutText(LedgerBatch Batch);

/// Returns a segment's batches without those that hold nothing but claims
/// which are settled in another batch of it.
std::vector<IndexedBatch> withoutSuperseded(std::vector<IndexedBatch> Batches);

} // namespace tanagerlanding

#endif
