/// \file
/// Closes turns at the ledger: settles their claims and stores complete turns.
#ifndef TANAGERLANDING_DECISION_RELAY_TURNCLOSES_H
#define TANAGERLANDING_DECISION_RELAY_TURNCLOSES_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Settles a turn's claim with the tokens that were delivered, and stores the
/// turn if IsKept. Returns the operation, or nothing if there is nothing to
/// write.
std::optional<LedgerOperationId> closeTurn(RelayContext &Context,
                                           RelayCall &Call, bool IsKept);

/// Records a replica's confirmation of a close. Once a quorum has confirmed it,
/// finishes the call that waits for it.
void handleClosed(RelayContext &Context, const HolderId &Holder,
                  const TurnClosed &Reply);

/// Completes, after a change of the view, the closes that a quorum has
/// confirmed, and resends the others to the members that have not.
void reviewCloses(RelayContext &Context);
/// Resends to a newly connected replica the closes that it has not confirmed.
void resendClosesTo(RelayContext &Context, const HolderId &Holder);

/// Drops pending closes that have reached their timeout.
void dropExpiredCloses(RelayState &State);

} // namespace tanagerlanding

#endif
