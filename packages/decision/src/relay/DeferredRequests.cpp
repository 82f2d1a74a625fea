#include "DeferredRequests.h"

#include "Admission.h"
#include "ConfigurationProof.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

bool hasDirectory(const RelayState &State) {
  return State.Configuration.has_value() && !State.Targets.empty();
}

bool mayNeedLedger(const CallerRequest &Inbound) {
  return Inbound.PreviousTurn || Inbound.ResumedAttempt ||
         (Inbound.Program && Inbound.Program->Budget);
}

bool hasKey(const CallerRequest &Inbound) {
  return std::holds_alternative<KeyDigest>(Inbound.Credential);
}

/// Returns whether the relay lacks the directory, or the ledger or the proof of
/// its configuration if the request may need it.
bool isMissingDependency(const RelayState &State,
                         const CallerRequest &Inbound) {
  return !hasDirectory(State) ||
         (mayNeedLedger(Inbound) && State.LedgerLostSince) ||
         (hasKey(Inbound) && !isConfigurationProven(State));
}

/// Returns until when a request may be deferred.
Instant deferralDeadlineFor(const RelayState &State,
                            const CallerRequest &Inbound, Instant Arrived) {
  const Instant StartEnds = *State.StartedAt + State.Options.StartupGracePeriod;
  if (!Inbound.TimeLeft)
    return StartEnds;
  // The other half of the caller's time is left for running the request.
  return std::min(StartEnds, Arrived + *Inbound.TimeLeft / 2);
}

bool shouldDefer(const RelayState &State, const CallerRequest &Inbound,
                 Instant Arrived) {
  return !State.HasFinishedStartup && isMissingDependency(State, Inbound) &&
         State.Now < deferralDeadlineFor(State, Inbound, Arrived);
}

/// Returns what a request that is deferred waits for, as written to the log.
const char *missingDependency(const RelayState &State,
                              const CallerRequest &Inbound) {
  if (!hasDirectory(State))
    return "directory";
  return mayNeedLedger(Inbound) && State.LedgerLostSince ? "ledger" : "proof";
}

/// Ends start-up once directory, ledger and proof have been available, or after
/// its time limit. Requests are not deferred for anything that is lost later.
void updateStartupState(RelayState &State) {
  if (!State.StartedAt)
    State.StartedAt = State.Now;
  const bool IsOver =
      State.Options.StartupGracePeriod <= State.Now - *State.StartedAt;
  if (IsOver || (hasDirectory(State) && !State.LedgerLostSince &&
                 isConfigurationProven(State)))
    State.HasFinishedStartup = true;
}

} // namespace

void admitOrDeferRequest(RelayContext &Context, RequestId Request,
                         CallerRequest Inbound) {
  RelayState &State = Context.State;
  updateStartupState(State);
  if (!shouldDefer(State, Inbound, State.Now)) {
    admitCall(Context, Request, std::move(Inbound), State.Now);
    return;
  }
  Context.log(
      "request_kept",
      {{"request", Inbound.Id.Value},
       {"waits_for", missingDependency(State, Inbound)},
       {"since_start_ms", RelayContext::millis(State.Now - *State.StartedAt)}});
  State.DeferredRequests[Request] =
      DeferredRequest{std::move(Inbound), State.Now};
}

bool removeDeferredRequest(RelayContext &Context, RequestId Request) {
  RelayState &State = Context.State;
  const auto Found = State.DeferredRequests.find(Request);
  if (Found == State.DeferredRequests.end())
    return false;
  Context.log("caller_gone",
              {{"request", Found->second.InboundRequest.Id.Value}});
  State.DeferredRequests.erase(Found);
  return true;
}

void admitDeferredRequests(RelayContext &Context) {
  RelayState &State = Context.State;
  updateStartupState(State);
  if (State.DeferredRequests.empty())
    return;
  std::vector<RequestId> Due;
  for (const auto &[Request, Each] : State.DeferredRequests) {
    if (!shouldDefer(State, Each.InboundRequest, Each.Arrived))
      Due.push_back(Request);
  }
  for (const RequestId Request : Due) {
    DeferredRequest Each = std::move(State.DeferredRequests.at(Request));
    State.DeferredRequests.erase(Request);
    admitCall(Context, Request, std::move(Each.InboundRequest), Each.Arrived);
  }
}

} // namespace tanagerlanding
