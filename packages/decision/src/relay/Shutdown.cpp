#include "Shutdown.h"

#include "Attempts.h"
#include "MovingAverage.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Weight of the newest run time in the average of its route.
constexpr double RunTimeWeight = 0.1;
/// Calls run for up to this many times the average.
constexpr int RunTimeFactor = 2;

Instant exitTimeOf(const RelayState &State) {
  return State.DrainSince + State.Options.DrainTimeout;
}

/// Returns how long a call may run at its target; 0 if none of its route has
/// ended yet.
Milliseconds expectedRunTime(const RelayState &State, const RelayCall &Call) {
  const auto Found = State.RunMillis.find(Call.Route.Name);
  if (Found == State.RunMillis.end())
    return Milliseconds(0);
  return Milliseconds(static_cast<std::int64_t>(RunTimeFactor * Found->second));
}

/// Returns whether a call waits at this relay and nothing of it has been sent
/// to its caller.
bool isUnsent(const RelayCall &Call) {
  return Call.Attempt.Value == 0 && !Call.HasBegunAnswer;
}

template <typename Predicate>
void refuseCalls(RelayContext &Context, Predicate ShouldRefuse) {
  std::vector<RequestId> Refused;
  for (const auto &[Request, Call] : Context.State.Calls) {
    if (ShouldRefuse(Call))
      Refused.push_back(Request);
  }
  for (const RequestId Request : Refused)
    refuseUnfinishedCall(Context, Context.State.Calls.at(Request),
                         RelayRefusalReason::Stopping);
}

} // namespace

void recordRunTime(RelayState &State, const RelayCall &Call) {
  updateMovingAverage(State.RunMillis[Call.Route.Name],
                      millisOf(State.Now - Call.SentAt), RunTimeWeight);
}

bool mayAdmitBeforeExit(const RelayState &State, const RelayCall &Call) {
  return !State.HasStoppedAccepting || Call.Deadline < exitTimeOf(State);
}

bool mayEndBeforeExit(const RelayState &State, const RelayCall &Call) {
  const Instant Exit = exitTimeOf(State);
  return !State.IsDraining || Call.Deadline < Exit ||
         State.Now + expectedRunTime(State, Call) < Exit;
}

void advanceShutdown(RelayContext &Context) {
  RelayState &State = Context.State;
  if (!State.IsDraining || State.HasRequestedExit)
    return;
  const RelayOptions &Options = State.Options;
  const Milliseconds Passed = State.Now - State.DrainSince;
  const Milliseconds AcceptPeriod =
      std::min(Options.DrainAcceptPeriod, Options.DrainTimeout);
  if (AcceptPeriod <= Passed && !State.HasStoppedAccepting) {
    State.HasStoppedAccepting = true;
    Context.log("accepting_stopped",
                {{"calls", std::to_string(State.Calls.size())}});
    Context.add(StopAccepting{});
  }
  refuseCalls(Context, [&State](const RelayCall &Call) {
    return isUnsent(Call) && !mayEndBeforeExit(State, Call);
  });
  const bool IsIdle = State.HasStoppedAccepting && State.Calls.empty() &&
                      State.DeferredRequests.empty() &&
                      State.PendingCloses.empty();
  const bool IsOverdue = Options.DrainTimeout <= Passed;
  if (!IsIdle && !IsOverdue)
    return;
  State.HasRequestedExit = true;
  Context.log("relay_stopped",
              {{"cut_calls", std::to_string(State.Calls.size())},
               {"passed_ms", RelayContext::millis(Passed)}});
  refuseCalls(Context, [](const RelayCall &) { return true; });
  Context.add(ExitRelay{});
}

} // namespace tanagerlanding
