/// \file
/// Targets that name the rate of requests that they take from all relays
/// together, before several relays and replicas, with faults drawn by seed.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// The users' rule: from KnowledgeLimit after a target first named its limit,
/// it gets in any Window at most BurstFactor times what that allows and
/// BurstRequests more, from relays that it told TellingTime before or earlier.
constexpr Milliseconds KnowledgeLimit{3000};
constexpr Milliseconds Window{4000};
constexpr Milliseconds TellingTime{500};
constexpr double BurstFactor = 1.5;
constexpr double BurstRequests = 5;
/// How long a fault of a relay excuses it.
constexpr Milliseconds FaultTime{3000};
constexpr Milliseconds RunTime{20000};
constexpr Milliseconds LimitsNamedAt{2000};

struct Scenario {
  std::size_t RelayCount = 6;
  int TargetCount = 9;
  int LimitedCount = 6;
  double MinLimit = 5;
  double MaxLimit = 8;
  /// Requests a second, all relays together.
  int RequestRate = 100;
  /// Mean time between faults of relays and replicas; 0 for none.
  Milliseconds FaultInterval{0};
  /// When the targets end or change their limits, if they do.
  std::optional<Milliseconds> LimitsEndAt;
  std::optional<Milliseconds> LimitsChangeAt;
};

class LimitedDeployment {
public:
  LimitedDeployment(unsigned Seed, Scenario Given)
      : Random(Seed), Given(std::move(Given)), Relays(this->Given.RelayCount) {
    for (const char *Holder : {"a", "b", "c"})
      this->startReplica(Holder);
    for (int Number = 1; Number <= this->Given.TargetCount; ++Number)
      this->Targets["t" + std::to_string(Number)];
    for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
      this->startRelay(Number);
  }

  void run() {
    this->every(Milliseconds(25), [this] { this->tickRelays(); });
    this->every(Milliseconds(100), [this] { this->tickReplicas(); });
    this->every(Milliseconds(400), [this] { this->sendHeartbeats(); });
    this->after(LimitsNamedAt, [this] { this->nameLimits(); });
    if (this->Given.LimitsEndAt)
      this->after(*this->Given.LimitsEndAt, [this] { this->endLimits(); });
    if (this->Given.LimitsChangeAt)
      this->after(*this->Given.LimitsChangeAt, [this] { this->nameLimits(); });
    this->sendRequests();
    this->scheduleFault();
    while (!this->Pending.empty() && this->Now < Instant{RunTime}) {
      const auto Next = this->Pending.begin();
      this->Now = Next->first;
      const auto Action = std::move(Next->second);
      this->Pending.erase(Next);
      Action();
    }
  }

  /// Returns how many requests more than the rule allows a target got in its
  /// worst window; 0 if it holds at all of them.
  double worstExcess() const {
    double Worst = 0;
    for (const auto &[Id, Each] : this->Targets)
      Worst = std::max(Worst, this->worstExcessOf(Each));
    return Worst;
  }

  /// Returns by how much a target's requests exceed its limit over the whole
  /// time in which it was in force and known.
  double worstTotalExcess() const {
    double Worst = 0;
    for (const auto &[Id, Each] : this->Targets) {
      if (Each.Limits.empty())
        continue;
      const Instant From = Each.Limits.front().first + KnowledgeLimit;
      const double Span =
          std::chrono::duration<double>(this->Now - From).count();
      const double Allowed = Each.Limits.front().second->PerSecond * Span;
      Worst = std::max(Worst,
                       this->countedArrivals(Each, From, this->Now) - Allowed);
    }
    return Worst;
  }

  /// Returns the requests that limited targets got from a time on, as a share
  /// of what they take.
  double usedShareFrom(Milliseconds Start) const {
    double Got = 0;
    double Allowed = 0;
    for (const auto &[Id, Each] : this->Targets) {
      if (Each.Limits.empty())
        continue;
      const double Span =
          std::chrono::duration<double>(this->Now - Instant{Start}).count();
      Allowed += Each.Limits.back().second->PerSecond * Span;
      for (const Arrival &One : Each.Arrivals)
        Got += Instant{Start} <= One.At ? 1 : 0;
    }
    return Got / Allowed;
  }

  std::size_t arrivalsFrom(Milliseconds Start) const {
    std::size_t Count = 0;
    for (const auto &[Id, Each] : this->Targets) {
      for (const Arrival &One : Each.Arrivals)
        Count += Each.Limits.empty() || One.At < Instant{Start} ? 0 : 1;
    }
    return Count;
  }

  int Served = 0;
  int Refused = 0;
  /// Refusals without a time to come back, or later than the caller's time.
  int RefusedUntruly = 0;

private:
  struct Arrival {
    Instant At;
    std::size_t Relay = 0;
    /// Whether the relay had been told of the limit and had no fault.
    bool IsCounted = false;
  };
  struct Target {
    /// The limits that it named, by the time since when; no rate means that it
    /// named none any more.
    std::vector<std::pair<Instant, std::optional<RequestRate>>> Limits;
    std::vector<Arrival> Arrivals;
    std::map<std::size_t, Instant> ToldAt;
  };
  struct Relay {
    std::unique_ptr<RelayFixture> Process;
    int Generation = 0;
    Instant FrozenUntil;
    Instant FaultAt{Milliseconds(-60000)};
    Instant SentUntil;
  };
  struct Replica {
    LedgerState State;
  };

  int draw(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(this->Random);
  }

  void after(Milliseconds Delay, std::function<void()> Action) {
    this->Pending.emplace(this->Now + Delay, std::move(Action));
  }

  void every(Milliseconds Interval, const std::function<void()> &Action) {
    this->after(Interval, [this, Interval, Action] {
      Action();
      this->every(Interval, Action);
    });
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

  // Relays and replicas.

  void startReplica(const std::string &Holder) {
    LedgerState &State = this->Replicas[Holder].State;
    State = LedgerState();
    State.Now = this->Now;
    State.Self = RelayFixture::member(Holder);
    State.View.Version = ViewVersion(1);
    State.View.Current = {RelayFixture::member("a"), RelayFixture::member("b"),
                          RelayFixture::member("c")};
  }

  void startRelay(std::size_t Number) {
    Relay &Started = this->Relays[Number];
    Started.Process = std::make_unique<RelayFixture>();
    ++Started.Generation;
    RelayState &State = Started.Process->State;
    State.Self = HostId("relay-" + std::to_string(Number));
    State.Random.seed(this->Random());
    State.Now = this->Now;
    Started.Process->apply(DirectoryRegained{});
    Started.Process->configure();
    for (const auto &[Id, Each] : this->Targets)
      Started.Process->addTarget(Id);
    Started.Process->connectLedger();
    for (auto &[Id, Each] : this->Targets)
      Each.ToldAt.erase(Number);
    this->perform(Number);
  }

  void tickRelays() {
    for (std::size_t Number = 0; Number < this->Relays.size(); ++Number) {
      Relay &Each = this->Relays[Number];
      if (this->Now < Each.FrozenUntil)
        continue;
      Each.Process->apply(RelayTick{this->Now});
      this->perform(Number);
    }
  }

  void tickReplicas() {
    for (auto &[Holder, Each] : this->Replicas)
      this->applyAt(Holder, LedgerTick{this->Now});
  }

  void sendHeartbeats() {
    for (const auto &[Holder, Each] : this->Replicas) {
      for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
        this->sendToRelay(Number, Holder, Heartbeat{});
    }
  }

  void sendToRelay(std::size_t Number, const std::string &Holder,
                   const Message &Body) {
    this->afterAt(
        Number, Milliseconds(this->draw(1, 20)),
        [Holder, Body](RelayFixture &Each) {
          if (Each.State.ConnectedReplicas.count(HolderId(Holder)) > 0)
            Each.apply(ReplicaMessageReceived{HolderId(Holder), Body});
        });
  }

  void applyAt(const std::string &Holder, const LedgerEvent &Event) {
    LedgerState &State = this->Replicas[Holder].State;
    State.Now = this->Now;
    for (const LedgerEffect &Each : reduce(State, Event)) {
      if (const auto *Notify = std::get_if<NotifyRelays>(&Each)) {
        for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
          this->sendToRelay(Number, Holder, Notify->Body);
      }
      if (const auto *Reply = std::get_if<SendHost>(&Each))
        this->sendToRelay(
            static_cast<std::size_t>(Reply->Host.Value.back() - '0'), Holder,
            Reply->Body);
    }
  }

  /// Performs the effects of a relay.
  void perform(std::size_t Number) {
    std::vector<RelayEffect> Effects;
    Effects.swap(this->Relays[Number].Process->Effects);
    for (const RelayEffect &Each : Effects) {
      if (const auto *Sent = std::get_if<SendAttempt>(&Each))
        this->after(Milliseconds(1), [this, Number, Sent = *Sent] {
          this->arrive(Number, Sent);
        });
      else if (const auto *ToReplica = std::get_if<SendToReplica>(&Each))
        this->after(Milliseconds(this->draw(1, 20)), [this, Number,
                                                      Sent = *ToReplica] {
          this->applyAt(
              Sent.Holder.Value,
              LedgerMessageReceived{HostId("relay-" + std::to_string(Number)),
                                    Sent.Body});
        });
      else if (const auto *Refusal = std::get_if<RefuseCaller>(&Each))
        this->countRefusal(Refusal->Refusal);
      else if (std::get_if<FinishAnswer>(&Each))
        ++this->Served;
    }
  }

  void countRefusal(const RelayRefusal &Refusal) {
    ++this->Refused;
    if (Refusal.RetryAfter <= Milliseconds(0) ||
        Refusal.ExecutionStatus != Execution::NotRun)
      ++this->RefusedUntruly;
  }

  // Targets.

  void nameLimits() {
    for (int Number = 1; Number <= this->Given.LimitedCount; ++Number)
      this->Targets["t" + std::to_string(Number)].Limits.emplace_back(
          this->Now,
          RequestRate{std::uniform_real_distribution<double>(
              this->Given.MinLimit, this->Given.MaxLimit)(this->Random)});
  }

  void endLimits() {
    for (auto &[Id, Each] : this->Targets) {
      if (!Each.Limits.empty())
        Each.Limits.emplace_back(this->Now, std::nullopt);
    }
  }

  void arrive(std::size_t Number, const SendAttempt &Sent) {
    const std::string Id = Sent.Target.Id.Value;
    Target &Receiver = this->Targets[Id];
    const Relay &Sender = this->Relays[Number];
    const auto Told = Receiver.ToldAt.find(Number);
    const bool IsTold = Told != Receiver.ToldAt.end() &&
                        Told->second + TellingTime <= this->Now;
    const bool IsInTouch = FaultTime <= this->Now - Sender.FaultAt;
    Receiver.Arrivals.push_back(
        Arrival{this->Now, Number, IsTold && IsInTouch});
    this->after(Milliseconds(this->draw(50, 300)),
                [this, Number, Id, Attempt = Sent.Attempt] {
                  this->answer(Number, Id, Attempt);
                });
  }

  void answer(std::size_t Number, const std::string &Id,
              RelayAttemptId Attempt) {
    TargetAnswerHead Head = RelayFixture::head(200);
    const auto &Limits = this->Targets[Id].Limits;
    const bool IsLimited = !Limits.empty() && Limits.back().second;
    if (IsLimited)
      Head.RequestLimit = *Limits.back().second;
    this->afterAt(
        Number, Milliseconds(this->draw(1, 5)),
        [this, Number, Id, Attempt, Head, IsLimited](RelayFixture &Each) {
          if (IsLimited)
            this->Targets[Id].ToldAt.emplace(Number, this->Now);
          Each.apply(AttemptHeadReceived{Attempt, Head});
          Each.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
        });
  }

  /// Returns the highest limit in force within a time; absent if there was a
  /// time without.
  static std::optional<double> highestLimit(const Target &Each, Instant From,
                                            Instant Until) {
    double Highest = 0;
    for (std::size_t Index = 0; Index < Each.Limits.size(); ++Index) {
      const bool IsLast = Index + 1 == Each.Limits.size();
      // Relays learn of a change by the next answers.
      const bool IsOver =
          !IsLast && Each.Limits[Index + 1].first + KnowledgeLimit <= From;
      if (IsOver || Until <= Each.Limits[Index].first)
        continue;
      if (!Each.Limits[Index].second)
        return std::nullopt;
      Highest = std::max(Highest, Each.Limits[Index].second->PerSecond);
    }
    return Highest;
  }

  static double countedArrivals(const Target &Each, Instant From,
                                Instant Until) {
    double Count = 0;
    for (const Arrival &One : Each.Arrivals)
      Count += One.IsCounted && From <= One.At && One.At < Until ? 1 : 0;
    return Count;
  }

  double worstExcessOf(const Target &Each) const {
    if (Each.Limits.empty())
      return 0;
    double Worst = 0;
    const Instant First = Each.Limits.front().first + KnowledgeLimit;
    for (Instant From = First; From + Window <= this->Now;
         From = From + Milliseconds(100)) {
      const auto Limit = highestLimit(Each, From, From + Window);
      if (!Limit)
        continue;
      const double Seconds = std::chrono::duration<double>(Window).count();
      const double Allowed = BurstFactor * *Limit * Seconds + BurstRequests;
      Worst =
          std::max(Worst, countedArrivals(Each, From, From + Window) - Allowed);
    }
    return Worst;
  }

  // Callers.

  void sendRequests() {
    const std::string Path = (this->draw(0, 1) == 0 ? "/plain/" : "/once/") +
                             std::to_string(++this->LastRequest);
    // Callers are spread over the relays unevenly.
    const auto Number = static_cast<std::size_t>(
        std::min(this->draw(0, static_cast<int>(this->Relays.size()) - 1),
                 this->draw(0, static_cast<int>(this->Relays.size()) - 1)));
    this->afterAt(Number, Milliseconds(0),
                  [Path, Id = this->LastRequest](RelayFixture &Each) {
                    Each.ask(Path, "r" + std::to_string(Id));
                  });
    this->after(Milliseconds(this->draw(0, 2000 / this->Given.RequestRate)),
                [this] { this->sendRequests(); });
  }

  // Faults.

  void scheduleFault() {
    const auto Mean = static_cast<int>(this->Given.FaultInterval.count());
    if (Mean == 0)
      return;
    this->after(Milliseconds(this->draw(1, 2 * Mean)), [this] {
      this->injectFault();
      this->scheduleFault();
    });
  }

  void injectFault() {
    const auto Number = static_cast<std::size_t>(
        this->draw(0, static_cast<int>(this->Relays.size()) - 1));
    Relay &Chosen = this->Relays[Number];
    const std::string Holder(1, static_cast<char>('a' + this->draw(0, 2)));
    switch (this->draw(0, 3)) {
    case 0:
      Chosen.FaultAt = this->Now;
      this->startRelay(Number);
      return;
    case 1:
      Chosen.FrozenUntil = this->Now + Milliseconds(this->draw(300, 3000));
      Chosen.FaultAt = Chosen.FrozenUntil;
      return;
    case 2:
      this->startReplica(Holder);
      for (std::size_t Each = 0; Each < this->Relays.size(); ++Each)
        this->cut(Each, Holder, Milliseconds(300));
      return;
    default:
      Chosen.FaultAt = this->Now + Milliseconds(2000);
      for (const char *Each : {"a", "b", "c"})
        this->cut(Number, Each, Milliseconds(2000));
    }
  }

  /// Cuts the connection of a relay to a replica for some time.
  void cut(std::size_t Number, const std::string &Holder, Milliseconds Time) {
    this->afterAt(Number, Milliseconds(0), [Holder](RelayFixture &Each) {
      Each.apply(ReplicaDisconnected{HolderId(Holder)});
    });
    this->afterAt(Number, Time, [Holder](RelayFixture &Each) {
      Each.apply(ReplicaConnected{HolderId(Holder)});
    });
  }

  std::mt19937 Random;
  const Scenario Given;
  Instant Now;
  std::multimap<Instant, std::function<void()>> Pending;
  std::vector<Relay> Relays;
  std::map<std::string, Replica> Replicas;
  std::map<std::string, Target> Targets;
  int LastRequest = 0;
};

constexpr unsigned SeedCount = 20;

} // namespace

TEST_CASE("Targets get no more than the limit that they name from all relays "
          "together",
          "[.named-limits]") {
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    INFO("seed " << Seed);
    LimitedDeployment Run(Seed, Scenario{});
    Run.run();
    CHECK(Run.worstExcess() == 0);
    CHECK(Run.worstTotalExcess() <= BurstRequests);
    // The other targets have room for what the limited ones do not take.
    CHECK(Run.Refused == 0);
    CHECK(Run.Served > 1500);
  }
}

TEST_CASE("Named limits hold while relays and replicas restart, freeze and "
          "lose connections",
          "[.named-limits]") {
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given;
    Given.FaultInterval = Milliseconds(700);
    LimitedDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() == 0);
    CHECK(Run.Served > 1000);
  }
}

TEST_CASE("If all targets of a service name limits, these are used and kept",
          "[.named-limits]") {
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given;
    Given.LimitedCount = Given.TargetCount;
    LimitedDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() == 0);
    CHECK(Run.worstTotalExcess() <= BurstRequests);
    CHECK(Run.usedShareFrom(LimitsNamedAt + KnowledgeLimit) >= 0.75);
    CHECK(Run.RefusedUntruly == 0);
  }
}

TEST_CASE("Limits below one request a second for each relay are kept",
          "[.named-limits]") {
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given;
    Given.RelayCount = 9;
    Given.MinLimit = 0.3;
    Given.MaxLimit = 2;
    LimitedDeployment Run(Seed, Given);
    Run.run();
    CHECK(Run.worstExcess() == 0);
    CHECK(Run.worstTotalExcess() <= BurstRequests);
  }
}

TEST_CASE("A changed limit replaces the one before, and an ended one holds "
          "nothing back",
          "[.named-limits]") {
  for (unsigned Seed = 1; Seed <= SeedCount; ++Seed) {
    INFO("seed " << Seed);
    Scenario Given;
    Given.LimitsChangeAt = Milliseconds(9000);
    LimitedDeployment Changed(Seed, Given);
    Changed.run();
    CHECK(Changed.worstExcess() == 0);
    Given.LimitsChangeAt.reset();
    Given.LimitsEndAt = Milliseconds(9000);
    LimitedDeployment Ended(Seed, Given);
    Ended.run();
    CHECK(Ended.worstExcess() == 0);
    // Two thirds of the targets get more than half of the requests again.
    CHECK(Ended.arrivalsFrom(Milliseconds(11000)) > 450);
  }
}
