#include "CallAttempts.h"

#include "AgentQueues.h"
#include "CallAdmission.h"
#include "Durability.h"
#include "Prefixes.h"
#include "Quarantine.h"
#include "Routing.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

std::string joinMessages(const std::string &History, const std::string &Fresh) {
  return History.empty() ? Fresh : History + "," + Fresh;
}

/// Returns the request body for the target: for a chat call, the agent's
/// history followed by the new messages.
std::string targetBody(const ProgramState &DurableState,
                       const Call &RequestedCall) {
  if (RequestedCall.Kind != CallKind::Chat)
    return RequestedCall.Body;
  const auto Agent = DurableState.Agents.find(RequestedCall.Agent);
  if (Agent == DurableState.Agents.end())
    return RequestedCall.Body;
  return joinMessages(Agent->second.Messages, RequestedCall.Body);
}

Fingerprint fingerprintOf(const ProgramState &DurableState,
                          const Call &RequestedCall) {
  return fingerprintOfContent({RequestedCall.Service.Value,
                               RequestedCall.Method, RequestedCall.Path,
                               targetBody(DurableState, RequestedCall)});
}

/// Returns the history of an agent, empty if it has none.
AgentHistory historyOf(const ProgramState &DurableState, const AgentId &Agent) {
  const auto Found = DurableState.Agents.find(Agent);
  return Found == DurableState.Agents.end() ? AgentHistory() : Found->second;
}

/// Starts an attempt at Target by recording its intent; the attempt is
/// dispatched once the intent is durable. The first attempt of a call adds to
/// the retry budget.
void recordIntent(EntryContext &Context, const AgentQueueView &View,
                  const HostId &Target) {
  ActiveCall &Active = View.active();
  if (Active.Tries == 0)
    Context.State.RetryCredit =
        std::min(Context.State.Options.RetryBurst,
                 Context.State.RetryCredit + Context.State.Options.RetryRatio);
  ++Active.Tries;
  Active.TriedTargets.insert(Target);
  Active.Target = Target;
  Active.SidecarInstance = Context.State.Peers[Target].Instance;
  Active.Attempt = AttemptId{View.Ref.Shard, View.Shard->Entry.OwnerEpoch,
                             View.Shard->NextSequence++};
  View.Shard->Attempts[Active.Attempt] = {View.Ref.Program, View.Ref.Agent};
  ++Context.State.Targets[Target].OwnOutstanding;
  Active.IsOutstanding = true;
  setPhase(Context, Active, CallPhase::Recording);

  IntentRecorded Intent;
  Intent.Attempt = Active.Attempt;
  Intent.RequestedCall = Active.Pending.RequestedCall;
  Intent.Target = Target;
  Intent.SidecarInstance = Active.SidecarInstance;
  if (Active.Pending.RequestedCall.Kind == CallKind::Chat)
    Intent.Reserved = std::min(Active.Pending.RequestedCall.MaxTokens,
                               View.DurableState->tokensLeft());
  appendRecord(Context, *View.Shard, View.Ref.Shard, Intent,
               SendDispatch{View.Ref.Program, View.Ref.Agent, Active.Attempt});
}

bool hasBudgetLeft(const ProgramState &DurableState,
                   const Call &RequestedCall) {
  if (!DurableState.hasCallsLeft())
    return false;
  return RequestedCall.Kind != CallKind::Chat ||
         TokenCount() < DurableState.tokensLeft();
}

} // namespace

void tryCall(EntryContext &Context, const AgentQueueView &View) {
  ActiveCall &Active = View.active();
  const Call &RequestedCall = Active.Pending.RequestedCall;
  if (Active.Pending.Deadline <= Context.now()) {
    failCall(Context, View, CallError::DeadlinePassed, false,
             "the call's deadline passed before it could run");
    return;
  }
  if (!hasBudgetLeft(*View.DurableState, RequestedCall)) {
    failCall(Context, View, CallError::BudgetExhausted, false,
             "the program's budget is used up or set aside");
    return;
  }
  Active.ContentFingerprint = fingerprintOf(*View.DurableState, RequestedCall);
  const ContentStatus Status =
      statusOf(Context.State.Suspects, Active.ContentFingerprint);
  if (Status == ContentStatus::Quarantined) {
    failCall(Context, View, CallError::Quarantined, false,
             "this request has crashed its targets");
    return;
  }
  Active.IsIsolated = Status == ContentStatus::Suspect;

  const AgentHistory History =
      historyOf(*View.DurableState, RequestedCall.Agent);
  RoutingRequest Request{RequestedCall.Service, {}, 0, Active.TriedTargets};
  if (RequestedCall.Kind == CallKind::Chat) {
    Request.PrefixTarget =
        View.Queue->IsPrefixReleased ? HostId() : History.LastTarget;
    Request.PrefixBytes = History.Messages.size();
  }
  const RoutingChoice Choice = chooseTarget(Context.State, Request);
  if (!Choice.Target) {
    const CallError Code = Active.Tries > 0 ? Active.LastError : Choice.Reason;
    failCall(Context, View, Code, true, "no target can take the call now");
    return;
  }
  if (RequestedCall.Kind == CallKind::Chat)
    movePrefix(Context, *View.Queue, View.Ref, History.LastTarget,
               *Choice.Target);
  recordIntent(Context, View, *Choice.Target);
}

void startNextCall(EntryContext &Context, OwnedShard &Shard,
                   const AgentQueueRef &Ref) {
  const AgentQueueView View = findAgentQueue(Context, Ref);
  if (!View.Queue || View.Queue->Active || View.Queue->Waiting.empty() ||
      Shard.Phase != ShardPhase::Serving)
    return;
  PendingCall Pending = std::move(View.Queue->Waiting.front());
  View.Queue->Waiting.pop_front();
  const auto Stored =
      View.DurableState->Answers.find(Pending.RequestedCall.Key);
  if (Stored != View.DurableState->Answers.end()) {
    // A call with the same key was answered while this one was queued.
    answerWaiters(Context, Pending.Waiters, Stored->second.Answer);
    startNextCall(Context, Shard, Ref);
    return;
  }
  ActiveCall Active;
  Active.Pending = std::move(Pending);
  View.Queue->Active = std::move(Active);
  tryCall(Context, View);
}

void startWaitingCalls(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  std::vector<AgentQueueRef> Refs;
  for (const auto &[Program, Runtime] : Shard.Programs) {
    for (const auto &[Agent, Queue] : Runtime.AgentQueues)
      Refs.push_back(AgentQueueRef{Id, Program, Agent});
  }
  for (const AgentQueueRef &Ref : Refs)
    startNextCall(Context, Shard, Ref);
}

void dispatchAttempt(EntryContext &Context, ShardId,
                     const SendDispatch &Action) {
  const AgentQueueView View = findAttempt(Context, Action.Attempt);
  if (!View.hasActive() || View.active().Phase != CallPhase::Recording)
    return;
  ActiveCall &Active = View.active();
  const PeerView &Sidecar = Context.State.Peers[Active.Target];
  if (Active.Pending.Waiters.empty() || !Sidecar.IsConnected ||
      Sidecar.Instance != Active.SidecarInstance) {
    releaseAttempt(Context, View, Execution::NotRun);
    Active.LastError = CallError::TargetFailed;
    retryOrFail(Context, View);
    return;
  }
  setPhase(Context, Active, CallPhase::Running);
  Active.DispatchedAt = Context.now();
  const Call &RequestedCall = Active.Pending.RequestedCall;
  const IntentRecorded &Intent =
      View.DurableState->OpenIntents.at(Active.Attempt);
  DispatchAttempt Work;
  Work.Attempt = Active.Attempt;
  Work.Program = RequestedCall.Program;
  Work.Agent = RequestedCall.Agent;
  Work.Kind = RequestedCall.Kind;
  Work.IsIdempotent = RequestedCall.IsIdempotent;
  Work.IsStreaming = RequestedCall.IsStreaming;
  Work.IsIsolated = Active.IsIsolated;
  Work.Method = RequestedCall.Method;
  Work.Path = RequestedCall.Path;
  Work.Body = targetBody(*View.DurableState, RequestedCall);
  Work.MaxTokens = Intent.Reserved;
  Work.Attained = View.DurableState->TokensSpent;
  Work.Deadline = Active.Pending.Deadline - Context.now();
  Work.TraceParent = RequestedCall.TraceParent;
  Context.send(Active.Target, std::move(Work));
}

void publishAnswer(EntryContext &Context, ShardId Id,
                   const PublishAnswer &Action) {
  const AgentQueueView View =
      findAgentQueue(Context, AgentQueueRef{Id, Action.Program, Action.Agent});
  if (!View.hasActive() || View.active().Phase != CallPhase::Finishing)
    return;
  const ActiveCall &Active = View.active();
  const auto Stored =
      View.DurableState->Answers.find(Active.Pending.RequestedCall.Key);
  if (Stored != View.DurableState->Answers.end())
    answerWaiters(Context, Active.Pending.Waiters, Stored->second.Answer);
  Context.send(Active.Target, ForgetAttempt{Active.Attempt});
  closeCall(Context, View);
}

void refuseUndurable(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  const CallFailure Failure =
      refusal(Context, CallError::NotDurable, Execution::NotRun, true,
              "the program's journal can't be written now");
  std::vector<AgentQueueRef> Recording;
  for (auto &[Program, Runtime] : Shard.Programs) {
    for (auto &[Agent, Queue] : Runtime.AgentQueues) {
      for (const PendingCall &Pending : Queue.Waiting)
        answerWaiters(Context, Pending.Waiters, Failure);
      Queue.Waiting.clear();
      if (Queue.Active && Queue.Active->Phase == CallPhase::Recording)
        Recording.push_back(AgentQueueRef{Id, Program, Agent});
    }
  }
  for (const AgentQueueRef &Ref : Recording) {
    const AgentQueueView View = findAgentQueue(Context, Ref);
    releaseAttempt(Context, View, Execution::NotRun);
    failCall(Context, View, CallError::NotDurable, true,
             "the program's journal can't be written now");
  }
}

void cancelIfAbandoned(EntryContext &Context, ActiveCall &Active) {
  const bool IsAbandoned = Active.Pending.Waiters.empty() &&
                           Active.Pending.RequestedCall.IsIdempotent;
  if (IsAbandoned && Active.Phase == CallPhase::Running)
    Context.send(Active.Target, CancelAttempt{Active.Attempt});
}

void cancelProgram(EntryContext &Context, OwnedShard &Shard, ShardId,
                   const ProgramId &Program) {
  const auto Runtime = Shard.Programs.find(Program);
  if (Runtime == Shard.Programs.end())
    return;
  const CallFailure Failure =
      refusal(Context, CallError::ProgramEnded, Execution::NotRun, false,
              "the program has ended");
  for (auto &[Agent, Queue] : Runtime->second.AgentQueues) {
    for (const PendingCall &Pending : Queue.Waiting)
      answerWaiters(Context, Pending.Waiters, Failure);
    Queue.Waiting.clear();
    releasePrefix(Context, Shard.DurableState.at(Program), Queue, Program,
                  Agent);
  }
}

} // namespace tanagerlanding
