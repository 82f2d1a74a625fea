#include "tanagerlanding/decision/ledger/SegmentIndex.h"

#include <algorithm>
#include <utility>

namespace tanagerlanding {

namespace {

using ClaimKey = std::pair<ProgramId, Fingerprint>;

ClaimKey keyOf(const TokenClaimRecord &Claimed) {
  return {Claimed.Program, Claimed.Claim.Turn};
}

std::set<ClaimKey> settledClaims(const std::vector<IndexedBatch> &Batches) {
  std::set<ClaimKey> Settled;
  for (const IndexedBatch &Each : Batches) {
    for (const LedgerRecord &Record : Each.Batch.Records) {
      const auto *Claimed = std::get_if<TokenClaimRecord>(&Record);
      if (Claimed && Claimed->Claim.IsSettled)
        Settled.insert(keyOf(*Claimed));
    }
  }
  return Settled;
}

} // namespace

LedgerBatch withoutText(LedgerBatch Batch) {
  for (LedgerRecord &Each : Batch.Records) {
    if (auto *Kept = std::get_if<TurnRecord>(&Each)) {
      Kept->OmittedBytes = Kept->textBytes();
      Kept->Input = SharedText();
      Kept->Output = SharedText();
    }
  }
  return Batch;
}

std::vector<IndexedBatch> withoutSuperseded(std::vector<IndexedBatch> Batches) {
  const std::set<ClaimKey> Settled = settledClaims(Batches);
  const auto IsSuperseded = [&Settled](const LedgerRecord &Record) {
    const auto *Claimed = std::get_if<TokenClaimRecord>(&Record);
    return Claimed && !Claimed->Claim.IsSettled &&
           Settled.count(keyOf(*Claimed)) > 0;
  };
  Batches.erase(std::remove_if(Batches.begin(), Batches.end(),
                               [&](const IndexedBatch &Each) {
                                 const auto &Records = Each.Batch.Records;
                                 return std::all_of(Records.begin(),
                                                    Records.end(),
                                                    IsSuperseded);
                               }),
                Batches.end());
  return Batches;
}

} // namespace tanagerlanding
