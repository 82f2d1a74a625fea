/// \file
/// The index of a replica's durable records.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERRECORDS_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERRECORDS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Enters a durable batch into the index. Age is the time since it was
/// written.
void indexBatch(LedgerContext &Context, const LedgerBatch &Batch,
                RecordPlace Place, Milliseconds Age);

/// Enters a claim that is not durable yet, so that later readers see it.
void noteClaim(LedgerState &State, const TokensClaimed &Record,
               Milliseconds Retention);

/// Returns the records of a batch that the index does not have yet.
LedgerBatch withoutKnown(const LedgerState &State, LedgerBatch Batch);

/// Returns all claims of a program.
std::vector<TokenClaim> claimsOf(const LedgerState &State,
                                 const ProgramId &Program);

/// Forgets what has expired, and drops segments that nothing needs any more.
void sweepRecords(LedgerContext &Context);

/// The known part of the chain that ends with a turn.
struct KnownChain {
  /// Oldest first.
  std::vector<std::pair<TurnId, RecordPlace>> Turns;
  std::optional<TurnId> MissingTurn;
};

/// Returns the chain that ends with Last, which the index has.
KnownChain chainOf(const LedgerState &State, const TurnId &Last);

} // namespace tanagerlanding

#endif
