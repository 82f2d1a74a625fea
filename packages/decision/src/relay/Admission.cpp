#include "Admission.h"

#include "Attempts.h"
#include "ConfigurationProof.h"
#include "CrashDetection.h"
#include "QuotaPermits.h"
#include "Refusals.h"
#include "RequestContent.h"
#include "Shutdown.h"
#include "Teams.h"
#include "Turns.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns the host name of an authority, which may end with a port.
std::string hostOf(const std::string &Authority) {
  return Authority.substr(0, Authority.find(':'));
}

/// Returns the service for a request, chosen by weight with a hash so that all
/// turns of a program go to the same service.
ServiceName pickService(const RelayRoute &Route, const CallerRequest &Inbound) {
  std::uint64_t Total = 0;
  for (const WeightedService &Each : Route.Services)
    Total += Each.Weight;
  if (Total == 0)
    return Route.Services.front().Service;
  const CallerAttemptId &First = Inbound.ResumedAttempt.value_or(Inbound.Id);
  const std::string &Key =
      Inbound.Program ? Inbound.Program->Program.Value : First.Value;
  std::uint64_t Point = hashBytes(Key) % Total;
  for (const WeightedService &Each : Route.Services) {
    if (Point < Each.Weight)
      return Each.Service;
    Point -= Each.Weight;
  }
  return Route.Services.back().Service;
}

void refuseUnadmitted(RelayContext &Context, RequestId Request,
                      const CallerRequest &Inbound, RelayRefusalReason Reason) {
  const RelayRefusal Refusal{Reason, Execution::NotRun,
                             retryAfterFor(Context.State, Reason)};
  Context.log("request_refused",
              {{"request", Inbound.Id.Value},
               {"reason", toString(Reason)},
               {"host", Inbound.Host},
               {"path", pathOf(Inbound.RequestTarget)},
               {"config",
                Context.State.Configuration
                    ? std::to_string(Context.State.Configuration->Version.Value)
                    : std::string("none")}});
  Context.count("relay_refusals_total", toString(Reason));
  Context.add(RefuseCaller{Request, Refusal});
}

} // namespace

void admitCall(RelayContext &Context, RequestId Request, CallerRequest Inbound,
               Instant Arrived) {
  RelayState &State = Context.State;
  if (!State.Configuration) {
    refuseUnadmitted(Context, Request, Inbound,
                     RelayRefusalReason::NotConfigured);
    return;
  }
  const RelayRoute *Route =
      findRoute(*State.Configuration, hostOf(Inbound.Host),
                pathOf(Inbound.RequestTarget));
  if (!Route || Route->Services.empty()) {
    refuseUnadmitted(Context, Request, Inbound, RelayRefusalReason::NoRoute);
    return;
  }
  const auto Team =
      resolveTeam(*State.Configuration, *Route, Inbound.Credential);
  if (!Team) {
    refuseUnadmitted(Context, Request, Inbound, Team.error());
    return;
  }
  RelayCall Call;
  Call.Request = Request;
  Call.Route = *Route;
  Call.Team = Team.value();
  Call.Priority = priorityOf(*State.Configuration, *Route, Call.Team);
  Call.Service = pickService(*Route, Inbound);
  Call.Content = contentOf(Inbound, Call.Team);
  Call.PathContent = pathContentOf(Inbound, Call.Team);
  Call.Version = State.Configuration->Version;
  const auto Service = State.Configuration->Services.find(Call.Service);
  if (Service != State.Configuration->Services.end())
    Call.TokensPerEvent = Service->second.TokensPerEvent;
  Call.Arrived = Arrived;
  Call.Deadline = Arrived + std::min(Route->Timeout,
                                     Inbound.TimeLeft.value_or(Route->Timeout));
  Call.LastEventId = Inbound.LastEventId.value_or(0);
  Call.InboundRequest = std::move(Inbound);
  RelayCall &Admitted = State.Calls[Request] = std::move(Call);
  recordRequestedPath(State, Admitted);
  if (!hasTimeLeft(Context, Admitted))
    refuseCall(Context, Admitted, RelayRefusalReason::DeadlinePassed);
  else if (!mayAdmitBeforeExit(State, Admitted))
    refuseCall(Context, Admitted, RelayRefusalReason::Stopping);
  else if (!mayUseKey(State, Admitted))
    refuseCall(Context, Admitted, RelayRefusalReason::ConfigurationStale);
  else if (isQuarantined(State, Admitted))
    refuseCall(Context, Admitted, RelayRefusalReason::Quarantined);
  else
    admitWithinQuota(Context, Admitted);
}

void startAdmittedCall(RelayContext &Context, RelayCall &Call) {
  if (needsLedger(Call))
    openTurn(Context, Call);
  else
    dispatchCall(Context, Call);
}

} // namespace tanagerlanding
