#include "CallQueue.h"

#include "Attempts.h"
#include "Placement.h"
#include "ProgramStarts.h"
#include "ReplicaRanking.h"
#include "Turns.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tanagerlanding {

namespace {

/// Count of recent turns below which a team's count is removed.
constexpr double NegligibleTurns = 0.01;

/// The part of its program's time for which a first turn may be queued where
/// starts are limited. A program's time is at least a fifth more than it takes
/// on idle targets, and its turns need most of that while targets are busy.
constexpr double MaxLimitedStartDelayFraction = 0.1;
/// The part of its time that a program may have lost by refusals of its first
/// turn and still meet its deadline.
constexpr double MaxLostTimeFraction = 0.2;

/// Returns whether this is the first turn of the call's program that the ledger
/// and this relay know of. Where starts are limited, a program whose first turn
/// was refused has not begun.
bool isFirstTurn(const RelayState &State, const RelayCall &Call) {
  const OtherTurns Others = otherTurnsOf(Call);
  const bool HasBegun =
      Others.Begun > 0 || (!hasOverloadControl(State) && Others.Refused > 0);
  return !Call.InboundRequest.PreviousTurn && !HasBegun &&
         !hasPromptCacheLocation(State, Call);
}

/// Returns whether a program has lost too much time by refusals of its first
/// turn to meet its deadline. Each has cost the shortest retry delay at least.
bool hasLostTooMuchTime(const RelayState &State, const RelayCall &Call) {
  const std::size_t Refused = otherTurnsOf(Call).Refused;
  const auto Lost = static_cast<double>(Refused) * State.Options.RetryAfter;
  const auto Left = *Call.InboundRequest.Program->TimeLeft;
  return MaxLostTimeFraction * Left < (1 - MaxLostTimeFraction) * Lost;
}

bool isTurn(const RelayCall &Call) {
  const auto &Program = Call.InboundRequest.Program;
  return Call.Route.IsStreaming && Program && Program->TimeLeft.has_value();
}

/// Returns the turns that were sent recently for a team, so that of two teams
/// the one that has had less goes first and a busy team costs others nothing.
double recentTurnsOf(const RelayState &State,
                     const std::optional<TeamId> &Team) {
  if (!Team)
    return 0;
  const auto Found = State.TeamTurns.find(*Team);
  return Found == State.TeamTurns.end()
             ? 0
             : std::floor(Found->second.valueAt(State.Now,
                                                State.Options.RateHalfLife));
}

using QueueOrder = std::tuple<SchedulingClass, std::uint32_t, std::uint32_t,
                              double, Instant, RequestId>;

/// Returns the sort key of a queued call: its scheduling class, its priority,
/// its route's, the recent turns of its team, the deadline of its program or,
/// without one, its own, and its request id.
QueueOrder queueOrderOf(const RelayState &State, const RelayCall &Call) {
  const auto &Program = Call.InboundRequest.Program;
  const Instant Deadline = Program && Program->TimeLeft
                               ? Call.Arrived + *Program->TimeLeft
                               : Call.Deadline;
  if (!hasOverloadControl(State))
    return {schedulingClassOf(State, Call), 0, 0, 0, Deadline, Call.Request};
  return {schedulingClassOf(State, Call),  Call.Priority, Call.Route.Priority,
          recentTurnsOf(State, Call.Team), Deadline,      Call.Request};
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

double rateOf(const RelayState &State,
              const std::map<ServiceName, DecayingCount> &Rates,
              const ServiceName &Service, Milliseconds HalfLife) {
  const auto Found = Rates.find(Service);
  return Found == Rates.end()
             ? 0
             : Found->second.ratePerSecond(State.Now, HalfLife);
}

Milliseconds fractionOf(Milliseconds Whole, double Share) {
  return Milliseconds(
      static_cast<std::int64_t>(Share * static_cast<double>(Whole.count())));
}

/// The first turns in the queue that are more urgent than a call, and when the
/// oldest of all was queued.
struct StartsAhead {
  std::size_t Count = 0;
  Instant Oldest;
};

StartsAhead startsAheadOf(const RelayState &State, const RelayCall &Call) {
  const QueueOrder Own = queueOrderOf(State, Call);
  StartsAhead Found{0, State.Now};
  for (const RequestId Request : State.QueuedCalls) {
    const RelayCall &Each = State.Calls.at(Request);
    if (!(Each.Service == Call.Service) || !isStart(State, Each))
      continue;
    Found.Oldest = std::min(Found.Oldest, Each.QueuedAt);
    Found.Count += queueOrderOf(State, Each) < Own;
  }
  return Found;
}

/// Returns how long a turn may be queued; absent if overload control does not
/// limit it.
std::optional<Milliseconds> queueTimeLimitOf(const RelayState &State,
                                             const RelayCall &Call) {
  if (!hasOverloadControl(State))
    return std::nullopt;
  if (isStart(State, Call))
    return startDelayLimitOf(State, Call);
  if (schedulingClassOf(State, Call) == SchedulingClass::Overdue)
    return State.Options.MaxOverdueQueueTime;
  return std::nullopt;
}

} // namespace

bool hasReachedQueueTimeLimit(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Limit = fractionOf(Call.Deadline - Call.Arrived,
                                        State.Options.MaxQueueTimeFraction);
  return Call.Phase == RelayPhase::Queued && Limit <= State.Now - Call.QueuedAt;
}

bool hasOverloadControl(const RelayState &State) {
  return State.Configuration && State.Configuration->needsKeys();
}

SchedulingClass schedulingClassOf(const RelayState &State,
                                  const RelayCall &Call) {
  // An answer that has begun must be completed.
  if (!isTurn(Call) || Call.HasBegunAnswer)
    return SchedulingClass::InProgress;
  const bool MustBeSent =
      !hasOverloadControl(State) && hasReachedQueueTimeLimit(State, Call);
  if (MustBeSent)
    return SchedulingClass::InProgress;
  const auto &Program = Call.InboundRequest.Program;
  const Milliseconds Waited = State.Now - Call.Arrived;
  if (*Program->TimeLeft <= Waited)
    return SchedulingClass::Overdue;
  if (!isFirstTurn(State, Call))
    return SchedulingClass::InProgress;
  if (hasOverloadControl(State) && hasLostTooMuchTime(State, Call))
    return SchedulingClass::Overdue;
  const Milliseconds Slack =
      fractionOf(*Program->TimeLeft, State.Options.MaxStartDelayFraction);
  return Waited < Slack ? SchedulingClass::Starting : SchedulingClass::Overdue;
}

double loadLimitOf(const RelayState &State, const RelayCall &Call) {
  const RelayOptions &Options = State.Options;
  switch (schedulingClassOf(State, Call)) {
  case SchedulingClass::InProgress:
    return hasOverloadControl(State) && isTurn(Call) &&
                   !hasReachedQueueTimeLimit(State, Call)
               ? Options.InProgressLoadPerSlot
               : Options.MaxLoadPerSlot;
  case SchedulingClass::Starting:
    return Options.StartingLoadPerSlot;
  case SchedulingClass::Overdue:
    return hasReachedQueueTimeLimit(State, Call) && !isStart(State, Call)
               ? Options.InProgressLoadPerSlot
               : Options.OverdueLoadPerSlot;
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

bool isStart(const RelayState &State, const RelayCall &Call) {
  return isTurn(Call) && !Call.HasBegunAnswer && isFirstTurn(State, Call);
}

bool isLimitedStart(const RelayState &State, const RelayCall &Call) {
  return hasOverloadControl(State) && isStart(State, Call);
}

Milliseconds startDelayLimitOf(const RelayState &State, const RelayCall &Call) {
  const RelayOptions &Options = State.Options;
  const Milliseconds Own =
      fractionOf(Call.Deadline - Call.Arrived, Options.MaxQueueTimeFraction);
  const Milliseconds OfProgram = fractionOf(
      *Call.InboundRequest.Program->TimeLeft, MaxLimitedStartDelayFraction);
  return std::min(Own, OfProgram);
}

std::optional<Milliseconds> expectedStartDelay(const RelayState &State,
                                               const RelayCall &Call) {
  const StartsAhead Queue = startsAheadOf(State, Call);
  const double Rate = rateOf(State, State.StartRates, Call.Service,
                             State.Options.StartRateHalfLife);
  if (Rate < State.Options.MinRequestsPerSecond)
    return std::nullopt;
  return Milliseconds(
      static_cast<std::int64_t>(1000 * (Queue.Count + 1.0) / Rate));
}

bool mayQueueStart(const RelayState &State, const RelayCall &Call) {
  const StartsAhead Queue = startsAheadOf(State, Call);
  const bool IsHeldBack =
      hasNoIssuer(State) ||
      timeToNextStart(State, Call.Service) > Milliseconds(0);
  if (Queue.Count == 0 || !IsHeldBack)
    return true;
  const auto Expected = expectedStartDelay(State, Call);
  if (!Expected)
    return State.Now - Queue.Oldest < State.Options.UnknownStartDelayLimit;
  return *Expected < startDelayLimitOf(State, Call);
}

double expectedLoadPerSlot(const RelayState &State,
                           const ServiceName &Service) {
  const RelayOptions &Options = State.Options;
  const double Load = serviceLoadPerSlot(State, Service);
  // A relay that has just started has no usual rate to compare with.
  if (!State.StartedAt ||
      State.Now - *State.StartedAt < Options.UsualStartRateHalfLife)
    return Load;
  const double Recent =
      rateOf(State, State.StartRates, Service, Options.StartRateHalfLife);
  const double Usual = rateOf(State, State.UsualStartRates, Service,
                              Options.UsualStartRateHalfLife);
  const double Growth =
      (Recent + Options.StartRateNoise) / (Usual + Options.StartRateNoise);
  return Load * std::max(1.0, Growth);
}

void expireTeamTurns(RelayState &State) {
  for (auto Each = State.TeamTurns.begin(); Each != State.TeamTurns.end();) {
    const double Turns =
        Each->second.valueAt(State.Now, State.Options.RateHalfLife);
    Each =
        Turns < NegligibleTurns ? State.TeamTurns.erase(Each) : std::next(Each);
  }
}

void recordTurn(RelayState &State, const RelayCall &Call) {
  const RelayOptions &Options = State.Options;
  if (!isTurn(Call))
    return;
  recordTurnOfProgram(State, Call);
  if (Call.Team)
    State.TeamTurns[*Call.Team].add(1, State.Now, Options.RateHalfLife);
  if (!isStart(State, Call))
    return;
  State.StartRates[Call.Service].add(1, State.Now, Options.StartRateHalfLife);
  State.UsualStartRates[Call.Service].add(1, State.Now,
                                          Options.UsualStartRateHalfLife);
}

std::optional<Milliseconds> expectedQueueTime(const RelayState &State,
                                              const RelayCall &Call) {
  const double Rate =
      rateOf(State, State.SendRates, Call.Service, State.Options.RateHalfLife);
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

void refuseLateTurns(RelayContext &Context) {
  RelayState &State = Context.State;
  std::vector<RequestId> Late;
  for (const RequestId Request : State.QueuedCalls) {
    const RelayCall &Each = State.Calls.at(Request);
    const auto Limit = queueTimeLimitOf(State, Each);
    if (Limit && *Limit <= State.Now - Each.QueuedAt)
      Late.push_back(Request);
  }
  for (const RequestId Request : Late)
    refuseCall(Context, State.Calls.at(Request),
               RelayRefusalReason::Overloaded);
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
  if (isLimitedStart(State, Call) && !mayQueueStart(State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::Overloaded);
    return;
  }
  const RequestId Request = Call.Request;
  Call.Phase = RelayPhase::Queued;
  Call.QueuedAt = State.Now;
  State.QueuedCalls.insert(Request);
  const ServiceName Service = Call.Service;
  const bool NeedsStart = isLimitedStart(State, Call);
  dispatchQueuedCalls(Context, 1);
  if (NeedsStart && State.QueuedCalls.count(Request) > 0)
    requestProgramStarts(Context, Service);
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
