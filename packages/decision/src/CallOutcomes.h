/// \file
/// How attempts end: outcomes from sidecars, and what becomes of open ones.
#ifndef TANAGERLANDING_DECISION_CALLOUTCOMES_H
#define TANAGERLANDING_DECISION_CALLOUTCOMES_H

#include "CallLines.h"
#include "EntryContext.h"

namespace tanagerlanding {

/// Outcomes from sidecars.
void handleRefused(EntryContext &Context, const AttemptRefused &Refused);
void handleChunk(EntryContext &Context, const AttemptChunk &Chunk);
void handleFinished(EntryContext &Context, const AttemptFinished &Finished);

/// The connection to a sidecar is gone: its attempts' outcomes are open.
void suspendAttemptsAt(EntryContext &Context, const HostId &Host);

/// A sidecar is back: asks for the open outcomes, or finds that they can't be
/// known where it is another instance.
void resolveAttemptsAt(EntryContext &Context, const HostId &Host,
                       const InstanceId &Instance);

/// Takes over the attempts that an earlier owner left open.
void adoptOpenIntents(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// An attempt ended, and whether it ran can't be told.
void handleUnknownOutcome(EntryContext &Context, const LineView &View,
                          bool TargetCrashed);

} // namespace tanagerlanding

#endif
