/// \file
/// The end of turns: claims are settled, and whole turns are kept.
#ifndef TANAGERLANDING_DECISION_RELAY_TURNCLOSES_H
#define TANAGERLANDING_DECISION_RELAY_TURNCLOSES_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Settles a turn's claim with what was handed out, and keeps the turn where
/// IsKept. Returns the operation, if there is anything to write.
std::optional<LedgerOperationId> closeTurn(RelayContext &Context,
                                           RelayCall &Call, bool IsKept);

/// Notes that a replica has a close; ends the call that waits for it once
/// enough have it.
void handleClosed(RelayContext &Context, const HolderId &Holder,
                  const TurnClosed &Reply);

/// Sends all closes again under the present view.
void repeatCloses(RelayContext &Context);
/// Sends a replica that has connected what it has not confirmed.
void repeatClosesTo(RelayContext &Context, const HolderId &Holder);

/// Gives closes up that nobody waits for any more.
void dropOldCloses(RelayState &State);

} // namespace tanagerlanding

#endif
