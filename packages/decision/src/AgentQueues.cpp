#include "AgentQueues.h"

#include "CallAdmission.h"
#include "CallAttempts.h"
#include "Durability.h"
#include "Prefixes.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace tanagerlanding {

namespace {

Milliseconds backoff(EntryContext &Context, std::uint32_t Tries) {
  const double Longest =
      static_cast<double>(Context.State.Options.BackoffBase.count()) *
      std::pow(2.0, Tries);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  return Milliseconds(
      static_cast<std::int64_t>(Longest * Jitter(Context.State.Random)));
}

} // namespace

AgentQueueView findAgentQueue(EntryContext &Context, const AgentQueueRef &Ref) {
  AgentQueueView View;
  View.Ref = Ref;
  const auto Shard = Context.State.Owned.find(Ref.Shard);
  if (Shard == Context.State.Owned.end())
    return View;
  View.Shard = &Shard->second;
  const auto DurableState = View.Shard->DurableState.find(Ref.Program);
  const auto Runtime = View.Shard->Programs.find(Ref.Program);
  if (DurableState == View.Shard->DurableState.end() ||
      Runtime == View.Shard->Programs.end())
    return View;
  View.DurableState = &DurableState->second;
  const auto Queue = Runtime->second.AgentQueues.find(Ref.Agent);
  if (Queue != Runtime->second.AgentQueues.end())
    View.Queue = &Queue->second;
  return View;
}

AgentQueueView findAttempt(EntryContext &Context, const AttemptId &Id) {
  const auto Shard = Context.State.Owned.find(Id.Shard);
  if (Shard == Context.State.Owned.end())
    return AgentQueueView();
  const auto Found = Shard->second.Attempts.find(Id);
  if (Found == Shard->second.Attempts.end())
    return AgentQueueView();
  AgentQueueView View =
      findAgentQueue(Context, AgentQueueRef{Id.Shard, Found->second.first,
                                            Found->second.second});
  if (!View.hasActive() || !(View.active().Attempt == Id))
    return AgentQueueView();
  return View;
}

void setPhase(EntryContext &Context, ActiveCall &Active, CallPhase Phase) {
  Active.Phase = Phase;
  Active.PhaseSince = Context.now();
}

void removeFromTargetLoad(EntryState &State, ActiveCall &Active) {
  if (!Active.IsOutstanding)
    return;
  Active.IsOutstanding = false;
  --State.Targets[Active.Target].OwnOutstanding;
}

void closeCall(EntryContext &Context, const AgentQueueView &View) {
  ActiveCall &Active = View.active();
  View.Shard->Attempts.erase(Active.Attempt);
  removeFromTargetLoad(Context.State, Active);
  const Milliseconds Duration = Context.now() - Active.Pending.Arrived;
  Context.Effects.push_back(
      RecordSpan{Active.Pending.RequestedCall.TraceParent,
                 "owner.call",
                 Duration,
                 {{"program", View.Ref.Program.Value},
                  {"key", Active.Pending.RequestedCall.Key.Value},
                  {"tries", std::to_string(Active.Tries)}}});
  View.Queue->Active.reset();
  View.Queue->LastFinished = Context.now();
  holdPrefix(Context, *View.DurableState, *View.Queue, View.Ref);
  startNextCall(Context, *View.Shard, View.Ref);
}

void failCall(EntryContext &Context, const AgentQueueView &View, CallError Code,
              bool MayRetry, const char *Detail) {
  const CallFailure Failure =
      refusal(Context, Code, View.active().WorstExecution, MayRetry, Detail);
  answerWaiters(Context, View.active().Pending.Waiters, Failure);
  closeCall(Context, View);
}

void finishUnknown(EntryContext &Context, const AgentQueueView &View) {
  ActiveCall &Active = View.active();
  const CallFailure Failure =
      refusal(Context, CallError::TargetFailed, Execution::Unknown, false,
              "the call may or may not have run, and is not repeated");
  setPhase(Context, Active, CallPhase::Finishing);
  TokenCount Charged;
  const auto Intent = View.DurableState->OpenIntents.find(Active.Attempt);
  if (Intent != View.DurableState->OpenIntents.end())
    Charged = Intent->second.Reserved;
  appendRecord(
      Context, *View.Shard, View.Ref.Shard,
      CallFinished{View.Ref.Program, Active.Attempt, Failure, Charged, {}},
      PublishAnswer{View.Ref.Program, View.Ref.Agent});
}

void releaseAttempt(EntryContext &Context, const AgentQueueView &View,
                    Execution ExecutionStatus) {
  ActiveCall &Active = View.active();
  AttemptReleased Release{View.Ref.Program, Active.Attempt, TokenCount(),
                          ExecutionStatus != Execution::NotRun};
  const auto Intent = View.DurableState->OpenIntents.find(Active.Attempt);
  if (Release.MayHaveRun && Intent != View.DurableState->OpenIntents.end())
    Release.Charged = Intent->second.Reserved;
  removeFromTargetLoad(Context.State, Active);
  View.Shard->Attempts.erase(Active.Attempt);
  appendRecord(Context, *View.Shard, View.Ref.Shard, Release, std::monostate());
}

void retryOrFail(EntryContext &Context, const AgentQueueView &View) {
  ActiveCall &Active = View.active();
  EntryState &State = Context.State;
  const bool HasWaiters = !Active.Pending.Waiters.empty();
  const bool MayTry = HasWaiters && Active.Tries < State.Options.TriesPerCall &&
                      State.RetryCredit >= 1 &&
                      Context.now() < Active.Pending.Deadline;
  if (!MayTry) {
    failCall(Context, View, Active.LastError, true,
             "no target could run the call");
    return;
  }
  State.RetryCredit -= 1;
  Context.count("retries_total", toString(Active.LastError));
  setPhase(Context, Active, CallPhase::Waiting);
  Active.RetryAt = Context.now() + backoff(Context, Active.Tries);
  State.Due.emplace(Active.RetryAt, View.Ref);
}

} // namespace tanagerlanding
