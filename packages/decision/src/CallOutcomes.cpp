#include "CallOutcomes.h"

#include "AgentQueues.h"
#include "CallAdmission.h"
#include "CallAttempts.h"
#include "Durability.h"
#include "Quarantine.h"

namespace tanagerlanding {

namespace {

/// Weight of the newest sample in the moving average of a target's attempt
/// duration.
constexpr double AverageWeight = 0.1;

void handleRan(EntryContext &Context, const AgentQueueView &View,
               const AttemptFinished &Finished) {
  ActiveCall &Active = View.active();
  if (Active.IsIsolated)
    clearSuspicion(Context, Active.ContentFingerprint);
  TargetView &Target = Context.State.Targets[Active.Target];
  const auto Duration =
      static_cast<double>((Context.now() - Active.DispatchedAt).count());
  if (!Active.IsInherited)
    Target.AverageMillis += AverageWeight * (Duration - Target.AverageMillis);
  removeFromTargetLoad(Context.State, Active);
  setPhase(Context, Active, CallPhase::Finishing);
  appendRecord(Context, *View.Shard, View.Ref.Shard,
               CallFinished{View.Ref.Program, Active.Attempt, Finished.Answer,
                            Finished.Generated, Finished.HistoryMessage},
               PublishAnswer{View.Ref.Program, View.Ref.Agent});
}

/// Calls Visit for each agent queue of this entry's shards that has an active
/// call.
template <typename Visitor>
void forEachActive(EntryContext &Context, Visitor Visit) {
  std::vector<AgentQueueRef> Refs;
  for (const auto &[Id, Shard] : Context.State.Owned) {
    for (const auto &[Program, Runtime] : Shard.Programs) {
      for (const auto &[Agent, Queue] : Runtime.AgentQueues) {
        if (Queue.Active)
          Refs.push_back(AgentQueueRef{Id, Program, Agent});
      }
    }
  }
  for (const AgentQueueRef &Ref : Refs) {
    const AgentQueueView View = findAgentQueue(Context, Ref);
    if (View.hasActive())
      Visit(View);
  }
}

} // namespace

void handleUnknownOutcome(EntryContext &Context, const AgentQueueView &View,
                          bool TargetCrashed) {
  ActiveCall &Active = View.active();
  if (TargetCrashed)
    recordCallCrash(Context, Active);
  if (!Active.Pending.RequestedCall.IsIdempotent) {
    finishUnknown(Context, View);
    return;
  }
  releaseAttempt(Context, View, Execution::Unknown);
  Active.WorstExecution = Execution::Unknown;
  Active.LastError = CallError::TargetFailed;
  if (Active.HasStreamed)
    failCall(Context, View, CallError::StreamCut, true,
             "the answer was cut off by its target");
  else
    retryOrFail(Context, View);
}

void handleRefused(EntryContext &Context, const AttemptRefused &Refused) {
  const AgentQueueView View = findAttempt(Context, Refused.Attempt);
  if (!View.hasActive())
    return;
  ActiveCall &Active = View.active();
  if (Active.Phase != CallPhase::Running &&
      Active.Phase != CallPhase::Resolving)
    return;
  releaseAttempt(Context, View, Execution::NotRun);
  Active.LastError = Refused.Reason;
  retryOrFail(Context, View);
}

void handleChunk(EntryContext &Context, const AttemptChunk &Chunk) {
  const AgentQueueView View = findAttempt(Context, Chunk.Attempt);
  if (!View.hasActive() || View.active().Phase != CallPhase::Running)
    return;
  View.active().HasStreamed = true;
  streamToWaiters(Context, View.active().Pending.Waiters, Chunk.Bytes);
}

void handleFinished(EntryContext &Context, const AttemptFinished &Finished) {
  const AgentQueueView View = findAttempt(Context, Finished.Attempt);
  if (!View.hasActive()) {
    Context.count("late_outcomes_total", "unknown_attempt");
    return;
  }
  const CallPhase Phase = View.active().Phase;
  if (Phase != CallPhase::Running && Phase != CallPhase::Resolving)
    return;
  if (Finished.ExecutionStatus == Execution::Ran)
    handleRan(Context, View, Finished);
  else
    handleUnknownOutcome(Context, View, Finished.HasTargetCrashed);
}

void suspendAttemptsAt(EntryContext &Context, const HostId &Host) {
  forEachActive(Context, [&](const AgentQueueView &View) {
    ActiveCall &Active = View.active();
    if (Active.Target != Host || Active.Phase != CallPhase::Running)
      return;
    if (Active.Pending.RequestedCall.IsIdempotent) {
      handleUnknownOutcome(Context, View, false);
      return;
    }
    setPhase(Context, Active, CallPhase::Resolving);
    Context.State.Due.emplace(
        Context.now() + Context.State.Options.ResolveTimeout, View.Ref);
  });
}

void resolveAttemptsAt(EntryContext &Context, const HostId &Host,
                       const InstanceId &Instance) {
  forEachActive(Context, [&](const AgentQueueView &View) {
    ActiveCall &Active = View.active();
    if (Active.Target != Host || Active.Phase != CallPhase::Resolving)
      return;
    if (Active.SidecarInstance == Instance)
      Context.send(Host,
                   QueryAttempt{Active.Attempt, View.Shard->Entry.OwnerEpoch});
    else
      handleUnknownOutcome(Context, View, false);
  });
}

void adoptOpenIntents(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  for (const auto &[Program, DurableState] : Shard.DurableState) {
    for (const auto &[Attempt, Intent] : DurableState.OpenIntents) {
      if (Shard.Attempts.count(Attempt) > 0)
        continue;
      const Call &RequestedCall = Intent.RequestedCall;
      AgentQueue &Queue =
          Shard.Programs[Program].AgentQueues[RequestedCall.Agent];
      ActiveCall Active;
      Active.Pending.RequestedCall = RequestedCall;
      Active.Pending.Arrived = Context.now();
      Active.Pending.Deadline = Context.now() + RequestedCall.Deadline;
      Active.Attempt = Attempt;
      Active.Target = Intent.Target;
      Active.SidecarInstance = Intent.SidecarInstance;
      Active.IsInherited = true;
      Active.Tries = 1;
      setPhase(Context, Active, CallPhase::Resolving);
      Queue.Active = std::move(Active);
      const AgentQueueRef Ref{Id, Program, RequestedCall.Agent};
      Shard.Attempts[Attempt] = {Program, RequestedCall.Agent};
      Context.State.Due.emplace(
          Context.now() + Context.State.Options.ResolveTimeout, Ref);
    }
  }
  // Iterates over a copy, because handling an outcome may change the peers.
  const std::map<HostId, PeerView> Peers = Context.State.Peers;
  for (const auto &[Host, Peer] : Peers) {
    if (Peer.IsConnected)
      resolveAttemptsAt(Context, Host, Peer.Instance);
  }
}

} // namespace tanagerlanding
