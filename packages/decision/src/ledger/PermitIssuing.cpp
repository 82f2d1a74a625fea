#include "PermitIssuing.h"

#include "QuotaIssuing.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns the position of this replica among the members of the view; absent
/// if it is none.
std::optional<std::size_t> positionOf(const std::vector<LedgerMember> &Members,
                                      const HolderId &Self) {
  const auto Found = std::find_if(
      Members.begin(), Members.end(),
      [&](const LedgerMember &Each) { return Each.Holder == Self; });
  if (Found == Members.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Members.begin());
}

/// Returns the issuer of a run's permits. The first permits of the members are
/// issued one after the other.
PermitIssuer &issuerOf(LedgerState &State, const TargetRun &Run,
                       std::size_t Position, std::size_t MemberCount) {
  const auto [Found, IsNew] = State.PermitIssuers.emplace(Run, PermitIssuer());
  if (IsNew)
    Found->second.Bucket = PermitBucket{static_cast<double>(Position) /
                                            static_cast<double>(MemberCount),
                                        State.Now};
  return Found->second;
}

void dropLapsedRequests(LedgerContext &Context, PermitIssuer &Issuer) {
  const LedgerState &State = Context.State;
  for (auto Each = Issuer.Waiting.begin(); Each != Issuer.Waiting.end();) {
    const bool IsLapsed =
        State.Options.PermitRequestTimeout <= State.Now - Each->ReceivedAt;
    Each = IsLapsed ? Issuer.Waiting.erase(Each) : std::next(Each);
    if (IsLapsed)
      Context.count("ledger_permits_total", "lapsed");
  }
}

/// Grants the available permits of one run, one at a time and by turns.
void issuePermits(LedgerContext &Context, const TargetRun &Run,
                  PermitIssuer &Issuer, RequestRate Share) {
  Issuer.Bucket.accrue(Share, Context.State.Now);
  dropLapsedRequests(Context, Issuer);
  std::map<HostId, PermitGrant> Grants;
  while (!Issuer.Waiting.empty() && Issuer.Bucket.take()) {
    WaitingRelay Next = Issuer.Waiting.front();
    Issuer.Waiting.pop_front();
    PermitGrant &Grant = Grants[Next.Relay];
    Grant.Subject = Run;
    Grant.AskedAt = Next.AskedAt;
    ++Grant.Count;
    Context.count("ledger_permits_total", "granted");
    if (--Next.Wanted > 0)
      Issuer.Waiting.push_back(std::move(Next));
  }
  for (auto &[Relay, Grant] : Grants)
    Context.send(Relay, std::move(Grant));
}

void addWaitingRelay(PermitIssuer &Issuer, const WaitingRelay &New) {
  const auto Known = std::find_if(
      Issuer.Waiting.begin(), Issuer.Waiting.end(),
      [&](const WaitingRelay &Each) { return Each.Relay == New.Relay; });
  if (Known == Issuer.Waiting.end())
    Issuer.Waiting.push_back(New);
  else
    *Known = New;
}

/// Adds a relay's row about a target to those that wait, and issues what is
/// available.
void addTargetRow(LedgerContext &Context, const HostId &Peer,
                  const PermitRequest &Request, const PermitRequest::Row &Row,
                  std::size_t Position, std::size_t MemberCount) {
  LedgerState &State = Context.State;
  const auto &Stated = std::get<TargetLimitNotice>(Row.Stated);
  const TargetRun &Run = Stated.Run;
  handleLimitNotice(Context, Peer, Stated);
  const auto Limit = limitOf(State.Limits, Run);
  if (!Limit) {
    // The relay does not know that the target has ended its limit.
    if (const auto Known = noticeOf(State.Limits, Run, State.Now))
      Context.send(Peer, *Known);
    return;
  }
  if (Row.Wanted == 0)
    return;
  PermitIssuer &Issuer = issuerOf(State, Run, Position, MemberCount);
  addWaitingRelay(Issuer,
                  WaitingRelay{Peer, Row.Wanted, Request.AskedAt, State.Now});
  issuePermits(Context, Run, Issuer, shareOf(*Limit, MemberCount));
}

} // namespace

RequestRate shareOf(RequestRate Limit, std::size_t MemberCount) {
  return RequestRate{Limit.PerSecond / static_cast<double>(MemberCount)};
}

void handleLimitNotice(LedgerContext &Context, const HostId &Peer,
                       const TargetLimitNotice &Notice) {
  LedgerState &State = Context.State;
  const LimitChange Change = mergeNotice(State.Limits, Notice, State.Now);
  if (Change == LimitChange::None)
    return;
  Context.log(
      "target_limit",
      {{"target", Notice.Run.Target.Value},
       {"started_at_ms", std::to_string(Notice.Run.StartedAtMillis)},
       {"change", toString(Change)},
       {"per_second",
        Notice.Limit ? std::to_string(Notice.Limit->PerSecond) : std::string()},
       {"source", Peer.Value},
       {"age_ms", std::to_string(Notice.AnswerAge.count())}});
  // Relays decide by whether there is a limit; its value matters here only.
  if (Change != LimitChange::Changed)
    Context.add(NotifyRelays{*noticeOf(State.Limits, Notice.Run, State.Now)});
}

void sendLimitsTo(LedgerContext &Context, const HostId &Peer) {
  for (TargetLimitNotice &Each :
       allNotices(Context.State.Limits, Context.State.Now))
    Context.send(Peer, std::move(Each));
}

void handlePermitRequest(LedgerContext &Context, const HostId &Peer,
                         const PermitRequest &Request) {
  LedgerState &State = Context.State;
  const std::vector<LedgerMember> Members = State.View.allMembers();
  const auto Position = positionOf(Members, State.Self.Holder);
  if (!Position)
    return;
  for (const PermitRequest::Row &Row : Request.Rows) {
    if (std::holds_alternative<TeamQuotaNotice>(Row.Stated))
      answerQuotaRow(Context, Peer, Request, Row);
    else
      addTargetRow(Context, Peer, Request, Row, *Position, Members.size());
  }
}

void issueWaitingPermits(LedgerContext &Context) {
  LedgerState &State = Context.State;
  expireLimits(State.Limits, State.Options.LimitRetention, State.Now);
  const std::vector<LedgerMember> Members = State.View.allMembers();
  if (!containsHolder(Members, State.Self.Holder)) {
    State.PermitIssuers.clear();
    return;
  }
  for (auto Each = State.PermitIssuers.begin();
       Each != State.PermitIssuers.end();) {
    // Requests for permits of teams do not wait.
    const auto *Run = std::get_if<TargetRun>(&Each->first);
    if (!Run) {
      ++Each;
      continue;
    }
    const auto Limit = limitOf(State.Limits, *Run);
    if (!Limit) {
      Each = State.PermitIssuers.erase(Each);
      continue;
    }
    issuePermits(Context, *Run, Each->second, shareOf(*Limit, Members.size()));
    ++Each;
  }
}

} // namespace tanagerlanding
