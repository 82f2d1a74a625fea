#include "tanagerlanding/decision/relay/RelayReducer.h"

#include "Attempts.h"
#include "Directory.h"
#include "EarlyRequests.h"
#include "Placement.h"
#include "RelayContext.h"
#include "Turns.h"
#include "Waiting.h"

namespace tanagerlanding {

namespace {

/// Advances the shutdown: the relay is reported as not ready first, so that the
/// balancer can react; after DrainAccept it accepts no new connections; it
/// exits once nothing is in flight, or after DrainLimit.
void reviewDraining(RelayContext &Context) {
  RelayState &State = Context.State;
  if (!State.IsDraining || State.HasAskedExit)
    return;
  const Milliseconds Passed = State.Now - State.DrainSince;
  if (State.Options.DrainAccept <= Passed && !State.HasStoppedAccepting) {
    State.HasStoppedAccepting = true;
    Context.log("accepting_stopped",
                {{"calls", std::to_string(State.Calls.size())}});
    Context.add(StopAccepting{});
  }
  const bool IsIdle = State.HasStoppedAccepting && State.Calls.empty() &&
                      State.EarlyRequests.empty() && State.Closes.empty();
  const bool IsOverdue = State.Options.DrainLimit <= Passed;
  if (!IsIdle && !IsOverdue)
    return;
  State.HasAskedExit = true;
  Context.log("relay_stopped",
              {{"cut_calls", std::to_string(State.Calls.size())},
               {"passed_ms", RelayContext::millis(Passed)}});
  Context.add(ExitRelay{});
}

/// How often prompt cache locations are checked for eviction.
constexpr Milliseconds HomeReviewInterval{1000};

void reviewHomes(RelayState &State) {
  if (State.Now - State.HomesReviewedAt < HomeReviewInterval)
    return;
  State.HomesReviewedAt = State.Now;
  forgetOldHomes(State);
}

/// Dispatches an event to the handlers of its type.
class RelayEventHandler {
public:
  explicit RelayEventHandler(RelayContext &Context)
      : Context(Context), State(Context.State) {}

  void operator()(const RelayTimePassed &Event) {
    const bool HasStoodStill =
        this->State.Options.TickGap < Event.Now - this->State.Now;
    this->State.Now = Event.Now;
    if (HasStoodStill)
      forgiveSilence(this->State);
    reviewDeadlines(this->Context);
    reviewSilence(this->Context);
    reviewLedger(this->Context);
    forgetMissingTargets(this->Context);
    reviewHomes(this->State);
    reviewWaiting(this->Context, this->State.Options.SendsPerTick);
    reviewDraining(this->Context);
  }

  void operator()(const CallerAsked &Event) {
    takeRequest(this->Context, Event.Request, Event.Asked);
  }

  void operator()(const CallerGone &Event) {
    handleCallerGone(this->Context, Event.Request);
  }

  void operator()(const AttemptHeadCame &Event) {
    handleHead(this->Context, Event);
  }

  void operator()(const AttemptBytesCame &Event) {
    handleBytes(this->Context, Event);
  }

  void operator()(const AttemptEnded &Event) {
    handleEnd(this->Context, Event);
    // The attempt has freed capacity at its target.
    reviewWaiting(this->Context, 1);
  }

  void operator()(const RelayConfigured &Event) {
    adoptConfiguration(this->Context, Event.Configuration);
  }

  void operator()(const TargetRegistered &Event) {
    takeTarget(this->Context, Event.Entry);
  }

  void operator()(const TargetUnregistered &Event) {
    loseTarget(this->Context, Event.Id);
  }

  void operator()(const DirectoryLost &) {
    this->State.IsServiceReachable = false;
    this->Context.log("directory_lost", {});
  }

  void operator()(const DirectoryRegained &) {
    if (this->State.IsServiceReachable)
      return;
    this->State.IsServiceReachable = true;
    this->State.ServiceRegainedAt = this->State.Now;
    this->Context.log("directory_regained", {});
  }

  void operator()(const ReplicaReachTold &Event) {
    noteReplicaReach(this->Context, Event.Holder, Event.IsServiceLost);
  }

  void operator()(const RelayViewSeen &Event) {
    adoptRelayView(this->Context, Event.View);
  }

  void operator()(const ReplicaConnected &Event) {
    connectReplica(this->Context, Event.Holder);
  }

  void operator()(const ReplicaDisconnected &Event) {
    disconnectReplica(this->Context, Event.Holder);
  }

  void operator()(const ReplicaSaid &Event) {
    handleReplica(this->Context, Event.Holder, Event.Body);
  }

  void operator()(const RelayTerminationAsked &) {
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
  reviewQuorum(Context);
  reviewEarlyRequests(Context);
  return Effects;
}

bool isRelayReady(const RelayState &State) {
  const bool HasLedger =
      !State.LedgerLostSince ||
      State.Now - *State.LedgerLostSince < State.Options.UnreadyAfter;
  return State.Configuration.has_value() && !State.IsDraining && HasLedger;
}

} // namespace tanagerlanding
