/// \file
/// Gaps in the chains of a replica's turns, which it fills from other replicas.
///
/// A replica that was down or cut off has missed turns. It must not confirm a
/// turn whose chain it does not have whole: it would not extend the turns
/// before the gap, and after the loss of a disk no replica might have them.
#ifndef TANAGERLANDING_DECISION_LEDGER_MISSINGTURNS_H
#define TANAGERLANDING_DECISION_LEDGER_MISSINGTURNS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Confirms a durable close, unless its chain lacks the turn Missing. It is
/// then confirmed once the chain is whole, or once it is certain that no write
/// quorum has that turn.
void confirmOrAwait(LedgerContext &Context, UnconfirmedClose Close,
                    const std::optional<TurnId> &Missing);

/// Requests missing turns from other members. Does nothing while this replica
/// copies all records.
void requestMissingTurns(LedgerContext &Context);

/// Replies to a request for turns.
void sendTurns(LedgerContext &Context, const HostId &Peer,
               const TurnsQuery &Query);

/// Stores the turns of a reply.
void handleTurnsFound(LedgerContext &Context, const TurnsFound &Reply);

} // namespace tanagerlanding

#endif
