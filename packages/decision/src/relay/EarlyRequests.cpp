#include "EarlyRequests.h"

#include "Admission.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

bool knowsDirectory(const RelayState &State) {
  return State.Configuration.has_value() && !State.Targets.empty();
}

bool mayNeedLedger(const CallerRequest &Asked) {
  return Asked.Previous || (Asked.Program && Asked.Program->Budget);
}

/// Returns whether the relay lacks the directory, or the ledger if the request
/// may need it.
bool lacksSomething(const RelayState &State, const CallerRequest &Asked) {
  return !knowsDirectory(State) ||
         (mayNeedLedger(Asked) && State.LedgerLostSince);
}

/// Returns until when a request may be deferred.
Instant limitFor(const RelayState &State, const CallerRequest &Asked,
                 Instant Arrived) {
  const Instant StartEnds = *State.StartedAt + State.Options.StartLimit;
  if (!Asked.TimeLeft)
    return StartEnds;
  // The other half of the caller's time is left for running the request.
  return std::min(StartEnds, Arrived + *Asked.TimeLeft / 2);
}

bool isToBeKept(const RelayState &State, const CallerRequest &Asked,
                Instant Arrived) {
  return !State.HasBegun && lacksSomething(State, Asked) &&
         State.Now < limitFor(State, Asked, Arrived);
}

/// Ends start-up once directory and ledger have been available, or after its
/// time limit. Requests are not deferred for anything that is lost later.
void noteBeginning(RelayState &State) {
  if (!State.StartedAt)
    State.StartedAt = State.Now;
  const bool IsOver = State.Options.StartLimit <= State.Now - *State.StartedAt;
  if (IsOver || (knowsDirectory(State) && !State.LedgerLostSince))
    State.HasBegun = true;
}

} // namespace

void takeRequest(RelayContext &Context, RequestId Request,
                 CallerRequest Asked) {
  RelayState &State = Context.State;
  noteBeginning(State);
  if (!isToBeKept(State, Asked, State.Now)) {
    admitCall(Context, Request, std::move(Asked), State.Now);
    return;
  }
  Context.log(
      "request_kept",
      {{"request", Asked.Id.Value},
       {"waits_for", knowsDirectory(State) ? "ledger" : "directory"},
       {"since_start_ms", RelayContext::millis(State.Now - *State.StartedAt)}});
  State.EarlyRequests[Request] = EarlyRequest{std::move(Asked), State.Now};
}

bool dropEarlyRequest(RelayContext &Context, RequestId Request) {
  RelayState &State = Context.State;
  const auto Found = State.EarlyRequests.find(Request);
  if (Found == State.EarlyRequests.end())
    return false;
  Context.log("caller_gone", {{"request", Found->second.Asked.Id.Value}});
  State.EarlyRequests.erase(Found);
  return true;
}

void reviewEarlyRequests(RelayContext &Context) {
  RelayState &State = Context.State;
  noteBeginning(State);
  if (State.EarlyRequests.empty())
    return;
  std::vector<RequestId> Due;
  for (const auto &[Request, Each] : State.EarlyRequests) {
    if (!isToBeKept(State, Each.Asked, Each.Arrived))
      Due.push_back(Request);
  }
  for (const RequestId Request : Due) {
    EarlyRequest Each = std::move(State.EarlyRequests.at(Request));
    State.EarlyRequests.erase(Request);
    admitCall(Context, Request, std::move(Each.Asked), Each.Arrived);
  }
}

} // namespace tanagerlanding
