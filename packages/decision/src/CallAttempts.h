/// \file
/// Execution of calls: start, choice of target, dispatch, final answers.
#ifndef TANAGERLANDING_DECISION_CALLATTEMPTS_H
#define TANAGERLANDING_DECISION_CALLATTEMPTS_H

#include "AgentQueues.h"
#include "EntryContext.h"

namespace tanagerlanding {

/// Starts the first queued call of an agent, if none is active and the shard is
/// serving.
void startNextCall(EntryContext &Context, OwnedShard &Shard,
                   const AgentQueueRef &Ref);

/// Starts the first queued call of every agent of a shard that has started
/// serving.
void startWaitingCalls(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Starts an attempt of the active call, or fails the call if it cannot be run.
void tryCall(EntryContext &Context, const AgentQueueView &View);

/// Dispatches an attempt whose intent is durable.
void dispatchAttempt(EntryContext &Context, ShardId Id,
                     const SendDispatch &Action);

/// Sends a durable answer to the waiters, and starts the agent's next call.
void publishAnswer(EntryContext &Context, ShardId Id,
                   const PublishAnswer &Action);

/// Refuses all queued calls of a shard, and the active ones whose intents are
/// not durable, because records cannot be made durable now.
void refuseUndurable(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Cancels a running call without waiters if the call is idempotent.
void cancelIfAbandoned(EntryContext &Context, ActiveCall &Active);

/// Refuses a program's queued calls and releases its prefixes.
void cancelProgram(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                   const ProgramId &Program);

} // namespace tanagerlanding

#endif
