/// \file
/// The index of a closed segment of a replica's data folder, which contains the
/// data of the segment that the replica needs at start-up.
#ifndef TANAGERLANDING_DECISION_LEDGER_SEGMENTINDEX_H
#define TANAGERLANDING_DECISION_LEDGER_SEGMENTINDEX_H

#include "tanagerlanding/decision/ledger/LedgerState.h"

#include <vector>

namespace tanagerlanding {

/// A batch without the text of its turns, and its location. A batch that is
/// superseded as a whole by other batches of the same segment has no entry.
struct IndexedBatch {
  BatchLocation Place;
  LedgerBatch Batch;
};

/// Distinguishes a segment from an earlier one with the same number: a folder
/// that lost its segments numbers new ones from 1 again.
struct SegmentIdentity {
  std::uint64_t Bytes = 0;
  Fingerprint FirstPayload;

  bool operator==(const SegmentIdentity &Other) const {
    return this->Bytes == Other.Bytes &&
           this->FirstPayload == Other.FirstPayload;
  }
};

struct SegmentIndex {
  SegmentIdentity Identity;
  std::vector<IndexedBatch> Batches;
};

/// Returns the batch without the inputs and outputs of its turns.
LedgerBatch withoutText(LedgerBatch Batch);

/// Returns the batches of a segment without those that hold only open claims
/// that are settled in another batch of the segment.
std::vector<IndexedBatch> withoutSuperseded(std::vector<IndexedBatch> Batches);

} // namespace tanagerlanding

#endif
