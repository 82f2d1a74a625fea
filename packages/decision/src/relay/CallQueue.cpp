#include "CallQueue.h"

#include "Attempts.h"
#include "Placement.h"
#include "Turns.h"

#include <tuple>

namespace tanagerlanding {

namespace {

/// Returns whether this is the first turn of the call's program that the ledger
/// and this relay know of.
bool isFirstTurn(const RelayState &State, const RelayCall &Call) {
  return !Call.InboundRequest.PreviousTurn && !hasClaimsOfOtherTurns(Call) &&
         !hasPromptCacheLocation(State, Call);
}

/// Returns the sort key of a queued call: its scheduling class, then the
/// deadline of its program, then its request id.
std::tuple<SchedulingClass, Instant, RequestId>
queueOrderOf(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Left =
      Call.InboundRequest.Program->TimeLeft.value_or(Milliseconds(0));
  return {schedulingClassOf(State, Call), Call.Arrived + Left, Call.Request};
}

/// Returns the first call in queue order, or null if the queue is empty.
RelayCall *nextQueuedCall(RelayState &State) {
  RelayCall *Next = nullptr;
  std::tuple<SchedulingClass, Instant, RequestId> First;
  for (const RequestId Request : State.QueuedCalls) {
    RelayCall &Each = State.Calls.at(Request);
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

void enqueueCall(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  const RequestId Request = Call.Request;
  Call.Phase = RelayPhase::Queued;
  Call.QueuedAt = State.Now;
  State.QueuedCalls.insert(Request);
  dispatchQueuedCalls(Context, 1);
  if (State.QueuedCalls.count(Request) > 0)
    Context.logCall("call_waits", State.Calls.at(Request),
                    {{"waiting", std::to_string(State.QueuedCalls.size())}});
}

void dispatchQueuedCalls(RelayContext &Context, std::uint32_t Most) {
  RelayState &State = Context.State;
  for (std::uint32_t Sent = 0; Sent < Most; ++Sent) {
    RelayCall *Next = nextQueuedCall(State);
    if (!Next)
      return;
    const auto Chosen = chooseTarget(State, *Next);
    if (!Chosen && Chosen.error() == PlacementFailure::Busy)
      return;
    State.QueuedCalls.erase(Next->Request);
    sendCall(Context, *Next, Chosen);
  }
}

} // namespace tanagerlanding
