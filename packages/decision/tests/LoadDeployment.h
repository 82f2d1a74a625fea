/// \file
/// Test fixture: relays that share what they know of targets by way of
/// replicas, in front of a simulated service.
#ifndef TANAGERLANDING_DECISION_TESTS_LOADDEPLOYMENT_H
#define TANAGERLANDING_DECISION_TESTS_LOADDEPLOYMENT_H

#include "RelayFixture.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace tanagerlanding::test {

/// Relays and replicas whose messages take 2 ms, and a service whose targets
/// run as many requests at a time as they have slots.
class LoadDeployment {
public:
  struct Target {
    /// How long work takes, as a multiple of its amount: in general and now.
    double Slowness = 1;
    double Slowdown = 1;
    bool StatesSlowdown = true;
    std::uint32_t Slots = 6;
    std::uint32_t Running = 0;
    std::deque<std::function<void()>> Waiting;
    int Received = 0;
  };
  struct Relay {
    std::unique_ptr<RelayFixture> Process;
    bool IsFrozen = false;
  };

  LoadDeployment(unsigned Seed, std::size_t RelayCount, int TargetCount)
      : Random(Seed), Relays(RelayCount) {
    for (const char *Holder : {"a", "b", "c"})
      this->Replicas[Holder].Self = RelayFixture::member(Holder);
    for (int Number = 0; Number < TargetCount; ++Number)
      this->Targets[nameOf(Number)];
    for (std::size_t Number = 0; Number < RelayCount; ++Number)
      this->startRelay(Number);
    this->every(Milliseconds(25), [this] { this->tickRelays(); });
    this->every(Milliseconds(100), [this] { this->tickReplicas(); });
    this->every(Milliseconds(400), [this] { this->sendHeartbeats(); });
  }

  static std::string nameOf(int Number) {
    return "t" + std::to_string(100 + Number);
  }

  void runUntil(Instant End) {
    while (!this->Pending.empty() && this->Pending.begin()->first < End) {
      const auto Next = this->Pending.begin();
      this->Now = Next->first;
      const auto Action = std::move(Next->second);
      this->Pending.erase(Next);
      Action();
    }
    this->Now = End;
  }
  void runFor(Milliseconds Time) { this->runUntil(this->Now + Time); }

  void after(Milliseconds Delay, std::function<void()> Action) {
    this->Pending.emplace(this->Now + Delay, std::move(Action));
  }
  void every(Milliseconds Interval, const std::function<void()> &Action) {
    this->after(Interval, [this, Interval, Action] {
      Action();
      this->every(Interval, Action);
    });
  }

  /// Sends a request that takes Work at a target of usual speed, through a
  /// relay or, if Chosen is given, straight to a target.
  void ask(std::size_t Number, Milliseconds Work,
           const std::string &Chosen = "") {
    const std::string Id = "r" + std::to_string(++this->LastRequest);
    this->Asked[Id] = Call{Work, this->Now};
    if (!Chosen.empty()) {
      this->arrive(Chosen, Id, [this, Id] { this->finish(Id); });
      return;
    }
    this->Relays[Number].Process->State.Now = this->Now;
    this->Relays[Number].Process->ask("/once/" + Id, Id);
    this->perform(Number);
  }

  std::optional<Milliseconds> viewAge(std::size_t Number) const {
    const auto &At = this->Relays[Number].Process->State.Loads.ViewReceivedAt;
    if (!At)
      return std::nullopt;
    return this->Now - *At;
  }

  std::mt19937 Random;
  Instant Now;
  std::vector<Relay> Relays;
  std::map<std::string, LedgerState> Replicas;
  std::map<std::string, Target> Targets;
  /// Links that are cut, of a relay and a replica, and lost replicas.
  std::set<std::pair<std::size_t, std::string>> CutLinks;
  std::set<std::string> LostReplicas;
  /// How long each finished request took, and the number of those refused.
  std::vector<double> Latencies;
  std::map<std::string, int> Refused;
  /// Messages about loads that relays sent and received.
  int ReportCount = 0;
  int ViewCount = 0;

private:
  struct Call {
    Milliseconds Work{0};
    Instant AskedAt;
  };

  void startRelay(std::size_t Number) {
    Relay &Started = this->Relays[Number];
    Started.Process = std::make_unique<RelayFixture>();
    RelayState &State = Started.Process->State;
    State.Options.IsLoadShared = true;
    State.Self = HostId("relay-" + std::to_string(Number));
    State.Random.seed(this->Random());
    Started.Process->apply(DirectoryRegained{});
    Started.Process->configure();
    // Requests wait at targets for longer than the route's second.
    for (RelayRoute &Each : State.Configuration->Routes)
      Each.Timeout = Milliseconds(20000);
    for (const auto &[Name, Each] : this->Targets)
      Started.Process->addTarget(Name);
    Started.Process->connectLedger();
    this->perform(Number);
  }

  void tickRelays() {
    for (std::size_t Number = 0; Number < this->Relays.size(); ++Number) {
      if (this->Relays[Number].IsFrozen)
        continue;
      this->Relays[Number].Process->apply(RelayTick{this->Now});
      this->perform(Number);
    }
  }

  void tickReplicas() {
    for (auto &[Holder, State] : this->Replicas) {
      if (this->LostReplicas.count(Holder) == 0)
        this->applyAt(Holder, LedgerTick{this->Now});
    }
  }

  void sendHeartbeats() {
    for (const auto &[Holder, State] : this->Replicas) {
      if (this->LostReplicas.count(Holder) > 0)
        continue;
      for (std::size_t Number = 0; Number < this->Relays.size(); ++Number)
        this->sendToRelay(Number, Holder, Heartbeat{});
    }
  }

  bool isCut(std::size_t Number, const std::string &Holder) const {
    return this->LostReplicas.count(Holder) > 0 ||
           this->CutLinks.count({Number, Holder}) > 0;
  }

  void sendToRelay(std::size_t Number, const std::string &Holder,
                   const Message &Body) {
    this->applyAtRelay(
        Number, Milliseconds(2),
        [this, Number, Holder, Body](RelayFixture &Process) {
          if (this->isCut(Number, Holder))
            return;
          this->ViewCount += std::get_if<TargetLoadView>(&Body) ? 1 : 0;
          Process.apply(ReplicaMessageReceived{HolderId(Holder), Body});
        });
  }

  /// Applies something at a relay after a delay; at a frozen one when it wakes.
  void applyAtRelay(std::size_t Number, Milliseconds Delay,
                    const std::function<void(RelayFixture &)> &Action) {
    this->after(Delay, [this, Number, Action] {
      Relay &Each = this->Relays[Number];
      if (Each.IsFrozen) {
        this->applyAtRelay(Number, Milliseconds(50), Action);
        return;
      }
      Each.Process->State.Now = std::max(Each.Process->State.Now, this->Now);
      Action(*Each.Process);
      this->perform(Number);
    });
  }

  void applyAt(const std::string &Holder, const LedgerEvent &Event) {
    LedgerState &State = this->Replicas[Holder];
    State.Now = this->Now;
    for (const LedgerEffect &Each : reduce(State, Event)) {
      if (const auto *Sent = std::get_if<SendHost>(&Each))
        this->sendToRelay(
            static_cast<std::size_t>(std::stoi(Sent->Host.Value.substr(6))),
            Holder, Sent->Body);
    }
  }

  void perform(std::size_t Number) {
    std::vector<RelayEffect> Effects;
    Effects.swap(this->Relays[Number].Process->Effects);
    for (const RelayEffect &Each : Effects) {
      if (const auto *Sent = std::get_if<SendAttempt>(&Each))
        this->sendAttempt(Number, *Sent);
      else if (const auto *Told = std::get_if<SendToReplica>(&Each))
        this->sendToReplica(Number, *Told);
      else if (const auto *Refusal = std::get_if<RefuseCaller>(&Each))
        ++this->Refused[toString(Refusal->Refusal.Reason)];
    }
  }

  void sendToReplica(std::size_t Number, const SendToReplica &Sent) {
    if (this->isCut(Number, Sent.Holder.Value))
      return;
    this->ReportCount += std::get_if<TargetLoadReport>(&Sent.Body) ? 1 : 0;
    this->after(Milliseconds(2), [this, Number, Sent] {
      this->applyAt(Sent.Holder.Value,
                    LedgerMessageReceived{
                        HostId("relay-" + std::to_string(Number)), Sent.Body});
    });
  }

  void sendAttempt(std::size_t Number, const SendAttempt &Sent) {
    const std::string Id = this->Relays[Number]
                               .Process->State.Calls.at(Sent.Request)
                               .InboundRequest.Id.Value;
    const std::string Name = Sent.Target.Id.Value;
    this->arrive(Name, Id, [this, Number, Name, Id, Attempt = Sent.Attempt] {
      this->finish(Id);
      const Target &At = this->Targets[Name];
      TargetAnswerHead Head = RelayFixture::head(200);
      TargetLoad Load{At.Running, static_cast<std::uint32_t>(At.Waiting.size()),
                      At.Slots, std::nullopt};
      if (At.StatesSlowdown)
        Load.Slowdown = At.Slowdown;
      Head.Load = Load;
      this->applyAtRelay(
          Number, Milliseconds(1), [Attempt, Head](RelayFixture &Process) {
            Process.apply(AttemptHeadReceived{Attempt, Head});
            Process.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Complete});
          });
    });
  }

  void arrive(const std::string &Name, const std::string &Id,
              const std::function<void()> &Answer) {
    Target &At = this->Targets[Name];
    ++At.Received;
    At.Waiting.emplace_back([this, Name, Id, Answer] {
      Target &Running = this->Targets[Name];
      const double Time = static_cast<double>(this->Asked.at(Id).Work.count()) *
                          Running.Slowness * Running.Slowdown;
      this->after(Milliseconds(static_cast<std::int64_t>(Time)),
                  [this, Name, Answer] {
                    Answer();
                    --this->Targets[Name].Running;
                    this->startWaiting(Name);
                  });
    });
    this->startWaiting(Name);
  }

  void startWaiting(const std::string &Name) {
    Target &At = this->Targets[Name];
    while (At.Running < At.Slots && !At.Waiting.empty()) {
      const auto Start = std::move(At.Waiting.front());
      At.Waiting.pop_front();
      ++At.Running;
      Start();
    }
  }

  void finish(const std::string &Id) {
    this->Latencies.push_back(
        static_cast<double>((this->Now - this->Asked.at(Id).AskedAt).count()));
  }

  std::multimap<Instant, std::function<void()>> Pending;
  std::map<std::string, Call> Asked;
  std::uint64_t LastRequest = 0;
};

} // namespace tanagerlanding::test

#endif
