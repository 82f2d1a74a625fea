#include "RequestPermits.h"

#include "Directory.h"
#include "LimitObservations.h"
#include "QuotaPermits.h"
#include "Turns.h"

#include <algorithm>
#include <tuple>

namespace tanagerlanding {

namespace {

/// Limited targets of one service, and the permits that this relay should hold
/// or await for all of them together.
struct LimitedService {
  std::vector<TargetRun> Runs;
  std::uint32_t Wanted = 0;
};

/// A replica that can be asked for permits of a target.
struct PermitSource {
  TargetRun Run;
  HolderId Replica;
  Instant AskedAt;
  std::uint64_t Rank = 0;
};

/// Requests to one replica, collected into one message.
using RowsByReplica = std::map<HolderId, std::vector<PermitRequest::Row>>;

bool isServing(const RelayState &State, const RelayTarget &Target) {
  return !Target.MissingSince && !isLeaving(State, Target.Entry);
}

/// Returns a hash that differs between relays, so that they do not all ask for
/// the same targets first.
std::uint64_t rankOf(const RelayState &State, const TargetRun &Run,
                     const HolderId &Replica = HolderId()) {
  return hashBytes(State.Self.Value + '/' + Run.Target.Value + '/' +
                   Replica.Value);
}

/// Returns the permits that the requests of a service need in the near future.
std::uint32_t wantedPermits(const RelayState &State, const ServiceName &Service,
                            double RequestsPerSecond) {
  const double Horizon =
      std::chrono::duration<double>(State.Options.PermitHorizon).count();
  const auto Queued =
      std::count_if(State.QueuedCalls.begin(), State.QueuedCalls.end(),
                    [&](RequestId Request) {
                      return State.Calls.at(Request).Service == Service;
                    });
  return 1 + static_cast<std::uint32_t>(RequestsPerSecond * Horizon) +
         static_cast<std::uint32_t>(Queued);
}

/// Leaves Most of the runs, others for each relay.
void sampleRuns(const RelayState &State, std::vector<TargetRun> &Runs,
                std::size_t Most) {
  if (Runs.size() <= Most)
    return;
  std::nth_element(Runs.begin(), Runs.begin() + static_cast<long>(Most),
                   Runs.end(), [&](const auto &Left, const auto &Right) {
                     return rankOf(State, Left) < rankOf(State, Right);
                   });
  Runs.resize(Most);
}

/// Returns the services with limited targets that this relay has requests for.
std::vector<LimitedService> limitedServices(const RelayState &State) {
  std::vector<LimitedService> Found;
  for (const auto &[Service, Requests] : State.RequestRates) {
    const double Rate =
        Requests.ratePerSecond(State.Now, State.Options.RateHalfLife);
    const auto Registered = State.TargetsByService.find(Service);
    if (Rate < State.Options.MinRequestsPerSecond ||
        Registered == State.TargetsByService.end())
      continue;
    LimitedService Limited;
    for (const TargetId &Id : Registered->second) {
      const RelayTarget &Target = State.Targets.at(Id);
      if (isServing(State, Target) && limitOf(State, Target.Entry))
        Limited.Runs.push_back(Target.Entry.run());
    }
    if (Limited.Runs.empty())
      continue;
    Limited.Wanted = wantedPermits(State, Service, Rate);
    sampleRuns(
        State, Limited.Runs,
        std::max<std::size_t>(State.Options.MinPermitTargets, Limited.Wanted));
    Found.push_back(std::move(Limited));
  }
  return Found;
}

/// Returns the permits awaited from a replica; none once the request has
/// lapsed.
std::uint32_t awaitedPermits(const RelayState &State,
                             const PermitInquiry &Inquiry) {
  const bool IsLapsed =
      State.Options.PermitRequestTimeout <= State.Now - Inquiry.AskedAt;
  return IsLapsed ? 0 : Inquiry.Awaited;
}

/// Returns the permits of a service's targets that are held or awaited.
std::uint32_t expectedPermits(RelayState &State,
                              const LimitedService &Limited) {
  std::uint32_t Count = 0;
  for (const TargetRun &Run : Limited.Runs) {
    const PermitStock &Stock = State.Permits[Run];
    Count += static_cast<std::uint32_t>(Stock.ValidUntil.size());
    for (const auto &[Replica, Inquiry] : Stock.Inquiries)
      Count += awaitedPermits(State, Inquiry);
  }
  return Count;
}

/// Returns the pairs of target and replica from which nothing is awaited, those
/// that were not asked for longest first.
std::vector<PermitSource> freeSources(RelayState &State,
                                      const LimitedService &Limited,
                                      const std::set<HolderId> &Replicas) {
  std::vector<PermitSource> Found;
  for (const TargetRun &Run : Limited.Runs) {
    PermitStock &Stock = State.Permits[Run];
    for (const HolderId &Replica : Replicas) {
      const PermitInquiry &Inquiry = Stock.Inquiries[Replica];
      if (awaitedPermits(State, Inquiry) == 0)
        Found.push_back(PermitSource{Run, Replica, Inquiry.AskedAt,
                                     rankOf(State, Run, Replica)});
    }
  }
  std::sort(Found.begin(), Found.end(),
            [](const PermitSource &Left, const PermitSource &Right) {
              return std::tie(Left.AskedAt, Left.Rank) <
                     std::tie(Right.AskedAt, Right.Rank);
            });
  return Found;
}

/// Asks replicas for the permits of a service that are missing, evenly from all
/// sources.
void askForPermits(RelayContext &Context, const LimitedService &Limited,
                   const std::set<HolderId> &Replicas, RowsByReplica &Rows) {
  RelayState &State = Context.State;
  std::uint32_t Expected = expectedPermits(State, Limited);
  if (Limited.Wanted <= Expected)
    return;
  const std::vector<PermitSource> Sources =
      freeSources(State, Limited, Replicas);
  const auto SourceCount =
      static_cast<std::uint32_t>(Limited.Runs.size() * Replicas.size());
  const std::uint32_t Each = 1 + (Limited.Wanted - 1) / SourceCount;
  for (const PermitSource &Source : Sources) {
    if (Limited.Wanted <= Expected)
      return;
    State.Permits[Source.Run].Inquiries[Source.Replica] =
        PermitInquiry{State.Now, Each};
    Rows[Source.Replica].push_back(PermitRequest::Row{
        *noticeOf(State.Limits, Source.Run, State.Now), Each});
    Expected += Each;
  }
}

/// Without replicas, goes on at the rate at which they last granted permits.
void issueOwnPermits(RelayState &State, const LimitedService &Limited) {
  for (const TargetRun &Run : Limited.Runs) {
    PermitStock &Stock = State.Permits[Run];
    Stock.OwnShare.accrue(Stock.LastShare, State.Now);
    if (Stock.ValidUntil.empty() && Stock.OwnShare.take())
      Stock.ValidUntil.push_back(State.Now + State.Options.PermitLifetime);
  }
}

/// Returns whether the permits of a subject are still of use.
bool isPermitSubject(const RelayState &State, const PermitSubject &Subject) {
  const auto *Run = std::get_if<TargetRun>(&Subject);
  return Run ? limitOf(State.Limits, *Run).has_value()
             : isActiveTeam(State, std::get<TeamId>(Subject));
}

void dropEndedPermits(RelayState &State) {
  for (auto Each = State.Permits.begin(); Each != State.Permits.end();) {
    if (!isPermitSubject(State, Each->first)) {
      Each = State.Permits.erase(Each);
      continue;
    }
    std::deque<Instant> &Valid = Each->second.ValidUntil;
    while (!Valid.empty() && Valid.front() <= State.Now)
      Valid.pop_front();
    ++Each;
  }
}

} // namespace

bool hasPermit(const RelayState &State, const RegisteredTarget &Target) {
  return !limitOf(State, Target) || heldPermits(State, Target) > 0;
}

bool takePermit(RelayState &State, const RegisteredTarget &Target) {
  if (!hasPermit(State, Target))
    return false;
  if (!limitOf(State, Target))
    return true;
  takePermit(State, State.Permits.at(Target.run()));
  return true;
}

std::optional<Instant> takePermit(const RelayState &State, PermitStock &Stock) {
  std::deque<Instant> &Valid = Stock.ValidUntil;
  const auto First =
      std::find_if(Valid.begin(), Valid.end(),
                   [&](Instant Until) { return State.Now < Until; });
  if (First == Valid.end())
    return std::nullopt;
  const Instant Until = *First;
  Valid.erase(First);
  return Until;
}

void addPermits(PermitStock &Stock, std::uint32_t Count, Instant ValidUntil) {
  std::deque<Instant> &Valid = Stock.ValidUntil;
  const auto Place = std::upper_bound(Valid.begin(), Valid.end(), ValidUntil);
  Valid.insert(Place, Count, ValidUntil);
}

std::size_t heldPermits(const RelayState &State,
                        const RegisteredTarget &Target) {
  const auto Found = State.Permits.find(Target.run());
  return Found == State.Permits.end() ? 0 : heldPermits(State, Found->second);
}

std::size_t heldPermits(const RelayState &State, const PermitStock &Stock) {
  const std::deque<Instant> &Valid = Stock.ValidUntil;
  return static_cast<std::size_t>(
      std::count_if(Valid.begin(), Valid.end(),
                    [&](Instant Until) { return State.Now < Until; }));
}

void acceptPermits(RelayState &State, const HolderId &Holder,
                   const PermitGrant &Grant, Instant ValidUntil) {
  PermitStock &Stock = State.Permits[Grant.Subject];
  PermitInquiry &Inquiry = Stock.Inquiries[Holder];
  Inquiry.Awaited -= std::min(Inquiry.Awaited, Grant.Count + Grant.Denied);
  addPermits(Stock, Grant.Count, ValidUntil);
  if (Grant.Count == 0)
    return;
  // Before this grant is counted, so as not to exceed the share.
  Stock.LastShare = RequestRate{
      Stock.Granted.ratePerSecond(State.Now, State.Options.RateHalfLife)};
  Stock.Granted.add(Grant.Count, State.Now, State.Options.RateHalfLife);
  Stock.OwnShare = PermitBucket{0, State.Now};
}

void recordRequest(RelayState &State, const ServiceName &Service) {
  State.RequestRates[Service].add(1, State.Now, State.Options.RateHalfLife);
}

void maintainPermits(RelayContext &Context) {
  RelayState &State = Context.State;
  dropEndedPermits(State);
  maintainQuotaPermits(Context);
  if (State.Limits.Observations.empty())
    return;
  const std::vector<LimitedService> Services = limitedServices(State);
  if (Services.empty())
    return;
  const std::set<HolderId> Live = liveReplicas(State);
  RowsByReplica Rows;
  for (const LimitedService &Each : Services) {
    if (Live.empty())
      issueOwnPermits(State, Each);
    else
      askForPermits(Context, Each, Live, Rows);
  }
  for (auto &[Replica, Each] : Rows)
    Context.send(Replica, PermitRequest{State.Now, std::move(Each)});
}

void handlePermitGrant(RelayContext &Context, const HolderId &Holder,
                       const PermitGrant &Grant) {
  RelayState &State = Context.State;
  const auto *Run = std::get_if<TargetRun>(&Grant.Subject);
  if (!Run) {
    handleQuotaAnswer(Context, Holder, Grant);
    return;
  }
  const Instant ValidUntil = Grant.AskedAt + State.Options.PermitLifetime;
  const bool IsLate = ValidUntil <= State.Now;
  const bool IsOfEarlierRun = State.Now < Grant.AskedAt;
  if (IsLate || IsOfEarlierRun || !limitOf(State.Limits, *Run)) {
    Context.count("relay_permits_total", "unused");
    return;
  }
  acceptPermits(State, Holder, Grant, ValidUntil);
  Context.count("relay_permits_total", "granted");
}

} // namespace tanagerlanding
