/// \file
/// The in-memory index of a replica's durable records.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERRECORDS_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERRECORDS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Extends the expiry of a turn and of all turns before it in its chain.
/// Returns the newest turn of the chain that is missing, if any.
std::optional<TurnId> extendChain(LedgerState &State, const TurnId &Last,
                                  Instant NewExpiry);

/// Adds a durable batch to the index, and confirms the closes that have waited
/// for its turns. Age is the time since the batch was written.
void indexBatch(LedgerContext &Context, const LedgerBatch &Batch,
                BatchLocation Place, Milliseconds Age);

/// Adds a claim that is not durable yet, so that later reads include it.
void addPendingClaim(LedgerState &State, const TokenClaimRecord &Record,
                     Milliseconds Retention);

/// Returns a batch without the records that are already in the index.
LedgerBatch withoutKnown(const LedgerState &State, LedgerBatch Batch);

/// Makes the records of another replica's batch durable that are not in the
/// index yet. Returns the ticket of the write, or nothing if all are known.
std::optional<std::uint64_t> persistCopy(LedgerContext &Context,
                                         const LedgerBatch &Batch);

std::vector<TokenClaim> claimsOf(const LedgerState &State,
                                 const ProgramId &Program);

/// Removes expired records from the index, and drops segments without live
/// records.
void sweepRecords(LedgerContext &Context);

/// The part of a chain of turns that is in the index.
struct TurnChain {
  /// Oldest first.
  std::vector<std::pair<TurnId, BatchLocation>> Turns;
  /// Size of the turns' inputs and outputs.
  std::uint64_t TextBytes = 0;
  /// The newest turn of the chain that is not in the index, if any.
  std::optional<TurnId> MissingTurn;
};

/// Returns the newest turn of a chain that is not in the index, if any.
std::optional<TurnId> missingTurnOf(const LedgerState &State,
                                    const TurnId &Last);

/// Returns the chain that ends with Last, which must be in the index.
TurnChain chainOf(const LedgerState &State, const TurnId &Last);

/// Returns the pieces of turns that make up part of a history, in order, or
/// nothing if the index lacks some of it.
std::optional<std::vector<TurnPiece>> piecesOf(const LedgerState &State,
                                               const HistoryQuery &Query);

} // namespace tanagerlanding

#endif
