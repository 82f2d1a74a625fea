/// \file
/// Outcomes of attempts: reports from sidecars, and resolution of open
/// attempts.
#ifndef TANAGERLANDING_DECISION_CALLOUTCOMES_H
#define TANAGERLANDING_DECISION_CALLOUTCOMES_H

#include "AgentQueues.h"
#include "EntryContext.h"

namespace tanagerlanding {

/// Handle reports from sidecars on an attempt.
void handleRefused(EntryContext &Context, const AttemptRefused &Refused);
void handleChunk(EntryContext &Context, const AttemptChunk &Chunk);
void handleFinished(EntryContext &Context, const AttemptFinished &Finished);

/// Handles the loss of the connection to a sidecar. Idempotent calls are
/// retried; the outcomes of the others are to be queried.
void suspendAttemptsAt(EntryContext &Context, const HostId &Host);

/// Handles the connection of a sidecar: queries the open outcomes, or treats
/// them as unknown if it is another instance.
void resolveAttemptsAt(EntryContext &Context, const HostId &Host,
                       const InstanceId &Instance);

/// Takes over the attempts that a previous owner left open.
void adoptOpenIntents(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Handles an attempt of which it is unknown whether it ran: retries the call
/// if it is idempotent and nothing has been streamed, fails it otherwise.
void handleUnknownOutcome(EntryContext &Context, const AgentQueueView &View,
                          bool TargetCrashed);

} // namespace tanagerlanding

#endif
