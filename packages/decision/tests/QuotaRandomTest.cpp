/// \file
/// Quotas of teams before several relays and replicas, with faults drawn by
/// seed.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// The requirement: in any Window, a team's requests that run are at most
/// (rate x Window + burst) x ToleranceFactor + ToleranceRequests.
constexpr Milliseconds Window{5000};
constexpr double ToleranceFactor = 1.1;
constexpr double ToleranceRequests = 20;
constexpr double MinAdmittedShare = 0.97;
/// How long the former quota may be in use after a change: a configuration has
/// to be in force two seconds after it was accepted.
constexpr Milliseconds ChangeTime{2000};
constexpr Milliseconds FaultsFrom{2000};
constexpr Milliseconds FaultsUntil{8000};
/// From here on all faults are over, and full use is expected again.
constexpr Milliseconds RecoveredAt{13000};
constexpr Milliseconds RunTime{17000};
constexpr unsigned ScheduleCount = 200;

struct Scenario {
  std::size_t RelayCount = 6;
  std::vector<std::string> Members = {"a", "b", "c"};
  /// Requests a second that each team sends.
  std::map<std::string, double> Demand;
  /// The teams' quotas as a multiple of their demand.
  double QuotaFactor = 1.6;
  /// Mean time between faults; 0 for none.
  Milliseconds FaultInterval{0};
  bool HasQuotaChanges = false;
  bool HasViewChange = false;
};

class QuotaDeployment {
public:
  QuotaDeployment(unsigned Seed, Scenario Given)
      : Random(Seed), Given(std::move(Given)), Relays(this->Given.RelayCount) {
    for (const auto &[Name, Rate] : this->Given.Demand) {
      const double Limit = Rate * this->Given.QuotaFactor;
      this->Quotas[Name].emplace_back(Instant{Milliseconds(-60000)},
                                      RequestQuota{RequestRate{Limit}, Limit});
    }
    this->View = viewOf(1, this->Given.Members);
    for (const std::string &Holder : this->Given.Members)
      this->startMember(Holder);
    for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
      this->startRelay(Number);
  }

  void run() {
    this->every(Milliseconds(25), [this] { this->tickRelays(); });
    this->every(Milliseconds(100), [this] { this->tickMembers(); });
    this->every(Milliseconds(400), [this] { this->sendHeartbeats(); });
    // Members have heard of each other, as in a deployment that runs already.
    this->sendHeartbeats();
    for (const auto &[Name, Rate] : this->Given.Demand)
      this->scheduleRequest(Name);
    this->after(FaultsFrom, [this] { this->scheduleFault(); });
    if (this->Given.HasQuotaChanges)
      this->after(Milliseconds(4000), [this] { this->changeQuotas(0.2); });
    if (this->Given.HasQuotaChanges)
      this->after(Milliseconds(9500), [this] { this->changeQuotas(5); });
    if (this->Given.HasViewChange)
      this->after(Milliseconds(4000), [this] { this->changeView(); });
    while (!this->Pending.empty() && this->Now < Instant{RunTime}) {
      const auto Next = this->Pending.begin();
      this->Now = Next->first;
      const auto Action = std::move(Next->second);
      this->Pending.erase(Next);
      Action();
    }
  }

  /// Returns by how many requests a team exceeds the requirement in its worst
  /// window; negative if it keeps it in all of them.
  double worstExcess() const {
    double Worst = -1e9;
    for (const auto &[Name, Times] : this->Runs) {
      for (std::size_t First = 0; First < Times.size(); ++First) {
        const Instant From = Times[First];
        const auto End =
            std::lower_bound(Times.begin(), Times.end(), From + Window);
        const auto Count = static_cast<double>(End - Times.begin()) -
                           static_cast<double>(First);
        Worst = std::max(Worst, Count - this->allowed(Name, From));
      }
    }
    return Worst;
  }

  /// Returns the admitted share of the requests sent in a time.
  double admittedShare(Milliseconds From, Milliseconds Until) const {
    double Sent = 0;
    double Admitted = 0;
    for (const auto &[Request, Each] : this->Requests) {
      const bool IsCounted =
          Instant{From} <= Each.SentAt && Each.SentAt < Instant{Until};
      Sent += IsCounted ? 1 : 0;
      Admitted += IsCounted && !Each.IsRefused ? 1 : 0;
    }
    return Sent > 0 ? Admitted / Sent : 0;
  }

  std::size_t runsOf(const std::string &Team, Milliseconds From,
                     Milliseconds Until) const {
    const auto Found = this->Runs.find(Team);
    if (Found == this->Runs.end())
      return 0;
    return static_cast<std::size_t>(std::count_if(
        Found->second.begin(), Found->second.end(), [&](Instant Each) {
          return Instant{From} <= Each && Each < Instant{Until};
        }));
  }

  /// Refusals for a quota that do not say "not run", or give a time to come
  /// back of less than 100 ms.
  int UntrueRefusals = 0;

private:
  struct Request {
    std::string Team;
    Instant SentAt;
    bool IsRefused = false;
  };
  struct Relay {
    std::unique_ptr<RelayFixture> Process;
    int Generation = 0;
    Instant FrozenUntil;
    std::set<std::string> Unconnected;
    bool IsToldOfView = true;
  };
  struct Member {
    LedgerState State;
    int Generation = 0;
    Instant FrozenUntil;
    Instant IsolatedUntil;
  };

  int draw(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(this->Random);
  }

  Milliseconds linkDelay() { return Milliseconds(this->draw(1, 8)); }

  void after(Milliseconds Delay, std::function<void()> Action) {
    this->Pending.emplace(this->Now + Delay, std::move(Action));
  }

  void every(Milliseconds Interval, const std::function<void()> &Action) {
    this->after(Interval, [this, Interval, Action] {
      Action();
      this->every(Interval, Action);
    });
  }

  static LedgerView viewOf(std::uint64_t Version,
                           const std::vector<std::string> &Members) {
    LedgerView Made;
    Made.Version = ViewVersion(Version);
    Made.ToleratedFailures = 1;
    for (const std::string &Each : Members)
      Made.Current.push_back(RelayFixture::member(Each));
    return Made;
  }

  double allowed(const std::string &Team, Instant From) const {
    const auto &History = this->Quotas.at(Team);
    RequestQuota Highest;
    for (std::size_t Index = 0; Index < History.size(); ++Index) {
      const bool IsOver = Index + 1 < History.size() &&
                          History[Index + 1].first + ChangeTime < From;
      if (IsOver || From + Window <= History[Index].first)
        continue;
      Highest.Rate = std::max(Highest.Rate, History[Index].second.Rate);
      Highest.Burst = std::max(Highest.Burst, History[Index].second.Burst);
    }
    const double Seconds = std::chrono::duration<double>(Window).count();
    return (Highest.Rate.PerSecond * Seconds + Highest.Burst) *
               ToleranceFactor +
           ToleranceRequests;
  }

  // Members.

  TeamQuotasConfigured currentQuotas() const {
    TeamQuotasConfigured Read;
    Read.Version = ConfigVersion(this->Version);
    for (const auto &[Name, History] : this->Quotas)
      Read.Quotas[TeamId(Name)] = History.back().second;
    return Read;
  }

  void startMember(const std::string &Holder) {
    Member &Each = this->Members[Holder];
    ++Each.Generation;
    Each.State = LedgerState();
    Each.State.Now = this->Now;
    Each.State.Self = RelayFixture::member(Holder);
    Each.State.View = this->View;
    this->applyAt(Holder, this->currentQuotas());
  }

  void applyAt(const std::string &Holder, const LedgerEvent &Event) {
    Member &Each = this->Members[Holder];
    if (this->Now < Each.FrozenUntil) {
      const int Generation = Each.Generation;
      this->after(Each.FrozenUntil - this->Now,
                  [this, Holder, Event, Generation] {
                    if (this->Members[Holder].Generation == Generation)
                      this->applyAt(Holder, Event);
                  });
      return;
    }
    Each.State.Now = this->Now;
    for (const LedgerEffect &Effect : reduce(Each.State, Event)) {
      const auto *Sent = std::get_if<SendHost>(&Effect);
      if (Sent && Sent->Host.Value.rfind("relay-", 0) == 0)
        this->sendToRelay(std::stoul(Sent->Host.Value.substr(6)), Holder,
                          Sent->Body);
    }
  }

  void tickMembers() {
    for (const auto &[Holder, Each] : this->Members) {
      if (!(this->Now < Each.FrozenUntil))
        this->applyAt(Holder, LedgerTick{this->Now});
    }
  }

  bool isIsolated(const std::string &Holder) {
    return this->Now < this->Members[Holder].IsolatedUntil;
  }

  void sendHeartbeats() {
    for (const auto &[Holder, Each] : this->Members) {
      if (this->Now < Each.FrozenUntil)
        continue;
      for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
        this->sendToRelay(Number, Holder, Heartbeat{});
      for (const auto &[Other, Receiver] : this->Members) {
        const bool IsCut = this->isIsolated(Holder) || this->isIsolated(Other);
        if (Other == Holder || IsCut)
          continue;
        this->applyAt(Other,
                      LedgerMessageReceived{RelayFixture::member(Holder).Host,
                                            Heartbeat{}});
      }
    }
  }

  // Relays.

  RelayConfiguration configurationFor(const RelayFixture &Process) const {
    RelayConfiguration Made = *Process.State.Configuration;
    Made.Version = ConfigVersion(this->Version);
    for (const auto &[Name, History] : this->Quotas) {
      TeamSettings Team;
      Team.Team = TeamId(Name);
      Team.Quota = History.back().second;
      Made.Teams[Team.Team] = Team;
      Made.TeamByKey["key-" + Name] = Team.Team;
    }
    return Made;
  }

  void startRelay(std::size_t Number) {
    Relay &Started = this->Relays[Number];
    Started.Process = std::make_unique<RelayFixture>();
    ++Started.Generation;
    RelayFixture &Process = *Started.Process;
    Process.State.Self = HostId("relay-" + std::to_string(Number));
    Process.State.Random.seed(this->Random());
    Process.State.Now = this->Now;
    Process.apply(DirectoryRegained{});
    Process.configure(1);
    Process.State.Configuration = this->configurationFor(Process);
    for (int Target = 0; Target < 20; ++Target)
      Process.addTarget("t" + std::to_string(Target));
    Process.apply(RelayLedgerViewObserved{this->View});
    for (const LedgerMember &Each : this->View.Current) {
      if (!this->isIsolated(Each.Holder.Value))
        Process.apply(ReplicaConnected{Each.Holder});
    }
    Started.Unconnected.clear();
    this->perform(Number);
  }

  /// Runs an action at a relay, unless it is restarted before; a frozen relay
  /// runs it when it wakes.
  void afterAt(std::size_t Number, Milliseconds Delay,
               const std::function<void(RelayFixture &)> &Action) {
    const int Generation = this->Relays[Number].Generation;
    this->after(Delay, [this, Number, Generation, Action] {
      Relay &Each = this->Relays[Number];
      if (Each.Generation != Generation)
        return;
      if (this->Now < Each.FrozenUntil) {
        this->afterAt(Number, Each.FrozenUntil - this->Now, Action);
        return;
      }
      Each.Process->State.Now = this->Now;
      Action(*Each.Process);
      this->perform(Number);
    });
  }

  void tickRelays() {
    for (std::size_t Number = 0; Number < this->Relays.size(); ++Number) {
      if (this->Now < this->Relays[Number].FrozenUntil)
        continue;
      this->Relays[Number].Process->apply(RelayTick{this->Now});
      this->perform(Number);
    }
  }

  void sendToRelay(std::size_t Number, const std::string &Holder,
                   const Message &Body) {
    this->afterAt(
        Number, this->linkDelay(), [Holder, Body](RelayFixture &Each) {
          if (Each.State.ConnectedReplicas.count(HolderId(Holder)) > 0)
            Each.apply(ReplicaMessageReceived{HolderId(Holder), Body});
        });
  }

  void perform(std::size_t Number) {
    std::vector<RelayEffect> Effects;
    Effects.swap(this->Relays[Number].Process->Effects);
    for (const RelayEffect &Each : Effects) {
      if (const auto *Sent = std::get_if<SendAttempt>(&Each))
        this->recordRun(Number, *Sent);
      else if (const auto *ToReplica = std::get_if<SendToReplica>(&Each))
        this->after(this->linkDelay(), [this, Number, Sent = *ToReplica] {
          this->applyAt(
              Sent.Holder.Value,
              LedgerMessageReceived{HostId("relay-" + std::to_string(Number)),
                                    Sent.Body});
        });
      else if (const auto *Refusal = std::get_if<RefuseCaller>(&Each))
        this->recordRefusal(*Refusal);
    }
  }

  void recordRun(std::size_t Number, const SendAttempt &Sent) {
    this->Runs[this->Requests.at(Sent.Request).Team].push_back(this->Now);
    this->afterAt(
        Number, Milliseconds(this->draw(20, 80)),
        [Attempt = Sent.Attempt](RelayFixture &Each) {
          Each.apply(AttemptHeadReceived{Attempt, RelayFixture::head(200)});
          Each.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
        });
  }

  void recordRefusal(const RefuseCaller &Effect) {
    this->Requests.at(Effect.Request).IsRefused = true;
    if (Effect.Refusal.Reason == RelayRefusalReason::QuotaExceeded &&
        (Effect.Refusal.ExecutionStatus != Execution::NotRun ||
         Effect.Refusal.RetryAfter < Milliseconds(100)))
      ++this->UntrueRefusals;
  }

  // Callers.

  void scheduleRequest(const std::string &Team) {
    std::exponential_distribution<double> Gap(this->Given.Demand.at(Team));
    this->after(
        Milliseconds(static_cast<std::int64_t>(1000 * Gap(this->Random))),
        [this, Team] {
          this->sendRequest(Team);
          this->scheduleRequest(Team);
        });
  }

  void sendRequest(const std::string &Team) {
    const auto Number = static_cast<std::size_t>(
        this->draw(0, static_cast<int>(this->Relays.size()) - 1));
    const RequestId Id(++this->LastRequest);
    this->Requests[Id] = Request{Team, this->Now, false};
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId("r" + std::to_string(Id.Value));
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/once/" + std::to_string(Id.Value);
    Inbound.Credential = KeyDigest("key-" + Team);
    this->afterAt(Number, Milliseconds(0), [Id, Inbound](RelayFixture &Each) {
      Each.apply(CallerRequestReceived{Id, Inbound});
    });
  }

  // Faults.

  void scheduleFault() {
    const auto Mean = static_cast<int>(this->Given.FaultInterval.count());
    if (Mean == 0 || Instant{FaultsUntil} < this->Now)
      return;
    this->after(Milliseconds(this->draw(1, 2 * Mean)), [this] {
      this->injectFault();
      this->scheduleFault();
    });
  }

  void injectFault() {
    const auto Number = static_cast<std::size_t>(
        this->draw(0, static_cast<int>(this->Relays.size()) - 1));
    const auto &Names = this->Given.Members;
    const std::string Holder = Names[static_cast<std::size_t>(
        this->draw(0, static_cast<int>(Names.size()) - 1))];
    const Milliseconds Time(this->draw(300, 3000));
    switch (this->draw(0, 5)) {
    case 0:
      this->startRelay(Number);
      return;
    case 1:
      this->Relays[Number].FrozenUntil = this->Now + Time;
      return;
    case 2:
      this->startMember(Holder);
      for (std::size_t Each = 0; Each < this->Relays.size(); ++Each)
        this->cut(Each, Holder, Milliseconds(300));
      return;
    case 3:
      this->Members[Holder].FrozenUntil = this->Now + Time;
      return;
    case 4:
      this->Members[Holder].IsolatedUntil = this->Now + Time;
      // One relay stays on the member's side.
      for (std::size_t Each = 1; Each < this->Relays.size(); ++Each)
        this->cut(Each, Holder, Time);
      return;
    default:
      for (const std::string &Each : Names)
        this->cut(Number, Each, Time);
    }
  }

  /// Cuts the connection of a relay to a member for some time.
  void cut(std::size_t Number, const std::string &Holder, Milliseconds Time) {
    this->afterAt(Number, Milliseconds(0), [Holder](RelayFixture &Each) {
      Each.apply(ReplicaDisconnected{HolderId(Holder)});
    });
    this->afterAt(Number, Time, [this, Holder](RelayFixture &Each) {
      if (!this->isIsolated(Holder))
        Each.apply(ReplicaConnected{HolderId(Holder)});
    });
  }

  void changeQuotas(double Factor) {
    ++this->Version;
    for (auto &[Name, History] : this->Quotas) {
      RequestQuota Changed = History.back().second;
      Changed.Rate.PerSecond *= Factor;
      Changed.Burst *= Factor;
      History.emplace_back(this->Now, Changed);
    }
    // Some learn of it later; all within the time that a configuration has.
    for (const auto &[Holder, Each] : this->Members)
      this->after(Milliseconds(this->draw(0, 1500)), [this, Name = Holder] {
        this->applyAt(Name, this->currentQuotas());
      });
    for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
      this->afterAt(Number, Milliseconds(this->draw(0, 1500)),
                    [this](RelayFixture &Each) {
                      Each.apply(RelayConfigured{this->configurationFor(Each)});
                    });
  }

  /// Replaces the last member by another one. The replaced one and one relay
  /// are cut off and learn nothing of it.
  void changeView() {
    const std::string Replaced = this->Given.Members.back();
    std::vector<std::string> Names = this->Given.Members;
    Names.back() = "new";
    // A member is replaced only once its registration has lapsed.
    this->Members[Replaced].IsolatedUntil = Instant{RunTime};
    this->after(Milliseconds(2000), [this, Names] {
      this->View = viewOf(2, Names);
      this->startMember("new");
      for (const std::string &Each : Names)
        this->after(Milliseconds(this->draw(0, 300)), [this, Each] {
          this->applyAt(Each, LedgerViewObserved{this->View, Revision(2)});
        });
      for (std::size_t Number = 1; Number < this->Relays.size(); ++Number)
        this->afterAt(Number, Milliseconds(this->draw(0, 300)),
                      [this](RelayFixture &Each) {
                        Each.apply(RelayLedgerViewObserved{this->View});
                        Each.apply(ReplicaConnected{HolderId("new")});
                      });
    });
    for (std::size_t Number = 1; Number < this->Relays.size(); ++Number)
      this->cut(Number, Replaced, RunTime);
    for (const std::string &Each : this->Given.Members) {
      if (Each != Replaced)
        this->cut(0, Each, RunTime);
    }
  }

  std::mt19937 Random;
  const Scenario Given;
  Instant Now;
  std::multimap<Instant, std::function<void()>> Pending;
  LedgerView View;
  std::vector<Relay> Relays;
  std::map<std::string, Member> Members;
  /// The quotas of each team, by the time since when they are in force.
  std::map<std::string, std::vector<std::pair<Instant, RequestQuota>>> Quotas;
  std::uint64_t Version = 1;
  std::map<RequestId, Request> Requests;
  std::map<std::string, std::vector<Instant>> Runs;
  std::uint64_t LastRequest = 0;
};

Scenario skewedTeams() {
  Scenario Given;
  Given.Demand = {{"small", 1.5}, {"medium", 6}, {"large", 30}};
  return Given;
}

} // namespace

TEST_CASE("Quotas: requests within the quota are admitted wherever they arrive",
          "[.quotas]") {
  for (unsigned Seed = 1; Seed <= 30; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given = skewedTeams();
    Given.RelayCount = 12;
    QuotaDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() <= 0);
    CHECK(Run.admittedShare(Milliseconds(1000), RunTime) >= MinAdmittedShare);
  }
}

TEST_CASE("Quotas: teams that send three times their quota get the quota, from "
          "all relays together",
          "[.quotas]") {
  for (unsigned Seed = 1; Seed <= 30; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given = skewedTeams();
    Given.QuotaFactor = 1.0 / 3;
    QuotaDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() <= 0);
    CHECK(Run.UntrueRefusals == 0);
    // Nearly all of the quota of 10 a second is used.
    CHECK(Run.runsOf("large", Milliseconds(3000), Milliseconds(13000)) >= 92);
    CHECK(Run.runsOf("large", Milliseconds(3000), Milliseconds(13000)) <= 112);
  }
}

TEST_CASE(
    "Quotas: kept over 200 schedules of faults, and used again after them",
    "[.quotas]") {
  double AdmittedSum = 0;
  for (unsigned Seed = 1; Seed <= ScheduleCount; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given = skewedTeams();
    Given.FaultInterval = Milliseconds(600);
    // Half of the schedules have teams that send three times their quota.
    const bool IsWithinQuota = Seed % 2 == 0;
    if (!IsWithinQuota)
      Given.QuotaFactor = 1.0 / 3;
    if (Seed % 4 >= 2)
      Given.Members = {"a", "b", "c", "d", "e"};
    QuotaDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() <= 0);
    CHECK(Run.UntrueRefusals == 0);
    if (!IsWithinQuota)
      continue;
    CHECK(Run.admittedShare(RecoveredAt, RunTime) >= MinAdmittedShare);
    AdmittedSum += Run.admittedShare(RecoveredAt, RunTime);
  }
  CHECK(AdmittedSum / (ScheduleCount / 2.0) >= MinAdmittedShare);
}

TEST_CASE("Quotas: lowered to a fifth and raised again", "[.quotas]") {
  for (unsigned Seed = 1; Seed <= 30; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given = skewedTeams();
    Given.HasQuotaChanges = true;
    QuotaDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() <= 0);
    CHECK(Run.admittedShare(RecoveredAt, RunTime) >= MinAdmittedShare);
  }
}

TEST_CASE("Quotas: kept while a member is replaced that does not know it",
          "[.quotas]") {
  for (unsigned Seed = 1; Seed <= 30; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given = skewedTeams();
    Given.HasViewChange = true;
    Given.QuotaFactor = 1.0 / 3;
    QuotaDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() <= 0);
  }
}
