/// \file
/// Running calls: start, dispatch, outcomes, retries, final answers.
#ifndef TANAGERLANDING_DECISION_CALLATTEMPTS_H
#define TANAGERLANDING_DECISION_CALLATTEMPTS_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Notes that a call's present attempt is no load for its target any more.
void leaveTarget(EntryState &State, ActiveCall &Active);

/// Starts the first waiting call of a line, if none is under way.
void startNextCall(EntryContext &Context, OwnedShard &Shard,
                   const LineRef &Ref);

/// Starts what waits in all lines of a shard that has begun to serve.
void startWaitingLines(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Sends an attempt whose intent is durable.
void dispatchAttempt(EntryContext &Context, ShardId Id,
                     const SendDispatch &Action);

/// Gives a durable answer to those who wait, and goes on with the line.
void publishAnswer(EntryContext &Context, ShardId Id,
                   const PublishAnswer &Action);

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

/// Takes note of the programs that an earlier owner had.
void adoptPrograms(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Takes over the attempts that an earlier owner left open.
void adoptOpenIntents(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Refuses the calls whose intents can't be made durable now.
void refuseUndurable(EntryContext &Context, OwnedShard &Shard, ShardId Id);

/// Looks at the lines whose time has come.
void wakeDueLines(EntryContext &Context);

/// Has the program looked at once it may have been silent for too long.
void watchProgram(EntryContext &Context, ShardId Id, const ProgramId &Program);

/// Stops a call that nobody waits for, if that does no harm.
void cancelIfUnwanted(EntryContext &Context, ActiveCall &Active);

/// Refuses a program's waiting calls and frees its prefixes.
void cancelProgram(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                   const ProgramId &Program);

} // namespace tanagerlanding

#endif
