#include "Waiting.h"

#include "Attempts.h"
#include "Placement.h"
#include "Turns.h"

#include <tuple>

namespace tanagerlanding {

namespace {

/// Returns whether this is the first turn of the call's program that the ledger
/// and this relay know of.
bool isFirstTurn(const RelayState &State, const RelayCall &Call) {
  return !Call.Asked.Previous && !hasOtherClaims(Call) && !hasHome(State, Call);
}

/// Returns the sort key of a queued call: its scheduling class, then the
/// deadline of its program, then its request id.
std::tuple<Urgency, Instant, RequestId> orderOf(const RelayState &State,
                                                const RelayCall &Call) {
  const Milliseconds Left =
      Call.Asked.Program->TimeLeft.value_or(Milliseconds(0));
  return {urgencyOf(State, Call), Call.Arrived + Left, Call.Request};
}

/// Returns the first call in queue order, or null if the queue is empty.
RelayCall *nextWaiting(RelayState &State) {
  RelayCall *Next = nullptr;
  std::tuple<Urgency, Instant, RequestId> First;
  for (const RequestId Request : State.Waiting) {
    RelayCall &Each = State.Calls.at(Request);
    const auto Order = orderOf(State, Each);
    if (Next && !(Order < First))
      continue;
    Next = &Each;
    First = Order;
  }
  return Next;
}

Milliseconds shareOf(Milliseconds Whole, double Share) {
  return Milliseconds(
      static_cast<std::int64_t>(Share * static_cast<double>(Whole.count())));
}

} // namespace

bool hasWaitedEnough(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Limit =
      shareOf(Call.Deadline - Call.Arrived, State.Options.WaitShare);
  return Call.Phase == RelayPhase::Waiting &&
         Limit <= State.Now - Call.WaitsSince;
}

Urgency urgencyOf(const RelayState &State, const RelayCall &Call) {
  const auto &Program = Call.Asked.Program;
  const bool IsTimed =
      Call.Route.IsStreaming && Program && Program->TimeLeft.has_value();
  // An answer that has begun must be completed, and no call may be queued
  // indefinitely.
  if (!IsTimed || Call.IsAnswering || hasWaitedEnough(State, Call))
    return Urgency::Underway;
  const Milliseconds Waited = State.Now - Call.Arrived;
  if (*Program->TimeLeft <= Waited)
    return Urgency::Late;
  if (!isFirstTurn(State, Call))
    return Urgency::Underway;
  const Milliseconds Slack =
      shareOf(*Program->TimeLeft, State.Options.StartSlack);
  return Waited < Slack ? Urgency::Starting : Urgency::Late;
}

double loadLimitOf(const RelayState &State, const RelayCall &Call) {
  const RelayOptions &Options = State.Options;
  switch (urgencyOf(State, Call)) {
  case Urgency::Underway:
    return Options.FullFactor;
  case Urgency::Starting:
    return Options.StartFactor;
  case Urgency::Late:
    return Options.LateFactor;
  }
  return Options.FullFactor;
}

void parkCall(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  const RequestId Request = Call.Request;
  Call.Phase = RelayPhase::Waiting;
  Call.WaitsSince = State.Now;
  State.Waiting.insert(Request);
  reviewWaiting(Context, 1);
  if (State.Waiting.count(Request) > 0)
    Context.logCall("call_waits", State.Calls.at(Request),
                    {{"waiting", std::to_string(State.Waiting.size())}});
}

void reviewWaiting(RelayContext &Context, std::uint32_t Most) {
  RelayState &State = Context.State;
  for (std::uint32_t Sent = 0; Sent < Most; ++Sent) {
    RelayCall *Next = nextWaiting(State);
    if (!Next)
      return;
    const auto Chosen = chooseTarget(State, *Next);
    if (!Chosen && Chosen.error() == PlacementFailure::Busy)
      return;
    State.Waiting.erase(Next->Request);
    sendCall(Context, *Next, Chosen);
  }
}

} // namespace tanagerlanding
