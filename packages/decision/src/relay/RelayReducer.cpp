#include "tanagerlanding/decision/relay/RelayReducer.h"

#include "Attempts.h"
#include "CallQueue.h"
#include "ConfigurationProof.h"
#include "CrashDetection.h"
#include "DeferredRequests.h"
#include "Directory.h"
#include "Hedging.h"
#include "HistoryTransfers.h"
#include "LimitObservations.h"
#include "OutputReports.h"
#include "Placement.h"
#include "ProgramStarts.h"
#include "QuotaPermits.h"
#include "RelayContext.h"
#include "RequestPermits.h"
#include "Shutdown.h"
#include "StreamOrigins.h"
#include "TargetLoads.h"
#include "Turns.h"

namespace tanagerlanding {

namespace {

/// How often hints about targets are checked for eviction.
constexpr Milliseconds HintExpiryInterval{1000};

void expireHints(RelayState &State) {
  if (State.Now - State.HintsExpiredAt < HintExpiryInterval)
    return;
  State.HintsExpiredAt = State.Now;
  evictPromptCacheLocations(State);
  expireLimitObservations(State);
  expireTeamTurns(State);
  expireReportedStreams(State);
}

/// Dispatches an event to the handlers of its type.
class RelayEventHandler {
public:
  explicit RelayEventHandler(RelayContext &Context)
      : Context(Context), State(Context.State) {}

  void operator()(const RelayTick &Event) {
    const Milliseconds Stalled = Event.Now - this->State.LastTickAt;
    const bool HasStalled = this->State.Options.StallThreshold < Stalled;
    this->State.Now = Event.Now;
    this->State.LastTickAt = Event.Now;
    if (HasStalled) {
      resetHeartbeatTimers(this->State);
      resetQuotaTimeouts(this->State);
      resetStartTimeouts(this->State);
      resetLoadViewTimer(this->State);
    }
    if (this->State.Options.MaxUnwatchedTime < Stalled)
      this->State.VersionsUnwatchedAt = Event.Now;
    reportOutputs(this->Context);
    refuseExpiredCalls(this->Context);
    handleFirstByteTimeouts(this->Context);
    sendDueHedges(this->Context);
    enforceLedgerTimeouts(this->Context);
    reviewHistoryTransfers(this->Context);
    removeMissingTargets(this->Context);
    expireHints(this->State);
    reviewCrashEvidence(this->Context);
    maintainPermits(this->Context);
    reportTargetLoads(this->Context);
    refuseLateTurns(this->Context);
    refuseStarvedCalls(this->Context);
    dispatchQueuedCalls(this->Context,
                        this->State.Options.MaxDispatchesPerTick);
    maintainProgramStarts(this->Context);
    advanceShutdown(this->Context);
  }

  void operator()(const CallerRequestReceived &Event) {
    admitOrDeferRequest(this->Context, Event.Request, Event.InboundRequest);
  }

  void operator()(const RelayCallerDisconnected &Event) {
    handleCallerDisconnected(this->Context, Event.Request);
  }

  void operator()(const AttemptHeadReceived &Event) {
    handleAttemptHead(this->Context, Event);
  }

  void operator()(const AttemptBytesReceived &Event) {
    handleAttemptBytes(this->Context, Event);
  }

  void operator()(const AttemptPartWritten &Event) {
    handlePartWritten(this->Context, Event);
  }

  void operator()(const AttemptEnded &Event) {
    handleAttemptEnd(this->Context, Event);
    // The attempt has freed capacity at its target.
    dispatchQueuedCalls(this->Context, 1);
  }

  void operator()(const TargetConnectionProbed &Event) {
    handleTargetProbed(this->Context, Event);
  }

  void operator()(const RelayConfigured &Event) {
    adoptConfiguration(this->Context, Event.Configuration);
    forgetQuotaDenials(this->State);
  }

  void operator()(const ConfigurationKeyObserved &Event) {
    recordConfigurationKey(this->Context, Event.KeyRevision);
  }

  void operator()(const DirectoryConfirmed &Event) {
    recordOwnProof(this->Context, Event.AskedAt);
    recordDirectoryConfirmation(this->Context, Event.AskedAt);
  }

  void operator()(const DirectoryNotConfirmed &) {
    refuseCallsAwaitingDirectory(this->Context);
  }

  void operator()(const TargetRegistered &Event) {
    registerTarget(this->Context, Event.Entry);
  }

  void operator()(const TargetUnregistered &Event) {
    unregisterTarget(this->Context, Event.Id);
  }

  void operator()(const OutdatedTargetObserved &Event) {
    recordFormerVersion(this->State, Event.Entry);
  }

  void operator()(const DirectoryHistoryLost &) {
    this->State.VersionsUnwatchedAt = this->State.Now;
    this->Context.log("directory_history_lost", {});
  }

  void operator()(const DirectoryLost &) {
    this->State.IsKeyValueServiceReachable = false;
    this->Context.log("directory_lost", {});
    refuseCallsAwaitingDirectory(this->Context);
  }

  void operator()(const DirectoryRegained &) {
    if (this->State.IsKeyValueServiceReachable)
      return;
    this->State.IsKeyValueServiceReachable = true;
    this->State.KeyValueServiceRegainedAt = this->State.Now;
    this->Context.log("directory_regained", {});
  }

  void operator()(const ReplicaReachabilityReported &Event) {
    recordReplicaReachability(this->Context, Event.Holder, Event.IsServiceLost);
  }

  void operator()(const RelayLedgerViewObserved &Event) {
    adoptLedgerView(this->Context, Event.View);
  }

  void operator()(const ReplicaConnected &Event) {
    handleReplicaConnected(this->Context, Event.Holder);
  }

  void operator()(const ReplicaDisconnected &Event) {
    handleReplicaDisconnected(this->Context, Event.Holder);
  }

  void operator()(const ReplicaMessageReceived &Event) {
    handleReplicaMessage(this->Context, Event.Holder, Event.Body);
    const auto *Grant = std::get_if<PermitGrant>(&Event.Body);
    if (Grant && std::holds_alternative<TargetRun>(Grant->Subject))
      dispatchQueuedCalls(this->Context, Grant->Count);
  }

  void operator()(const RelayShutdownRequested &) {
    if (this->State.IsDraining)
      return;
    this->State.IsDraining = true;
    this->State.DrainSince = this->State.Now;
    this->Context.log("draining_started",
                      {{"calls", std::to_string(this->State.Calls.size())}});
  }

private:
  RelayContext &Context;
  RelayState &State;
};

} // namespace

std::vector<RelayEffect> reduce(RelayState &State, const RelayEvent &Event) {
  std::vector<RelayEffect> Effects;
  RelayContext Context(State, Effects);
  std::visit(RelayEventHandler(Context), Event);
  stopQuarantinedCalls(Context);
  updateQuorumState(Context);
  reviewConfigurationProof(Context);
  admitDeferredRequests(Context);
  return Effects;
}

bool isRelayReady(const RelayState &State) {
  const bool HasLedger =
      !State.LedgerLostSince ||
      State.Now - *State.LedgerLostSince < State.Options.UnreadyAfter;
  return State.Configuration.has_value() && !State.IsDraining && HasLedger;
}

} // namespace tanagerlanding
