/// \file
/// Leaving without cutting anything off.
#ifndef TANAGERLANDING_DECISION_DRAINING_H
#define TANAGERLANDING_DECISION_DRAINING_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Takes no new call from now on.
void handleStopAsked(EntryContext &Context);

/// Hands the shards over once nothing is under way, and exits once others
/// have them.
void superviseDraining(EntryContext &Context);

/// A peer is about to stop: its shards need a new owner at once.
void handleLeaving(EntryContext &Context, const HostId &Host);

} // namespace tanagerlanding

#endif
