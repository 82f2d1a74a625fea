/// \file
/// Graceful shutdown of an entry.
#ifndef TANAGERLANDING_DECISION_DRAINING_H
#define TANAGERLANDING_DECISION_DRAINING_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Starts draining: new calls are refused from now on.
void handleShutdownRequested(EntryContext &Context);

/// Announces the shutdown once no calls are in flight, and exits once other
/// entries own the shards or none is available to take them over. Each of the
/// two steps lasts at most DrainTimeout.
void superviseDraining(EntryContext &Context);

/// Handles a peer's announcement that it is shutting down: its shards need a
/// new owner at once.
void handleLeaving(EntryContext &Context, const HostId &Host);

} // namespace tanagerlanding

#endif
