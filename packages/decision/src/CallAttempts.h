/// \file
/// Running calls: start, choice of target, dispatch, final answers.
#ifndef TANAGERLANDING_DECISION_CALLATTEMPTS_H
#define TANAGERLANDING_DECISION_CALLATTEMPTS_H

#include "CallLines.h"
#include "EntryContext.h"

namespace tanagerlanding {

/// Starts the first waiting call of a line, if none is under way.
void startNextCall(EntryContext &Context, OwnedShard &Shard,
                   const LineRef &Ref);

/// Starts what waits in all lines of a shard that has begun to serve.
void startWaitingLines(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Tries the active call of a line, or says why it can't be run.
void tryCall(EntryContext &Context, const LineView &View);

/// Sends an attempt whose intent is durable.
void dispatchAttempt(EntryContext &Context, ShardId Id,
                     const SendDispatch &Action);

/// Gives a durable answer to those who wait, and goes on with the line.
void publishAnswer(EntryContext &Context, ShardId Id,
                   const PublishAnswer &Action);

/// Refuses the calls whose intents can't be made durable now.
void refuseUndurable(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Stops a call that nobody waits for, if that does no harm.
void cancelIfUnwanted(EntryContext &Context, ActiveCall &Active);

/// Refuses a program's waiting calls and frees its prefixes.
void cancelProgram(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                   const ProgramId &Program);

} // namespace tanagerlanding

#endif
