#include "CallDeadlines.h"

#include "AgentQueues.h"
#include "CallAdmission.h"
#include "CallAttempts.h"
#include "CallOutcomes.h"
#include "Durability.h"
#include "Prefixes.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Answers the waiters of an active call whose deadline has passed. A call that
/// is not idempotent continues, and its outcome is kept for a repeat.
void handleExpiredCall(EntryContext &Context, ActiveCall &Active) {
  const CallFailure Failure =
      refusal(Context, CallError::DeadlinePassed, Execution::Unknown, true,
              "the call is still running; repeat with the same key");
  answerWaiters(Context, Active.Pending.Waiters, Failure);
  Active.Pending.Waiters.clear();
  cancelIfAbandoned(Context, Active);
}

void handleDueCall(EntryContext &Context, const AgentQueueView &View) {
  ActiveCall &Active = View.active();
  const bool IsLate = Active.Pending.Deadline <= Context.now();
  switch (Active.Phase) {
  case CallPhase::Waiting:
    if (Active.RetryAt <= Context.now() || IsLate)
      tryCall(Context, View);
    return;
  case CallPhase::Running:
    if (IsLate)
      handleExpiredCall(Context, Active);
    return;
  case CallPhase::Resolving:
    if (Context.now() - Active.PhaseSince >=
        Context.State.Options.ResolveTimeout)
      handleUnknownOutcome(Context, View, false);
    return;
  case CallPhase::Recording:
  case CallPhase::Finishing:
    if (IsLate)
      handleExpiredCall(Context, Active);
    return;
  }
}

void refuseExpiredCalls(EntryContext &Context, AgentQueue &Queue) {
  const CallFailure Failure =
      refusal(Context, CallError::DeadlinePassed, Execution::NotRun, false,
              "the call's deadline passed before its turn came");
  for (auto Pending = Queue.Waiting.begin(); Pending != Queue.Waiting.end();) {
    if (Context.now() < Pending->Deadline) {
      ++Pending;
      continue;
    }
    answerWaiters(Context, Pending->Waiters, Failure);
    Pending = Queue.Waiting.erase(Pending);
  }
}

/// Ends a program that has made no calls for ProgramIdleTimeout, and drops one
/// that ended at least EndedRetention ago.
void handleDueProgram(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                      const ProgramId &Program) {
  const auto DurableState = Shard.DurableState.find(Program);
  const auto Runtime = Shard.Programs.find(Program);
  if (DurableState == Shard.DurableState.end() ||
      Runtime == Shard.Programs.end())
    return;
  const EntryOptions &Options = Context.State.Options;
  const Milliseconds Limit = DurableState->second.HasEnded
                                 ? Options.EndedRetention
                                 : Options.ProgramIdleTimeout;
  const bool IsBusy = std::any_of(
      Runtime->second.AgentQueues.begin(), Runtime->second.AgentQueues.end(),
      [](const auto &Item) { return Item.second.Active.has_value(); });
  if (IsBusy || Context.now() < Runtime->second.LastUsed + Limit) {
    scheduleProgramCheck(Context, Id, Program);
    return;
  }
  if (DurableState->second.HasEnded) {
    Shard.DurableState.erase(DurableState);
    Shard.Programs.erase(Runtime);
    return;
  }
  cancelProgram(Context, Shard, Id, Program);
  appendRecord(Context, Shard, Id, ProgramEnded{Program}, std::monostate());
  Runtime->second.LastUsed = Context.now();
  scheduleProgramCheck(Context, Id, Program);
}

void handleDueQueue(EntryContext &Context, const AgentQueueRef &Ref) {
  const AgentQueueView View = findAgentQueue(Context, Ref);
  if (!View.Shard || !View.Shard->HasOwnState)
    return;
  if (Ref.Agent.Value.empty()) {
    handleDueProgram(Context, *View.Shard, Ref.Shard, Ref.Program);
    return;
  }
  if (!View.Queue)
    return;
  refuseExpiredCalls(Context, *View.Queue);
  if (View.hasActive())
    handleDueCall(Context, View);
  else
    releaseIdlePrefix(Context, *View.DurableState, *View.Queue, Ref);
}

} // namespace

void handleDueQueues(EntryContext &Context) {
  auto &Due = Context.State.Due;
  while (!Due.empty() && Due.begin()->first <= Context.now()) {
    const AgentQueueRef Ref = Due.begin()->second;
    Due.erase(Due.begin());
    handleDueQueue(Context, Ref);
  }
}

void scheduleProgramCheck(EntryContext &Context, ShardId Id,
                          const ProgramId &Program) {
  const EntryOptions &Options = Context.State.Options;
  const Milliseconds Pause =
      std::min(Options.ProgramIdleTimeout, Options.EndedRetention);
  Context.State.Due.emplace(Context.now() + Pause,
                            AgentQueueRef{Id, Program, AgentId()});
}

void adoptPrograms(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  for (const auto &[Program, DurableState] : Shard.DurableState) {
    const auto [Found, IsNew] =
        Shard.Programs.emplace(Program, ProgramRuntime());
    if (!IsNew)
      continue;
    Found->second.LastUsed = Context.now();
    scheduleProgramCheck(Context, Id, Program);
    for (const auto &[Agent, History] : DurableState.Agents) {
      AgentQueue &Queue = Found->second.AgentQueues[Agent];
      Queue.LastFinished = Context.now();
      Queue.IsPrefixReleased = History.LastTarget.Value.empty();
      holdPrefix(Context, DurableState, Queue,
                 AgentQueueRef{Id, Program, Agent});
    }
  }
}

} // namespace tanagerlanding
