/// \file
/// The ledger's part in turns: claims, history, and durable ends.
#ifndef TANAGERLANDING_DECISION_RELAY_TURNS_H
#define TANAGERLANDING_DECISION_RELAY_TURNS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether a call needs the ledger before it may run.
bool needsLedger(const RelayCall &Call);

/// Returns the turn that a call continues from, if its route keeps turns.
std::optional<TurnId> previousOf(const RelayCall &Call);
/// Returns the program of a call; an empty id if it has none.
ProgramId programOf(const RelayCall &Call);

/// Returns whether other turns of the call's program have claimed tokens, as
/// far as the ledger has told for this call.
bool hasOtherClaims(const RelayCall &Call);

/// Asks the ledger for the claim and the previous turn. The call goes on, or
/// is refused, when enough replicas have answered.
void openTurn(RelayContext &Context, RelayCall &Call);

void handleReplica(RelayContext &Context, const HolderId &Holder,
                   const Message &Body);
void connectReplica(RelayContext &Context, const HolderId &Holder);
/// Notes whether a replica reaches the key-value service. Where no live one
/// does, registrations may have lapsed that will come back.
void noteReplicaReach(RelayContext &Context, const HolderId &Holder,
                      bool IsServiceLost);
void disconnectReplica(RelayContext &Context, const HolderId &Holder);

/// Takes a view that is newer than the present one.
void adoptRelayView(RelayContext &Context, const LedgerView &View);

/// Notes whether enough replicas are connected to serve turns.
void reviewQuorum(RelayContext &Context);

/// Counts all replicas as heard, after this process itself stood still.
void forgiveSilence(RelayState &State);

/// Refuses turns that the ledger leaves without an answer, and gives closes
/// up that nobody waits for any more.
void reviewLedger(RelayContext &Context);

} // namespace tanagerlanding

#endif
