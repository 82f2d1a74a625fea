/// Tests strict revocation with a relay, three replicas and a key-value service
/// under random faults: hosts that the service turns away, frozen processes,
/// broken links and slow messages.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <map>
#include <random>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

constexpr std::size_t ReplicaCount = 3;
/// Host 0 is the relay, the others are replicas.
constexpr std::size_t HostCount = ReplicaCount + 1;
constexpr Milliseconds RevocationTime{5000};
constexpr Milliseconds HeartbeatInterval{400};
constexpr Milliseconds RetryDelay{200};
constexpr Milliseconds CallTimeout{1000};
constexpr WatchTiming ReplicaWatch{Milliseconds(1200), Milliseconds(1000)};

/// A relay and its replicas as reducers, with the key-value service and the
/// network between them. The configuration is the only key of the service.
class RevocationWorld {
public:
  struct Host {
    bool IsServed = true;
    bool IsLinked = true;
    Instant FrozenUntil;
    Revision Known;
    WatchTiming Watch;
  };

  explicit RevocationWorld(std::uint64_t Seed) : Random(Seed) {
    RelayOptions &Options = this->Relay.State.Options;
    Options.IsRevocationStrict = true;
    this->Relay.State.HeartbeatOffset = Milliseconds(1 << 30);
    this->Relay.makeReady();
    this->configure(2, true);
    this->Now = this->Relay.State.Now;
    for (std::size_t Number = 0; Number < HostCount; ++Number)
      this->Hosts[Number].Watch = ReplicaWatch;
    this->Hosts[0].Watch =
        boundWatchTiming(Options.MaxProofAge,
                         WatchTiming{Milliseconds(15000), Milliseconds(1000)});
    for (std::size_t Number = 0; Number < HostCount; ++Number)
      this->after(this->draw(0, 500), Number,
                  [this, Number] { this->startQuery(Number); });
    this->after(Milliseconds(0), 0, [this] { this->sendHeartbeats(); });
    this->after(Milliseconds(0), 0, [this] { this->tick(); });
  }

  Milliseconds draw(int Least, int Most) {
    return Milliseconds(
        std::uniform_int_distribution<int>(Least, Most)(this->Random));
  }

  /// Runs an action at a host, once it is not frozen.
  void after(Milliseconds Delay, std::size_t Number,
             std::function<void()> Action) {
    this->Due.emplace(
        this->Now + Delay, [this, Number, Action = std::move(Action)] {
          const Instant Thaw = this->Hosts[Number].FrozenUntil;
          if (!(this->Now < Thaw))
            Action();
          else
            // In any order with what else is due then.
            this->after(Thaw - this->Now + this->draw(0, 20), Number, Action);
        });
  }

  void runUntil(Instant End) {
    while (!this->Due.empty() && this->Due.begin()->first <= End) {
      this->Now = std::max(this->Now, this->Due.begin()->first);
      const auto Action = std::move(this->Due.begin()->second);
      this->Due.erase(this->Due.begin());
      Action();
    }
    this->Now = End;
  }

  /// Injects faults until End: about two a second.
  void injectFaults(Instant End) {
    const std::size_t Number = this->Random() % HostCount;
    Host &Each = this->Hosts[Number];
    switch (this->Random() % 4) {
    case 0:
      Each.FrozenUntil = this->Now + this->draw(50, 9000);
      break;
    case 1:
      Each.IsLinked = !Each.IsLinked;
      break;
    default:
      Each.IsServed = !Each.IsServed;
    }
    if (this->Now < End)
      this->Due.emplace(this->Now + this->draw(1, 1000),
                        [this, End] { this->injectFaults(End); });
  }

  void removeKey() {
    this->RemovedAt = this->Now;
    ++this->StoredRevision.Value;
  }

  /// Sends a request with the key and returns whether it is sent on.
  bool ask() {
    const std::size_t Sent = this->Relay.all<SendAttempt>().size();
    CallerRequest Inbound;
    const std::string Id = "k" + std::to_string(++this->LastRequest);
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/plain/x";
    Inbound.Credential = KeyDigest("digest");
    this->applyToRelay(CallerRequestReceived{RequestId(LastRequest), Inbound});
    const bool IsSent = Sent < this->Relay.all<SendAttempt>().size();
    this->applyToRelay(RelayCallerDisconnected{RequestId(LastRequest)});
    this->Relay.Effects.clear();
    return IsSent;
  }

  bool isFrozen(std::size_t Number) const {
    return this->Now < this->Hosts[Number].FrozenUntil;
  }

  std::array<Host, HostCount> Hosts;
  Instant Now;
  std::optional<Instant> RemovedAt;

private:
  void configure(std::uint64_t Version, bool HasKey) {
    RelayConfiguration Configuration = *this->Relay.State.Configuration;
    Configuration.Version = ConfigVersion(Version);
    Configuration.Teams[TeamId("x")].Team = TeamId("x");
    Configuration.TeamByKey.clear();
    if (HasKey)
      Configuration.TeamByKey["digest"] = TeamId("x");
    this->Relay.apply(RelayConfigured{Configuration});
  }

  void applyToRelay(const RelayEvent &Event) {
    this->Relay.State.Now = this->Now;
    this->Relay.apply(Event);
  }

  void tick() {
    this->applyToRelay(RelayTick{this->Now});
    this->Relay.Effects.clear();
    this->after(Milliseconds(25), 0, [this] { this->tick(); });
  }

  void sendHeartbeats() {
    const Heartbeat Beat = heartbeatOf(this->Relay.State, this->Now);
    for (std::size_t Number = 1; Number < HostCount; ++Number)
      this->sendOver(Number, Number, [this, Number, Beat] {
        this->applyToReplica(Number,
                             LedgerMessageReceived{HostId("relay"), Beat});
      });
    this->after(HeartbeatInterval, 0, [this] { this->sendHeartbeats(); });
  }

  /// Delivers a message over the connection of a replica and the relay, in
  /// order in each direction, and late now and then.
  void sendOver(std::size_t Replica, std::size_t To,
                std::function<void()> Deliver) {
    if (!this->Hosts[Replica].IsLinked || !this->Hosts[0].IsLinked)
      return;
    Instant &Last = this->LastArrival[{Replica, To}];
    const Milliseconds Delay =
        this->Random() % 10 == 0 ? this->draw(100, 3000) : this->draw(1, 30);
    Last =
        std::max(Last, this->Now + (this->IsCalm ? this->draw(1, 30) : Delay));
    this->after(Last - this->Now, To, std::move(Deliver));
  }

  void applyToReplica(std::size_t Number, const LedgerEvent &Event) {
    LedgerState &State = this->Replicas[Number - 1];
    State.Now = this->Now;
    for (const LedgerEffect &Effect : reduce(State, Event)) {
      const auto *Sent = std::get_if<SendHost>(&Effect);
      if (!Sent)
        continue;
      const Message Body = Sent->Body;
      this->sendOver(Number, 0, [this, Number, Body] {
        this->applyToRelay(
            ReplicaMessageReceived{HolderId(std::to_string(Number)), Body});
      });
    }
  }

  void startQuery(std::size_t Number) {
    if (Number > 0)
      this->applyToReplica(Number, LedgerServiceQueryStarted{});
    const Instant SentAt = this->Now;
    this->QuerySentAt[Number] = SentAt;
    const Milliseconds Transit = this->draw(1, 150);
    this->Due.emplace(this->Now + Transit, [this, Number, SentAt] {
      if (this->Hosts[Number].IsServed)
        this->waitForChange(Number, SentAt,
                            this->Now + this->Hosts[Number].Watch.Timeout);
    });
    // The client gives the call up if no answer arrives.
    this->after(this->Hosts[Number].Watch.Timeout + CallTimeout, Number,
                [this, Number, SentAt] { this->retry(Number, SentAt); });
  }

  void retry(std::size_t Number, Instant SentAt) {
    if (this->QuerySentAt[Number] <= SentAt && !this->isAnswered(Number))
      this->after(RetryDelay, Number,
                  [this, Number] { this->startQuery(Number); });
  }

  bool isAnswered(std::size_t Number) const {
    const auto Found = this->AnsweredAt.find(Number);
    return Found != this->AnsweredAt.end() &&
           this->QuerySentAt.at(Number) <= Found->second;
  }

  /// The service looks at its state until there is a change or the time is up.
  void waitForChange(std::size_t Number, Instant SentAt, Instant Until) {
    const Host &Each = this->Hosts[Number];
    if (!Each.IsServed)
      return;
    const Revision Answered = this->StoredRevision;
    if (Each.Known < Answered || Until <= this->Now) {
      this->after(this->draw(1, 150), Number, [this, Number, SentAt, Answered] {
        this->finishQuery(Number, SentAt, Answered);
      });
      return;
    }
    this->Due.emplace(this->Now + Milliseconds(20),
                      [this, Number, SentAt, Until] {
                        this->waitForChange(Number, SentAt, Until);
                      });
  }

  void finishQuery(std::size_t Number, Instant SentAt, Revision Answered) {
    if (SentAt < this->QuerySentAt[Number] || this->isAnswered(Number))
      return;
    this->AnsweredAt[Number] = this->Now;
    this->learn(Number, Answered);
    if (Number == 0) {
      this->applyToRelay(DirectoryConfirmed{SentAt});
    } else {
      this->sendOver(Number, 0, [this, Answered] { this->learn(0, Answered); });
      this->applyToReplica(Number, LedgerServiceContentConfirmed{});
    }
    this->after(this->Hosts[Number].Watch.Delay, Number,
                [this, Number] { this->startQuery(Number); });
  }

  void learn(std::size_t Number, Revision Answered) {
    Host &Each = this->Hosts[Number];
    if (!(Each.Known < Answered))
      return;
    Each.Known = Answered;
    if (Number > 0) {
      this->applyToReplica(Number, LedgerConfigurationObserved{Answered});
      return;
    }
    this->Relay.State.Now = this->Now;
    this->configure(static_cast<std::uint64_t>(Answered.Value) + 2,
                    Answered == Revision(1));
    this->applyToRelay(ConfigurationKeyObserved{Answered});
  }

public:
  /// Whether messages are never late.
  bool IsCalm = false;

private:
  std::mt19937_64 Random;
  RelayFixture Relay;
  std::array<LedgerState, ReplicaCount> Replicas;
  std::multimap<Instant, std::function<void()>> Due;
  std::map<std::size_t, Instant> QuerySentAt;
  std::map<std::size_t, Instant> AnsweredAt;
  std::map<std::pair<std::size_t, std::size_t>, Instant> LastArrival;
  Revision StoredRevision{1};
  std::uint64_t LastRequest = 5000;
};

} // namespace

TEST_CASE("Strict revocation: no removed key is accepted after its time under "
          "random faults") {
  std::size_t ServedBefore = 0;
  std::size_t Schedules = 0;
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    INFO("seed " << Seed);
    RevocationWorld World(Seed);
    const Instant Start = World.Now;
    World.injectFaults(Start + Milliseconds(30000));
    std::size_t TooLate = 0;
    for (int Passed = 0; Passed < 40000; Passed += 50) {
      World.runUntil(Start + Milliseconds(Passed));
      if (Passed == 10000)
        World.removeKey();
      if (World.isFrozen(0) || !World.ask())
        continue;
      ServedBefore += !World.RemovedAt;
      TooLate +=
          World.RemovedAt && *World.RemovedAt + RevocationTime < World.Now;
    }
    ++Schedules;
    REQUIRE(TooLate == 0);
  }
  CHECK(Schedules == 300);
  // The property would also hold for a relay that serves nothing.
  CHECK(Schedules * 40 < ServedBefore);
}

// Nothing changes at the service, so each watch waits for as long as it may.
TEST_CASE("Strict revocation: one healthy source suffices for every request") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    for (std::size_t Source = 0; Source < HostCount; ++Source) {
      INFO("seed " << Seed << ", source " << Source);
      RevocationWorld World(Seed);
      World.IsCalm = true;
      for (std::size_t Number = 0; Number < HostCount; ++Number) {
        World.Hosts[Number].IsServed = Number == Source;
        // The relay reaches only the replica that is served.
        World.Hosts[Number].IsLinked = Number == 0 || Number == Source;
      }
      const Instant Start = World.Now;
      std::size_t Refused = 0;
      for (int Passed = 6000; Passed < 30000; Passed += 25) {
        World.runUntil(Start + Milliseconds(Passed));
        Refused += !World.ask();
      }
      REQUIRE(Refused == 0);
    }
  }
}
