#include "CallQueue.h"

#include "Attempts.h"
#include "Placement.h"
#include "Turns.h"

#include <algorithm>
#include <tuple>

namespace tanagerlanding {

namespace {

/// Returns whether this is the first turn of the call's program that the ledger
/// and this relay know of.
bool isFirstTurn(const RelayState &State, const RelayCall &Call) {
  return !Call.InboundRequest.PreviousTurn && !hasClaimsOfOtherTurns(Call) &&
         !hasPromptCacheLocation(State, Call);
}

using QueueOrder = std::tuple<SchedulingClass, Instant, RequestId>;

/// Returns the sort key of a queued call: its scheduling class, then the
/// deadline of its program or, without one, its own, then its request id.
QueueOrder queueOrderOf(const RelayState &State, const RelayCall &Call) {
  const auto &Program = Call.InboundRequest.Program;
  const Instant Deadline = Program && Program->TimeLeft
                               ? Call.Arrived + *Program->TimeLeft
                               : Call.Deadline;
  return {schedulingClassOf(State, Call), Deadline, Call.Request};
}

/// Returns the first call in queue order of a service that is not blocked, or
/// null if there is none.
RelayCall *nextQueuedCall(RelayState &State,
                          const std::set<ServiceName> &Blocked) {
  RelayCall *Next = nullptr;
  QueueOrder First;
  for (const RequestId Request : State.QueuedCalls) {
    RelayCall &Each = State.Calls.at(Request);
    if (Blocked.count(Each.Service) > 0)
      continue;
    const auto Order = queueOrderOf(State, Each);
    if (Next && !(Order < First))
      continue;
    Next = &Each;
    First = Order;
  }
  return Next;
}

Milliseconds fractionOf(Milliseconds Whole, double Share) {
  return Milliseconds(
      static_cast<std::int64_t>(Share * static_cast<double>(Whole.count())));
}

} // namespace

bool hasReachedQueueTimeLimit(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Limit = fractionOf(Call.Deadline - Call.Arrived,
                                        State.Options.MaxQueueTimeFraction);
  return Call.Phase == RelayPhase::Queued && Limit <= State.Now - Call.QueuedAt;
}

SchedulingClass schedulingClassOf(const RelayState &State,
                                  const RelayCall &Call) {
  const auto &Program = Call.InboundRequest.Program;
  const bool IsTimed =
      Call.Route.IsStreaming && Program && Program->TimeLeft.has_value();
  // An answer that has begun must be completed, and no call may be queued
  // indefinitely.
  if (!IsTimed || Call.HasBegunAnswer || hasReachedQueueTimeLimit(State, Call))
    return SchedulingClass::InProgress;
  const Milliseconds Waited = State.Now - Call.Arrived;
  if (*Program->TimeLeft <= Waited)
    return SchedulingClass::Overdue;
  if (!isFirstTurn(State, Call))
    return SchedulingClass::InProgress;
  const Milliseconds Slack =
      fractionOf(*Program->TimeLeft, State.Options.MaxStartDelayFraction);
  return Waited < Slack ? SchedulingClass::Starting : SchedulingClass::Overdue;
}

double loadLimitOf(const RelayState &State, const RelayCall &Call) {
  const RelayOptions &Options = State.Options;
  switch (schedulingClassOf(State, Call)) {
  case SchedulingClass::InProgress:
    return Options.MaxLoadPerSlot;
  case SchedulingClass::Starting:
    return Options.StartingLoadPerSlot;
  case SchedulingClass::Overdue:
    return Options.OverdueLoadPerSlot;
  }
  return Options.MaxLoadPerSlot;
}

bool isBehindAwaitingCall(const RelayState &State, const RelayCall &Call) {
  const QueueOrder Own = queueOrderOf(State, Call);
  return std::any_of(State.QueuedCalls.begin(), State.QueuedCalls.end(),
                     [&](RequestId Request) {
                       const RelayCall &Each = State.Calls.at(Request);
                       return Each.IsAwaitingPermit &&
                              Each.Service == Call.Service &&
                              queueOrderOf(State, Each) < Own;
                     });
}

std::optional<Milliseconds> expectedQueueTime(const RelayState &State,
                                              const RelayCall &Call) {
  const auto Sent = State.SendRates.find(Call.Service);
  const double Rate =
      Sent == State.SendRates.end()
          ? 0
          : Sent->second.ratePerSecond(State.Now, State.Options.RateHalfLife);
  if (Rate < State.Options.MinRequestsPerSecond)
    return std::nullopt;
  const QueueOrder Own = queueOrderOf(State, Call);
  double Ahead = 0;
  for (const RequestId Request : State.QueuedCalls) {
    const RelayCall &Each = State.Calls.at(Request);
    Ahead += Each.Service == Call.Service && queueOrderOf(State, Each) < Own;
  }
  return Milliseconds(static_cast<std::int64_t>(1000 * Ahead / Rate));
}

bool mayAwaitPermit(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Limit =
      fractionOf(Call.Deadline - State.Now, State.Options.MaxQueueTimeFraction);
  const auto Expected = expectedQueueTime(State, Call);
  return Milliseconds(0) < Limit && (!Expected || *Expected < Limit);
}

void refuseStarvedCalls(RelayContext &Context) {
  RelayState &State = Context.State;
  std::vector<RequestId> Starved;
  for (const RequestId Request : State.QueuedCalls) {
    const RelayCall &Each = State.Calls.at(Request);
    if (!hasReachedQueueTimeLimit(State, Each))
      continue;
    const auto Chosen = chooseTarget(State, Each);
    if (!Chosen && Chosen.error() == PlacementFailure::AwaitingPermit)
      Starved.push_back(Request);
  }
  for (const RequestId Request : Starved)
    refuseCall(Context, State.Calls.at(Request),
               RelayRefusalReason::TargetLimit);
}

void enqueueCall(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  const RequestId Request = Call.Request;
  Call.Phase = RelayPhase::Queued;
  Call.QueuedAt = State.Now;
  State.QueuedCalls.insert(Request);
  dispatchQueuedCalls(Context, 1);
  if (State.QueuedCalls.count(Request) > 0)
    Context.logCall(
        "call_waits", State.Calls.at(Request),
        {{"waiting", std::to_string(State.QueuedCalls.size())},
         {"for_permit",
          State.Calls.at(Request).IsAwaitingPermit ? "yes" : "no"}});
}

void dispatchQueuedCalls(RelayContext &Context, std::uint32_t Most) {
  RelayState &State = Context.State;
  std::set<ServiceName> Blocked;
  for (std::uint32_t Sent = 0; Sent < Most;) {
    RelayCall *Next = nextQueuedCall(State, Blocked);
    if (!Next)
      return;
    const auto Chosen = chooseTarget(State, *Next);
    Next->IsAwaitingPermit =
        !Chosen && Chosen.error() == PlacementFailure::AwaitingPermit;
    if (Next->IsAwaitingPermit ||
        (!Chosen && Chosen.error() == PlacementFailure::Busy)) {
      Blocked.insert(Next->Service);
      continue;
    }
    State.QueuedCalls.erase(Next->Request);
    sendCall(Context, *Next, Chosen);
    ++Sent;
  }
}

} // namespace tanagerlanding
