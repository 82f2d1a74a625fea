/// \file
/// Opens turns at the ledger: claims tokens of the program's budget, and reads
/// the history of previous turns.
#ifndef TANAGERLANDING_DECISION_RELAY_TURNS_H
#define TANAGERLANDING_DECISION_RELAY_TURNS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns the connected replicas that have sent something within the heartbeat
/// timeout.
std::set<HolderId> liveReplicas(const RelayState &State);

/// Returns whether a call must be opened at the ledger before it may run.
bool needsLedger(const RelayCall &Call);

/// Returns the turn that a call continues from, if its route keeps history; its
/// id is unique over all teams.
std::optional<TurnId> previousOf(const RelayCall &Call);
/// Returns the program of a call, or an empty id if it has none; the id is
/// unique over all teams.
ProgramId programOf(const RelayCall &Call);

/// Other turns of a call's program that have claimed tokens, according to the
/// replicas that have answered for the call.
struct OtherTurns {
  std::size_t Begun = 0;
  /// Those that ended without any output: they were refused after they had been
  /// opened.
  std::size_t Refused = 0;
};

OtherTurns otherTurnsOf(const RelayCall &Call);

/// Releases the memory that is reserved for the history of a call that ends.
void releaseHistory(RelayState &State, TurnLedger &Ledger);

/// Asks the ledger's replicas to claim tokens and to look up the previous turn.
/// Once a quorum has answered, the call is dispatched or refused.
void openTurn(RelayContext &Context, RelayCall &Call);

void handleReplicaMessage(RelayContext &Context, const HolderId &Holder,
                          const Message &Body);
void handleReplicaConnected(RelayContext &Context, const HolderId &Holder);
/// Records that everything that the key-value service had confirmed before
/// AskedAt is known, and decides on calls that have waited for that.
void recordDirectoryConfirmation(RelayContext &Context, Instant AskedAt);

/// Refuses calls whose origin can't be determined without an answer of the
/// key-value service, as there is none.
void refuseCallsAwaitingDirectory(RelayContext &Context);

/// Records whether a replica reaches the key-value service. If no live replica
/// reaches it, restarts the grace period for missing targets, as registrations
/// may lapse in the outage although their targets are alive.
void recordReplicaReachability(RelayContext &Context, const HolderId &Holder,
                               bool IsServiceLost);
void handleReplicaDisconnected(RelayContext &Context, const HolderId &Holder);

/// Adopts a ledger view if it is newer than the current one. Opens pending
/// turns again and resends pending closes under it.
void adoptLedgerView(RelayContext &Context, const LedgerView &View);

/// Records and logs when the ledger's quorum of live replicas is lost or
/// regained.
void updateQuorumState(RelayContext &Context);

/// Resets the heartbeat timers of all replicas after this process has stalled.
void resetHeartbeatTimers(RelayState &State);

/// Refuses turns that the ledger has not opened in time, requests history from
/// another replica after a timeout, and drops expired closes.
void enforceLedgerTimeouts(RelayContext &Context);

} // namespace tanagerlanding

#endif
