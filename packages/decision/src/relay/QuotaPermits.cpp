#include "QuotaPermits.h"

#include "Admission.h"
#include "Attempts.h"
#include "Placement.h"
#include "Refusals.h"
#include "ReplicaRanking.h"
#include "RequestPermits.h"
#include "Turns.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagerlanding {

namespace {

/// Requests to one replica, collected into one message.
using RowsByReplica = std::map<HolderId, std::vector<PermitRequest::Row>>;

/// Returns the quota in force for a team; absent if it has none.
std::optional<RequestQuota> quotaOf(const RelayState &State,
                                    const TeamId &Team) {
  if (!State.Configuration)
    return std::nullopt;
  const auto Found = State.Configuration->Teams.find(Team);
  const bool HasQuota = Found != State.Configuration->Teams.end() &&
                        Found->second.Quota &&
                        Found->second.Quota->Rate.PerSecond > 0;
  return HasQuota ? Found->second.Quota : std::nullopt;
}

/// Returns whether a call is the first turn of a program, as far as this relay
/// can tell before the turn is opened.
bool startsProgram(const RelayState &State, const RelayCall &Call) {
  const CallerRequest &Inbound = Call.InboundRequest;
  return Call.Route.IsStreaming && Inbound.Program && !Inbound.PreviousTurn &&
         !Inbound.ResumedAttempt && !hasPromptCacheLocation(State, Call);
}

/// Returns when a replica has the next permit after its last denial.
Instant nextPermitAt(const PermitInquiry &Inquiry, bool IsFirstTurn) {
  return IsFirstTurn ? Inquiry.NextForFirstTurns : Inquiry.NextForOthers;
}

/// Returns the replicas that may have a permit of a team, in the order in which
/// they are asked. It is the same at all relays, so that the requests of a
/// small team draw on the same bucket wherever they arrive.
std::vector<HolderId> issuersToAsk(const RelayState &State, const TeamId &Team,
                                   bool IsFirstTurn) {
  std::vector<HolderId> Order = rankedIssuers(State, Team.Value);
  const auto Stock = State.Permits.find(Team);
  if (Stock == State.Permits.end())
    return Order;
  const auto HasDenied = [&](const HolderId &Each) {
    const auto Known = Stock->second.Inquiries.find(Each);
    return Known != Stock->second.Inquiries.end() &&
           State.Now < nextPermitAt(Known->second, IsFirstTurn);
  };
  Order.erase(std::remove_if(Order.begin(), Order.end(), HasDenied),
              Order.end());
  return Order;
}

/// Returns the permits of a team that are awaited from a replica.
std::uint32_t awaitedFrom(const RelayState &State,
                          const PermitInquiry &Inquiry) {
  const bool IsLapsed =
      State.Options.QuotaAnswerTimeout <= State.Now - Inquiry.AskedAt;
  return IsLapsed ? 0 : Inquiry.Awaited;
}

/// Records a request for permits of a team and adds its row.
void addRow(RelayState &State, const TeamId &Team, const HolderId &Replica,
            std::uint32_t Wanted, bool IsFirstTurn, RowsByReplica &Rows) {
  PermitInquiry &Inquiry = State.Permits[Team].Inquiries[Replica];
  Inquiry.Awaited = awaitedFrom(State, Inquiry) + Wanted;
  Inquiry.AskedAt = State.Now;
  Rows[Replica].push_back(
      PermitRequest::Row{TeamQuotaNotice{Team, State.Configuration->Version,
                                         *quotaOf(State, Team)},
                         Wanted, IsFirstTurn});
}

void sendRows(RelayContext &Context, RowsByReplica Rows) {
  for (auto &[Replica, Each] : Rows)
    Context.send(Replica, PermitRequest{Context.now(), std::move(Each)});
}

/// Returns the rate at which this relay goes on for a team without replicas:
/// that of its grants when it last had one.
RequestRate ownShareOf(const RelayState &State, const PermitStock &Stock,
                       const RequestQuota &Quota) {
  const Instant Since = std::max(State.NoIssuerSince.value_or(State.Now),
                                 Stock.Granted.CountedAt);
  const double Granted =
      Stock.Granted.ratePerSecond(Since, State.Options.RateHalfLife);
  return RequestRate{
      std::min(Quota.Rate.PerSecond,
               std::max(Granted, State.Options.MinOwnQuotaPerSecond))};
}

/// Starts a call that has taken a permit.
void startWithPermit(RelayContext &Context, RelayCall &Call,
                     Instant PermitUntil) {
  auto &Waiting = Context.State.CallsAwaitingQuota;
  const auto Team = Waiting.find(*Call.Team);
  if (Team != Waiting.end()) {
    Team->second.erase(Call.Request);
    if (Team->second.empty())
      Waiting.erase(Team);
  }
  Call.Quota.Asked = HolderId();
  ++Context.State.Permits[*Call.Team].UnreportedRequests;
  Call.Quota.PermitUntil = PermitUntil;
  startAdmittedCall(Context, Call);
}

/// Starts a call that waits if this relay holds a permit for it.
bool startIfPermitted(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  if (Call.Quota.NeedsStart)
    return false;
  const auto Until = takePermit(State, State.Permits[*Call.Team]);
  if (Until)
    startWithPermit(Context, Call, *Until);
  return Until.has_value();
}

/// Returns the calls of a team that wait for permits, calls of programs under
/// way first, then in the order of arrival.
std::vector<RequestId> waitingCalls(const RelayState &State,
                                    const TeamId &Team) {
  const auto Found = State.CallsAwaitingQuota.find(Team);
  if (Found == State.CallsAwaitingQuota.end())
    return {};
  std::vector<RequestId> Order(Found->second.begin(), Found->second.end());
  std::stable_partition(Order.begin(), Order.end(), [&](RequestId Each) {
    return !State.Calls.at(Each).Quota.IsFirstTurn;
  });
  return Order;
}

/// Returns a call that still waits for a permit, or null.
RelayCall *findWaiting(RelayState &State, RequestId Request) {
  const auto Found = State.Calls.find(Request);
  const bool IsWaiting = Found != State.Calls.end() &&
                         Found->second.Phase == RelayPhase::AwaitingQuota;
  return IsWaiting ? &Found->second : nullptr;
}

void startPermittedCalls(RelayContext &Context, const TeamId &Team) {
  for (const RequestId Request : waitingCalls(Context.State, Team)) {
    RelayCall *Call = findWaiting(Context.State, Request);
    if (!Call || Call->Quota.NeedsStart)
      continue;
    if (!startIfPermitted(Context, *Call))
      return;
  }
}

/// Returns the time until a replica has a permit of a team or, without
/// replicas, this relay has one. Absent if none is known.
std::optional<Milliseconds> timeToNextPermit(const RelayState &State,
                                             const RelayCall &Call) {
  const auto Found = State.Permits.find(*Call.Team);
  const auto Quota = quotaOf(State, *Call.Team);
  if (Found == State.Permits.end() || !Quota)
    return std::nullopt;
  const PermitStock &Stock = Found->second;
  if (Call.Quota.NeedsStart && State.Now < Stock.NextStartAt)
    return Stock.NextStartAt - State.Now;
  std::optional<Milliseconds> Soonest;
  for (const HolderId &Each : liveIssuers(State)) {
    const auto Known = Stock.Inquiries.find(Each);
    if (Known == Stock.Inquiries.end())
      continue;
    const Milliseconds Left =
        nextPermitAt(Known->second, Call.Quota.IsFirstTurn) - State.Now;
    if (Milliseconds(0) < Left)
      Soonest = std::min(Soonest.value_or(Left), Left);
  }
  if (Soonest || !hasNoIssuer(State))
    return Soonest;
  const double Seconds = (1 - Stock.OwnShare.Available) /
                         ownShareOf(State, Stock, *Quota).PerSecond;
  return Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * Seconds)));
}

void refuseForQuota(RelayContext &Context, RelayCall &Call) {
  const RequestQuota Quota =
      quotaOf(Context.State, *Call.Team).value_or(RequestQuota());
  const auto Wait = timeToNextPermit(Context.State, Call);
  Context.logCall("quota_exceeded", Call,
                  {{"per_second", std::to_string(Quota.Rate.PerSecond)},
                   {"burst", std::to_string(Quota.Burst)},
                   {"first_turn", Call.Quota.IsFirstTurn ? "yes" : "no"},
                   {"start", Call.Quota.NeedsStart ? "yes" : "no"},
                   {"denied_by", std::to_string(Call.Quota.DeniedBy.size())},
                   {"wait_ms", Wait ? RelayContext::millis(*Wait)
                                    : std::string("unknown")}});
  refuseCall(Context, Call, RelayRefusalReason::QuotaExceeded);
}

/// Takes a permit of this relay's own share, if no replica issues any.
bool takeOwnPermit(RelayState &State, const TeamId &Team,
                   const RequestQuota &Quota) {
  if (!hasNoIssuer(State))
    return false;
  if (!State.NoIssuerSince)
    State.NoIssuerSince = State.Now;
  PermitStock &Stock = State.Permits[Team];
  Stock.OwnShare.accrue(ownShareOf(State, Stock, Quota), State.Now);
  return Stock.OwnShare.take();
}

/// Records that a replica is asked for a call.
void recordInquiry(const RelayState &State, QuotaClaim &Claim,
                   const HolderId &Replica) {
  Claim.Asked = Replica;
  Claim.AskedAt = State.Now;
  Claim.TimeoutAt = State.Now + State.Options.QuotaAnswerTimeout;
}

/// Returns the replica that decides on the starts of a team's programs: the
/// first one in the team's order that has not left a request of this call
/// without an answer. Empty if there is none.
HolderId starterOf(const RelayState &State, const RelayCall &Call) {
  for (HolderId &Each : rankedIssuers(State, Call.Team->Value)) {
    if (Call.Quota.DeniedBy.count(Each) == 0)
      return std::move(Each);
  }
  return HolderId();
}

/// Asks a replica whether the program of a call may start. Refuses the call if
/// it is known that none may.
void askForStart(RelayContext &Context, RelayCall &Call,
                 const RequestQuota &Quota) {
  RelayState &State = Context.State;
  const TeamId Team = *Call.Team;
  PermitStock &Stock = State.Permits[Team];
  const HolderId Starter = starterOf(State, Call);
  if (Starter.Value.empty() || State.Now < Stock.NextStartAt) {
    refuseForQuota(Context, Call);
    return;
  }
  recordInquiry(State, Call.Quota, Starter);
  PermitRequest::Row Row;
  Row.Stated = TeamQuotaNotice{Team, State.Configuration->Version, Quota};
  Row.Wanted = 1;
  Row.IsFirstTurn = true;
  Row.IsProgramStart = true;
  Row.AdmittedRequests = std::exchange(Stock.UnreportedRequests, 0);
  Row.ReturnedStarts = std::exchange(Stock.ReturnedStarts, 0);
  Context.send(Starter, PermitRequest{Context.now(), {Row}});
}

/// Asks the next replica for a call's permit. Refuses the call if all have
/// denied it.
void askNextIssuer(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  const TeamId Team = *Call.Team;
  const auto Quota = quotaOf(State, Team);
  if (!Quota) {
    startWithPermit(Context, Call, State.Now);
    return;
  }
  if (takeOwnPermit(State, Team, *Quota)) {
    Context.count("relay_permits_total", "team_own_share");
    startWithPermit(Context, Call,
                    State.Now + State.Options.QuotaPermitLifetime);
    return;
  }
  QuotaClaim &Claim = Call.Quota;
  if (Claim.NeedsStart) {
    askForStart(Context, Call, *Quota);
    return;
  }
  const std::vector<HolderId> Order =
      issuersToAsk(State, Team, Claim.IsFirstTurn);
  const auto Next =
      std::find_if(Order.begin(), Order.end(), [&](const HolderId &Each) {
        return Claim.DeniedBy.count(Each) == 0;
      });
  if (Next == Order.end()) {
    refuseForQuota(Context, Call);
    return;
  }
  recordInquiry(State, Claim, *Next);
  RowsByReplica Rows;
  addRow(State, Team, *Next, 1, Claim.IsFirstTurn, Rows);
  sendRows(Context, std::move(Rows));
}

/// Adds requests for the permits that a team will need within QuotaHorizon, if
/// half of them or more are missing. Small teams need less than one, and would
/// lose permits that end unused.
void addPrefetch(RelayState &State, const TeamId &Team, RowsByReplica &Rows) {
  if (!quotaOf(State, Team))
    return;
  PermitStock &Stock = State.Permits[Team];
  const double Horizon =
      std::chrono::duration<double>(State.Options.QuotaHorizon).count();
  const auto Target = static_cast<std::uint32_t>(
      Horizon *
      Stock.Requested.ratePerSecond(State.Now, State.Options.RateHalfLife));
  std::uint32_t Expected =
      static_cast<std::uint32_t>(heldPermits(State, Stock));
  for (const auto &[Replica, Inquiry] : Stock.Inquiries)
    Expected += awaitedFrom(State, Inquiry);
  if (Target == 0 || Target < 2 * Expected)
    return;
  for (const HolderId &Each : issuersToAsk(State, Team, true)) {
    if (isSilent(State, Each))
      return;
    const PermitInquiry &Inquiry = Stock.Inquiries[Each];
    if (awaitedFrom(State, Inquiry) > 0)
      continue;
    addRow(State, Team, Each, Target - Expected, true, Rows);
    return;
  }
}

/// Asks the next replica for the calls of a team whose replica has not answered
/// in time or is lost.
void handleUnansweredCalls(RelayContext &Context, const TeamId &Team) {
  RelayState &State = Context.State;
  const std::set<HolderId> Live = liveReplicas(State);
  for (const RequestId Request : waitingCalls(State, Team)) {
    RelayCall *Call = findWaiting(State, Request);
    if (!Call)
      continue;
    QuotaClaim &Claim = Call->Quota;
    const bool IsLost = Live.count(Claim.Asked) == 0;
    if (!IsLost && State.Now < Claim.TimeoutAt)
      continue;
    if (!IsLost) {
      markSilent(State, Claim.Asked);
      Context.count("relay_permits_total", "team_unanswered");
    }
    Claim.DeniedBy.insert(Claim.Asked);
    Claim.Asked = HolderId();
    askNextIssuer(Context, *Call);
  }
}

/// Returns the call for which a replica was asked what it has answered, or
/// null.
RelayCall *findAsker(RelayState &State, const TeamId &Team,
                     const HolderId &Holder, const PermitGrant &Answer) {
  for (const RequestId Request : waitingCalls(State, Team)) {
    RelayCall &Each = State.Calls.at(Request);
    const bool IsSameTime = Each.Quota.AskedAt <= Answer.AskedAt &&
                            Answer.AskedAt <= Each.Quota.AskedAt;
    if (Each.Quota.Asked == Holder && IsSameTime &&
        Each.Quota.NeedsStart == Answer.IsProgramStart &&
        Each.Quota.IsFirstTurn == Answer.IsFirstTurn)
      return &Each;
  }
  return nullptr;
}

void recordDenial(RelayState &State, const TeamId &Team, const HolderId &Holder,
                  const PermitGrant &Answer) {
  PermitInquiry &Inquiry = State.Permits[Team].Inquiries[Holder];
  const Instant Next = State.Now + Answer.NextIn;
  // First turns are denied whenever others are.
  Inquiry.NextForFirstTurns = std::max(Inquiry.NextForFirstTurns, Next);
  if (!Answer.IsFirstTurn)
    Inquiry.NextForOthers = std::max(Inquiry.NextForOthers, Next);
}

/// Handles a replica's decision on the start of a program.
void handleStartAnswer(RelayContext &Context, const HolderId &Holder,
                       const TeamId &Team, const PermitGrant &Answer) {
  RelayState &State = Context.State;
  const bool IsAllowed = Answer.Count > 0;
  Context.count("relay_permits_total",
                IsAllowed ? "program_granted" : "program_denied");
  if (!IsAllowed)
    State.Permits[Team].NextStartAt = State.Now + Answer.NextIn;
  RelayCall *Asker = findAsker(State, Team, Holder, Answer);
  if (!Asker)
    return;
  if (!IsAllowed) {
    refuseForQuota(Context, *Asker);
    return;
  }
  // From now on the program is one under way.
  Asker->Quota.NeedsStart = false;
  Asker->Quota.HasStart = true;
  Asker->Quota.IsFirstTurn = false;
  Asker->Quota.DeniedBy.clear();
  Asker->Quota.Asked = HolderId();
  if (!startIfPermitted(Context, *Asker))
    askNextIssuer(Context, *Asker);
}

} // namespace

void admitWithinQuota(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  if (!Call.Team || !quotaOf(State, *Call.Team)) {
    startAdmittedCall(Context, Call);
    return;
  }
  const TeamId Team = *Call.Team;
  PermitStock &Stock = State.Permits[Team];
  Stock.Requested.add(1, State.Now, State.Options.RateHalfLife);
  Stock.RequestedAt = State.Now;
  Call.Quota.IsFirstTurn = startsProgram(State, Call);
  Call.Quota.NeedsStart = Call.Quota.IsFirstTurn;
  Call.Phase = RelayPhase::AwaitingQuota;
  const RequestId Request = Call.Request;
  State.CallsAwaitingQuota[Team].insert(Request);
  startPermittedCalls(Context, Team);
  RelayCall *Waiting = findWaiting(State, Request);
  Context.count("relay_quota_calls_total", Waiting ? "asked" : "held");
  if (Waiting)
    askNextIssuer(Context, *Waiting);
}

void releaseQuotaClaim(RelayState &State, const RelayCall &Call) {
  if (!Call.Team)
    return;
  const auto Waiting = State.CallsAwaitingQuota.find(*Call.Team);
  if (Waiting != State.CallsAwaitingQuota.end()) {
    Waiting->second.erase(Call.Request);
    if (Waiting->second.empty())
      State.CallsAwaitingQuota.erase(Waiting);
  }
  const auto Stock = State.Permits.find(*Call.Team);
  const bool IsReturned = Call.Quota.PermitUntil &&
                          State.Now < *Call.Quota.PermitUntil &&
                          Stock != State.Permits.end();
  if (IsReturned)
    addPermits(Stock->second, 1, *Call.Quota.PermitUntil);
  if (Call.Quota.HasStart && Stock != State.Permits.end())
    ++Stock->second.ReturnedStarts;
}

void handleQuotaAnswer(RelayContext &Context, const HolderId &Holder,
                       const PermitGrant &Answer) {
  RelayState &State = Context.State;
  const TeamId Team = std::get<TeamId>(Answer.Subject);
  const Instant ValidUntil = Answer.AskedAt + State.Options.QuotaPermitLifetime;
  const bool IsOfEarlierRun = State.Now < Answer.AskedAt;
  if (IsOfEarlierRun || !quotaOf(State, Team) ||
      State.Permits.count(Team) == 0) {
    Context.add(
        CountMetric{"relay_permits_total", "team_unused", Answer.Count});
    return;
  }
  State.SilentIssuersUntil.erase(Holder);
  State.NoIssuerSince.reset();
  if (Answer.IsProgramStart) {
    handleStartAnswer(Context, Holder, Team, Answer);
    return;
  }
  const bool IsLate = ValidUntil <= State.Now;
  Context.add(CountMetric{"relay_permits_total",
                          IsLate ? "team_unused" : "team_granted",
                          Answer.Count});
  Context.add(CountMetric{"relay_permits_total", "team_denied", Answer.Denied});
  PermitGrant Accepted = Answer;
  if (IsLate) {
    Accepted.Denied += Accepted.Count;
    Accepted.Count = 0;
  }
  acceptPermits(State, Holder, Accepted, ValidUntil);
  if (Answer.Denied > 0)
    recordDenial(State, Team, Holder, Answer);
  if (RelayCall *Asker = findAsker(State, Team, Holder, Answer)) {
    Asker->Quota.Asked = HolderId();
    if (!startIfPermitted(Context, *Asker)) {
      Asker->Quota.DeniedBy.insert(Holder);
      askNextIssuer(Context, *Asker);
    }
  }
  startPermittedCalls(Context, Team);
  if (Answer.Denied == 0)
    return;
  // The rest of what was asked for in advance is asked from the next replica.
  RowsByReplica Rows;
  addPrefetch(State, Team, Rows);
  sendRows(Context, std::move(Rows));
}

void maintainQuotaPermits(RelayContext &Context) {
  RelayState &State = Context.State;
  std::vector<TeamId> Active;
  for (const auto &[Subject, Stock] : State.Permits) {
    if (const auto *Team = std::get_if<TeamId>(&Subject))
      Active.push_back(*Team);
  }
  if (Active.empty())
    return;
  if (!State.NoIssuerSince && liveIssuers(State).empty())
    State.NoIssuerSince = State.Now;
  RowsByReplica Rows;
  for (const TeamId &Team : Active) {
    startPermittedCalls(Context, Team);
    handleUnansweredCalls(Context, Team);
    addPrefetch(State, Team, Rows);
  }
  sendRows(Context, std::move(Rows));
}

void resetQuotaTimeouts(RelayState &State) {
  for (const auto &[Team, Requests] : State.CallsAwaitingQuota) {
    for (const RequestId Request : Requests)
      State.Calls.at(Request).Quota.TimeoutAt =
          State.Now + State.Options.QuotaAnswerTimeout;
  }
}

void forgetQuotaDenials(RelayState &State) {
  for (auto &[Subject, Stock] : State.Permits) {
    Stock.NextStartAt = Instant();
    for (auto &[Replica, Inquiry] : Stock.Inquiries) {
      Inquiry.NextForFirstTurns = Instant();
      Inquiry.NextForOthers = Instant();
    }
  }
}

bool isActiveTeam(const RelayState &State, const TeamId &Team) {
  if (State.CallsAwaitingQuota.count(Team) > 0)
    return true;
  const auto Found = State.Permits.find(Team);
  return Found != State.Permits.end() && State.Now - Found->second.RequestedAt <
                                             State.Options.QuotaStockRetention;
}

Milliseconds quotaRetryAfter(RelayState &State, const RelayCall &Call) {
  return spreadRetryAfter(
      State,
      std::max(
          State.Options.MinQuotaRetryAfter,
          timeToNextPermit(State, Call).value_or(State.Options.RetryAfter)));
}

} // namespace tanagerlanding
