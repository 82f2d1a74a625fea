#include "ProgramStarts.h"

#include "CallQueue.h"
#include "Directory.h"
#include "LoadCurve.h"
#include "ReplicaRanking.h"
#include "TargetLoads.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Changes of the learned load limit below this are not logged.
constexpr double LoggedLimitChange = 0.1;

std::uint32_t heldStarts(const RelayState &State, const StartStock &Stock) {
  const bool IsValid =
      State.Now - Stock.GrantedAt < State.Options.StartGrantLifetime;
  return IsValid ? Stock.Granted : 0;
}

/// Returns the first turns that wait for a start, by priority.
std::vector<WaitingStarts> waitingStarts(const RelayState &State,
                                         const ServiceName &Service) {
  std::map<std::uint32_t, std::uint32_t> ByPriority;
  for (const RequestId Request : State.QueuedCalls) {
    const RelayCall &Each = State.Calls.at(Request);
    if (!(Each.Service == Service) || !isLimitedStart(State, Each))
      continue;
    const bool IsOverdue =
        schedulingClassOf(State, Each) == SchedulingClass::Overdue;
    ++ByPriority[IsOverdue ? OverdueStartPriority : Each.Priority];
  }
  std::vector<WaitingStarts> Waiting;
  Waiting.reserve(ByPriority.size());
  for (const auto &[Priority, Count] : ByPriority)
    Waiting.push_back(WaitingStarts{Priority, Count});
  return Waiting;
}

/// Returns the turns of programs in progress that run or are queued here.
/// Queued turns of programs past their deadline give way to starts.
std::uint32_t turnsInFlight(const RelayState &State,
                            const ServiceName &Service) {
  std::uint32_t Count = 0;
  for (const auto &[Request, Call] : State.Calls) {
    const bool IsTurn = Call.Route.IsStreaming && Call.InboundRequest.Program;
    if (!IsTurn || !(Call.Service == Service))
      continue;
    const bool IsQueued =
        Call.Phase == RelayPhase::Queued &&
        schedulingClassOf(State, Call) == SchedulingClass::InProgress;
    Count += Call.Phase == RelayPhase::Running || IsQueued;
  }
  return Count;
}

/// Returns the slots of the targets of a service that may get requests.
std::uint32_t slotsOfService(const RelayState &State,
                             const ServiceName &Service) {
  double Slots = 0;
  const auto Registered = State.TargetsByService.find(Service);
  if (Registered == State.TargetsByService.end())
    return 0;
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!isLeaving(State, Target.Entry) && !Target.MissingSince)
      Slots += slotsOf(State, Target);
  }
  return static_cast<std::uint32_t>(Slots);
}

/// Returns the replica that decides on the starts at a service; empty if there
/// is none.
HolderId deciderOf(const RelayState &State, const ServiceName &Service) {
  if (hasNoIssuer(State))
    return HolderId();
  return rankedIssuers(State, Service.Value).front();
}

void logLoadLimit(RelayContext &Context, const ServiceName &Service,
                  StartStock &Stock, double Limit) {
  const double Change = Limit - Stock.LoggedLimit;
  if (-LoggedLimitChange < Change && Change < LoggedLimitChange)
    return;
  Context.log("start_load_limit_changed",
              {{"service", Service.Value},
               {"per_slot", std::to_string(Limit)},
               {"before", std::to_string(Stock.LoggedLimit)}});
  Stock.LoggedLimit = Limit;
}

void sendRequest(RelayContext &Context, const ServiceName &Service,
                 StartStock &Stock, ProgramStartRequest Request) {
  RelayState &State = Context.State;
  const HolderId Decider = deciderOf(State, Service);
  if (Decider.Value.empty())
    return;
  if (!(Decider == Stock.Decider)) {
    Context.log("start_decider_changed", {{"service", Service.Value},
                                          {"before", Stock.Decider.Value},
                                          {"now", Decider.Value}});
    Stock.Decider = Decider;
    Stock.LastGrant = 0;
    Stock.UnansweredSince.reset();
  }
  Request.Service = Service;
  Request.AskedAt = State.Now;
  Request.Slots = slotsOfService(State, Service);
  Request.LoadLimit = turnLoadLimitOf(State, Service);
  Request.LastGrant = Stock.LastGrant;
  logLoadLimit(Context, Service, Stock, Request.LoadLimit);
  Stock.ReportedInFlight = Request.InFlight;
  Stock.AskedAt = State.Now;
  if (!Stock.UnansweredSince)
    Stock.UnansweredSince = State.Now;
  Context.send(Decider, std::move(Request));
}

/// Turns to the next replica if the present one has not answered in time.
void replaceSilentDecider(RelayContext &Context, StartStock &Stock) {
  RelayState &State = Context.State;
  const bool IsSilent =
      Stock.UnansweredSince &&
      State.Options.QuotaAnswerTimeout <= State.Now - *Stock.UnansweredSince;
  if (!IsSilent)
    return;
  markSilent(State, Stock.Decider);
  Stock.UnansweredSince.reset();
  Context.count("relay_program_starts_total", "unanswered");
}

/// Sends a request if there is something new to tell: at each tick while starts
/// wait here, as the next one depends on what has ended meanwhile.
void reportUse(RelayContext &Context, const ServiceName &Service,
               StartStock &Stock) {
  RelayState &State = Context.State;
  ProgramStartRequest Request;
  Request.Waiting = waitingStarts(State, Service);
  Request.InFlight = turnsInFlight(State, Service) + heldStarts(State, Stock);
  const bool IsDue =
      State.Options.StartReportInterval <= State.Now - Stock.AskedAt &&
      (!Request.Waiting.empty() || Request.InFlight > 0 ||
       Stock.ReportedInFlight > 0);
  const bool IsChanged =
      !Request.Waiting.empty() && Request.InFlight != Stock.ReportedInFlight;
  if (IsDue || IsChanged)
    sendRequest(Context, Service, Stock, std::move(Request));
}

} // namespace

bool mayStartProgram(const RelayState &State, const ServiceName &Service) {
  if (hasNoIssuer(State))
    return expectedLoadPerSlot(State, Service) <
           turnLoadLimitOf(State, Service);
  const auto Found = State.ProgramStarts.find(Service);
  return Found != State.ProgramStarts.end() &&
         heldStarts(State, Found->second) > 0;
}

void recordTurnOfProgram(RelayState &State, const RelayCall &Call) {
  if (!hasOverloadControl(State))
    return;
  StartStock &Stock = State.ProgramStarts[Call.Service];
  if (isStart(State, Call) && heldStarts(State, Stock) > 0)
    --Stock.Granted;
}

void requestProgramStarts(RelayContext &Context, const ServiceName &Service) {
  RelayState &State = Context.State;
  StartStock &Stock = State.ProgramStarts[Service];
  ProgramStartRequest Request;
  Request.Waiting = waitingStarts(State, Service);
  Request.InFlight = turnsInFlight(State, Service) + heldStarts(State, Stock);
  sendRequest(Context, Service, Stock, std::move(Request));
}

void handleStartGrant(RelayContext &Context, const HolderId &Holder,
                      const ProgramStartGrant &Grant) {
  RelayState &State = Context.State;
  const auto Found = State.ProgramStarts.find(Grant.Service);
  const bool IsLate =
      Grant.AskedAt + State.Options.StartGrantLifetime <= State.Now ||
      State.Now < Grant.AskedAt;
  if (Found == State.ProgramStarts.end() || IsLate) {
    Context.add(
        CountMetric{"relay_program_starts_total", "unused", Grant.Count});
    return;
  }
  StartStock &Stock = Found->second;
  if (Holder == Stock.Decider) {
    Stock.UnansweredSince.reset();
    Stock.LastGrant = std::max(Stock.LastGrant, Grant.Sequence);
    Stock.NextStartAt = State.Now + Grant.NextIn;
  }
  if (Grant.Count == 0)
    return;
  Context.add(
      CountMetric{"relay_program_starts_total", "granted", Grant.Count});
  Stock.Granted = heldStarts(State, Stock) + Grant.Count;
  Stock.GrantedAt = State.Now;
  dispatchQueuedCalls(Context, Grant.Count);
}

void maintainProgramStarts(RelayContext &Context) {
  RelayState &State = Context.State;
  if (!hasOverloadControl(State)) {
    State.ProgramStarts.clear();
    return;
  }
  for (auto &[Service, Stock] : State.ProgramStarts) {
    replaceSilentDecider(Context, Stock);
    reportUse(Context, Service, Stock);
  }
}

void resetStartTimeouts(RelayState &State) {
  for (auto &[Service, Stock] : State.ProgramStarts) {
    if (Stock.UnansweredSince)
      Stock.UnansweredSince = State.Now;
  }
}

Milliseconds timeToNextStart(const RelayState &State,
                             const ServiceName &Service) {
  const auto Found = State.ProgramStarts.find(Service);
  if (Found == State.ProgramStarts.end())
    return Milliseconds(0);
  return std::max(Milliseconds(0), Found->second.NextStartAt - State.Now);
}

} // namespace tanagerlanding
