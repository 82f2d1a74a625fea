#include "QuotaIssuing.h"

#include "PermitIssuing.h"

#include "tanagerlanding/decision/ledger/QuotaUse.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

/// The time after which a relay may ask again for a team that the newest
/// configuration does not have; the relay gets that configuration in less.
constexpr Milliseconds UnknownTeamDelay{1000};

std::size_t memberCount(const LedgerState &State) {
  return std::max<std::size_t>(1, State.View.allMembers().size());
}

/// Returns the permits of a bucket that are reserved for programs under way.
double reservedPermits(const LedgerState &State, const RequestQuota &Quota,
                       std::size_t MemberCount) {
  const double Reserved =
      State.Options.ReservedShare * quotaCapacity(Quota, MemberCount);
  return Reserved < 1 ? 0 : Reserved;
}

/// Returns whether this replica is connected to a majority of the members,
/// itself included. One that is not may have been replaced without its
/// knowledge, and others may issue its share.
bool hasMajorityContact(const LedgerState &State) {
  const std::vector<LedgerMember> &Members = State.View.Current;
  const auto InContact = std::count_if(
      Members.begin(), Members.end(), [&](const LedgerMember &Each) {
        if (Each.Holder == State.Self.Holder)
          return true;
        const auto Heard = State.MembersHeardAt.find(Each.Host);
        return Heard != State.MembersHeardAt.end() &&
               State.Now - Heard->second < State.Options.MemberContactTime;
      });
  return Members.size() < 2 * static_cast<std::size_t>(InContact);
}

/// Brings a team's bucket up to date under the quota that was in force, and
/// limits it to the capacity of the new one.
void settleBucket(LedgerState &State, const TeamId &Team,
                  const std::optional<RequestQuota> &Before,
                  const std::optional<RequestQuota> &After) {
  const auto Found = State.PermitIssuers.find(Team);
  if (Found == State.PermitIssuers.end())
    return;
  if (!After) {
    State.PermitIssuers.erase(Found);
    return;
  }
  const std::size_t Count = memberCount(State);
  PermitBucket &Bucket = Found->second.Bucket;
  if (Before)
    Bucket.accrue(shareOf(Before->Rate, Count), State.Now,
                  quotaCapacity(*Before, Count));
  Bucket.accrue(RequestRate{0}, State.Now, quotaCapacity(*After, Count));
}

void setQuota(LedgerState &State, const TeamId &Team, const TeamQuota &New) {
  TeamQuota &Known = State.Quotas[Team];
  if (!(Known.Quota == New.Quota))
    settleBucket(State, Team, Known.Quota, New.Quota);
  Known = New;
}

/// Adopts the quota that a relay knows if it is of a newer configuration.
void mergeQuota(LedgerContext &Context, const HostId &Peer,
                const TeamQuotaNotice &Notice) {
  LedgerState &State = Context.State;
  const auto Known = State.Quotas.find(Notice.Team);
  const ConfigVersion KnownVersion =
      Known == State.Quotas.end()
          ? State.QuotaVersion
          : std::max(State.QuotaVersion, Known->second.Version);
  if (!(KnownVersion < Notice.Version))
    return;
  setQuota(State, Notice.Team, TeamQuota{Notice.Version, Notice.Quota});
  Context.log("team_quota",
              {{"team", Notice.Team.Value},
               {"config", std::to_string(Notice.Version.Value)},
               {"per_second", std::to_string(Notice.Quota.Rate.PerSecond)},
               {"burst", std::to_string(Notice.Quota.Burst)},
               {"source", Peer.Value}});
}

/// Returns the issuer of a team's permits, up to date.
PermitIssuer &issuerOf(LedgerState &State, const TeamId &Team,
                       const RequestQuota &Quota, std::size_t MemberCount) {
  const auto [Found, IsNew] =
      State.PermitIssuers.emplace(PermitSubject(Team), PermitIssuer());
  // What has accrued since this replica became a member was issued by nobody.
  if (IsNew)
    Found->second.Bucket =
        PermitBucket{1, State.MemberSince.value_or(State.Now)};
  Found->second.Bucket.accrue(shareOf(Quota.Rate, MemberCount), State.Now,
                              quotaCapacity(Quota, MemberCount));
  return Found->second;
}

/// Takes permits of a team for a row, as far as there are any, and sets when
/// there is the next one.
void takeQuotaPermits(LedgerState &State, const TeamId &Team,
                      const RequestQuota &Quota, PermitGrant &Answer) {
  const std::size_t Count = memberCount(State);
  PermitIssuer &Issuer = issuerOf(State, Team, Quota, Count);
  const double Kept =
      Answer.IsFirstTurn ? reservedPermits(State, Quota, Count) : 0;
  while (Answer.Denied > 0 && Kept + 1 <= Issuer.Bucket.Available &&
         Issuer.Bucket.take()) {
    ++Answer.Count;
    --Answer.Denied;
  }
  if (Answer.Count > 0)
    Issuer.Granted.add(Answer.Count, State.Now, State.Options.RateHalfLife);
  if (Answer.Denied == 0)
    return;
  const double Missing = Kept + 1 - Issuer.Bucket.Available;
  const double Seconds = Missing / shareOf(Quota.Rate, Count).PerSecond;
  Answer.NextIn =
      Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * Seconds)));
}

/// Returns the average of the requests of a program. As long as few are
/// counted, Assumed weighs more.
double requestsPerProgram(const LedgerState &State, const ProgramCounts &Counts,
                          double Assumed) {
  const LedgerOptions &Options = State.Options;
  const double Programs =
      Counts.Started.valueAt(State.Now, Options.ProgramHalfLife);
  const double Requests =
      Counts.Requests.valueAt(State.Now, Options.ProgramHalfLife);
  return std::max(1.0, (Requests + Options.AssumedPrograms * Assumed) /
                           (Programs + Options.AssumedPrograms));
}

/// Counts the starts that are long enough ago.
void countSettledStarts(const LedgerState &State, ProgramCounts &Counts) {
  const LedgerOptions &Options = State.Options;
  while (!Counts.Recent.empty() &&
         Options.ProgramSettleTime <= State.Now - Counts.Recent.front()) {
    Counts.Recent.pop_front();
    Counts.Started.add(1, State.Now, Options.ProgramHalfLife);
  }
}

/// Takes back starts that relays could not use.
void returnStarts(ProgramCounts &Counts, std::uint32_t Returned) {
  for (; Returned > 0 && !Counts.Recent.empty(); --Returned)
    Counts.Recent.pop_back();
}

/// Returns the requests that a program of a team sends on average: by the
/// programs of the team or, while there are few, by those of all teams.
double programCost(const LedgerState &State, const PermitIssuer &Issuer) {
  const double OfAll = requestsPerProgram(State, State.AllPrograms,
                                          State.Options.AssumedProgramRequests);
  return requestsPerProgram(State, Issuer.Programs, OfAll);
}

/// Lets a program of a team start if the programs before it leave room in the
/// quota. Relays ask one member for all starts of a team, so this bucket is
/// that of the whole quota.
void takeProgramStart(LedgerState &State, const TeamId &Team,
                      const RequestQuota &Quota, const PermitRequest::Row &Row,
                      PermitGrant &Answer) {
  PermitIssuer &Issuer = issuerOf(State, Team, Quota, memberCount(State));
  const double Capacity = Quota.Burst + 1;
  if (!Issuer.ProgramBudget)
    Issuer.ProgramBudget = PermitBucket{Capacity, State.Now};
  PermitBucket &Budget = *Issuer.ProgramBudget;
  const RequestRate Rate{State.Options.ProgramStartShare *
                         Quota.Rate.PerSecond};
  Budget.accrue(Rate, State.Now, Capacity);
  for (ProgramCounts *Counts : {&Issuer.Programs, &State.AllPrograms}) {
    Counts->Requests.add(Row.AdmittedRequests, State.Now,
                         State.Options.ProgramHalfLife);
    countSettledStarts(State, *Counts);
    returnStarts(*Counts, Row.ReturnedStarts);
  }
  Budget.Available =
      std::min(Capacity, Budget.Available +
                             Row.ReturnedStarts * programCost(State, Issuer));
  if (Budget.Available < 1) {
    const double Seconds = (1 - Budget.Available) / Rate.PerSecond;
    Answer.NextIn =
        Milliseconds(static_cast<std::int64_t>(std::ceil(1000 * Seconds)));
    return;
  }
  Budget.Available -= programCost(State, Issuer);
  for (ProgramCounts *Counts : {&Issuer.Programs, &State.AllPrograms})
    Counts->Recent.push_back(State.Now);
  std::swap(Answer.Count, Answer.Denied);
}

} // namespace

double quotaCapacity(const RequestQuota &Quota, std::size_t MemberCount) {
  return Quota.Burst / static_cast<double>(MemberCount) + 1;
}

void recordMemberContact(LedgerContext &Context, const HostId &Peer) {
  LedgerState &State = Context.State;
  const std::vector<LedgerMember> &Members = State.View.Current;
  const bool IsMember =
      std::any_of(Members.begin(), Members.end(),
                  [&](const LedgerMember &Each) { return Each.Host == Peer; });
  if (IsMember)
    State.MembersHeardAt[Peer] = State.Now;
}

void adoptQuotas(LedgerContext &Context, const TeamQuotasConfigured &Event) {
  LedgerState &State = Context.State;
  if (Event.Version < State.QuotaVersion)
    return;
  // Quotas that relays have passed on from a newer configuration stay.
  for (auto Each = State.Quotas.begin(); Each != State.Quotas.end();) {
    const bool IsDropped = !(Event.Version < Each->second.Version) &&
                           Event.Quotas.count(Each->first) == 0;
    if (IsDropped)
      State.PermitIssuers.erase(Each->first);
    Each = IsDropped ? State.Quotas.erase(Each) : std::next(Each);
  }
  for (const auto &[Team, Quota] : Event.Quotas) {
    const auto Known = State.Quotas.find(Team);
    const bool IsKnownNewer =
        Known != State.Quotas.end() && Event.Version < Known->second.Version;
    if (!IsKnownNewer)
      setQuota(State, Team, TeamQuota{Event.Version, Quota});
  }
  const bool HasTeams = !State.Quotas.empty();
  if (HasTeams && State.QuotaVersion < Event.Version)
    Context.log("team_quotas_adopted",
                {{"config", std::to_string(Event.Version.Value)},
                 {"teams", std::to_string(Event.Quotas.size())}});
  State.QuotaVersion = Event.Version;
}

void answerQuotaRow(LedgerContext &Context, const HostId &Peer,
                    const PermitRequest &Request,
                    const PermitRequest::Row &Row) {
  LedgerState &State = Context.State;
  const auto &Notice = std::get<TeamQuotaNotice>(Row.Stated);
  mergeQuota(Context, Peer, Notice);
  // Without an answer, the relay asks another member or, if there is none, goes
  // on at the rate of its last permits.
  if (!hasMajorityContact(State)) {
    Context.count("ledger_permits_total", "team_unanswered");
    return;
  }
  PermitGrant Answer;
  Answer.Subject = Notice.Team;
  Answer.AskedAt = Request.AskedAt;
  Answer.Denied = Row.Wanted;
  Answer.IsFirstTurn = Row.IsFirstTurn;
  Answer.IsProgramStart = Row.IsProgramStart;
  if (Row.IsProgramStart)
    Answer.Denied = 1;
  const auto Known = State.Quotas.find(Notice.Team);
  if (Known == State.Quotas.end())
    Answer.NextIn = UnknownTeamDelay;
  else if (Known->second.Quota && Row.IsProgramStart)
    takeProgramStart(State, Notice.Team, *Known->second.Quota, Row, Answer);
  else if (Known->second.Quota)
    takeQuotaPermits(State, Notice.Team, *Known->second.Quota, Answer);
  else
    std::swap(Answer.Count, Answer.Denied);
  const bool IsStart = Row.IsProgramStart;
  Context.add(CountMetric{"ledger_permits_total",
                          IsStart ? "program_granted" : "team_granted",
                          Answer.Count});
  Context.add(CountMetric{"ledger_permits_total",
                          IsStart ? "program_denied" : "team_denied",
                          Answer.Denied});
  Context.send(Peer, std::move(Answer));
}

std::vector<TeamQuotaUse> busiestTeams(const LedgerState &State,
                                       std::size_t Most) {
  std::vector<std::pair<double, TeamQuotaUse>> ByRate;
  for (const auto &[Subject, Issuer] : State.PermitIssuers) {
    const auto *Team = std::get_if<TeamId>(&Subject);
    const auto Known = Team ? State.Quotas.find(*Team) : State.Quotas.end();
    if (Known == State.Quotas.end() || !Known->second.Quota)
      continue;
    const double Rate =
        Issuer.Granted.ratePerSecond(State.Now, State.Options.RateHalfLife);
    const double Share =
        shareOf(Known->second.Quota->Rate, memberCount(State)).PerSecond;
    ByRate.emplace_back(Rate, TeamQuotaUse{*Team, Rate / Share});
  }
  std::sort(ByRate.begin(), ByRate.end(),
            [](const auto &Left, const auto &Right) {
              return Right.first < Left.first;
            });
  if (Most < ByRate.size())
    ByRate.resize(Most);
  std::vector<TeamQuotaUse> Busiest;
  Busiest.reserve(ByRate.size());
  for (auto &[Rate, Each] : ByRate)
    Busiest.push_back(std::move(Each));
  return Busiest;
}

} // namespace tanagerlanding
