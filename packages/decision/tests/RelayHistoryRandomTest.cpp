/// A relay that collects histories from replicas which know different parts of
/// them and which freeze and refuse at drawn moments: a target gets the chain,
/// each part once.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

const std::vector<std::string> ReplicaNames{"a", "b", "c"};

/// A relay and three replicas, whose messages wait while a replica is frozen.
class HistoryDeployment {
public:
  explicit HistoryDeployment(std::uint64_t Seed) : Random(Seed) {
    this->Relay.makeReady();
    for (const std::string &Name : ReplicaNames) {
      Replica &At = this->Replicas[HolderId(Name)];
      At.State.Self = RelayFixture::member(Name);
      At.State.View = this->Relay.State.View;
      At.State.Now = this->Relay.State.Now;
    }
  }

  /// Stores a turn at two or three replicas.
  void storeTurn(unsigned Number) {
    const std::uint64_t Without = this->draw(5);
    for (std::size_t Each = 0; Each < ReplicaNames.size(); ++Each) {
      if (Each != Without)
        this->storeAt(this->Replicas[HolderId(ReplicaNames[Each])], Number);
    }
  }

  /// Lets a replica miss the last view for some time, so that it refuses.
  void outdateReplica() {
    LedgerView View = this->Relay.State.View;
    View.Version = ViewVersion(View.Version.Value + 1);
    this->Relay.apply(RelayLedgerViewObserved{View});
    for (auto &[Holder, Each] : this->Replicas) {
      if (this->draw(2) == 0)
        reduce(Each.State, LedgerViewObserved{View, Revision(1)});
    }
  }

  void passTime() {
    this->Relay.passTime(Milliseconds(10));
    for (auto &[Holder, Each] : this->Replicas) {
      Each.State.Now = this->Relay.State.Now;
      if (this->draw(25) == 0)
        Each.FrozenUntil =
            this->Relay.State.Now + Milliseconds(10 * this->draw(40));
      if (Each.FrozenUntil < this->Relay.State.Now)
        this->exchangeWith(Holder, Each);
    }
  }

  std::uint64_t draw(std::uint64_t Bound) { return this->Random() % Bound; }

  RelayFixture Relay;

private:
  struct Replica {
    LedgerState State;
    std::map<std::uint64_t, std::string> Texts;
    std::deque<Message> Inbox;
    Instant FrozenUntil;
  };

  void storeAt(Replica &At, unsigned Number) {
    CloseTurn Close;
    Close.View = At.State.View.Version;
    Close.Turn = turnName(Number);
    Close.IsKept = true;
    if (Number > 1)
      Close.Previous = turnName(Number - 1);
    Close.Retention = Milliseconds(60000);
    for (const LedgerEffect &Each :
         reduce(At.State, LedgerMessageReceived{HostId("relay"), Close})) {
      const auto *Persist = std::get_if<PersistLedgerBatch>(&Each);
      if (!Persist)
        continue;
      At.Texts[Number] = std::to_string(Number) + ";";
      reduce(At.State,
             LedgerBatchStored{Persist->Ticket, BatchLocation{1, Number, 1}});
    }
  }

  void exchangeWith(const HolderId &Holder, Replica &At) {
    this->collectSent();
    while (!At.Inbox.empty() && this->draw(3) > 0) {
      const Message Body = std::move(At.Inbox.front());
      At.Inbox.pop_front();
      this->apply(Holder, At, LedgerMessageReceived{HostId("relay"), Body});
    }
  }

  void apply(const HolderId &Holder, Replica &At, const LedgerEvent &Event) {
    for (const LedgerEffect &Each : reduce(At.State, Event))
      this->perform(Holder, At, Each);
  }

  void perform(const HolderId &Holder, Replica &At,
               const LedgerEffect &Effect) {
    if (const auto *Persist = std::get_if<PersistLedgerBatch>(&Effect))
      this->apply(Holder, At,
                  LedgerBatchStored{Persist->Ticket, BatchLocation{2, 0, 1}});
    const auto *Sent = std::get_if<SendHost>(&Effect);
    if (Sent && Sent->Host == HostId("relay"))
      this->Relay.apply(ReplicaMessageReceived{Holder, Sent->Body});
    const auto *History = std::get_if<SendHistory>(&Effect);
    if (!History)
      return;
    TurnOpened Reply = History->Reply;
    Reply.History.emplace();
    for (const auto &[Turn, Place] : History->Turns)
      *Reply.History += At.Texts.at(Place.Offset);
    this->Relay.apply(ReplicaMessageReceived{Holder, Reply});
  }

  void collectSent() {
    for (const SendToReplica &Each : this->Relay.all<SendToReplica>())
      this->Replicas[Each.Holder].Inbox.push_back(Each.Body);
    for (const SendAttempt &Each : this->Relay.all<SendAttempt>())
      this->Sent.push_back(Each);
    this->Relay.Effects.clear();
  }

  std::mt19937_64 Random;
  std::map<HolderId, Replica> Replicas;

public:
  static TurnId turnName(unsigned Number) {
    return TurnId("turn-" + std::to_string(Number));
  }
  std::vector<SendAttempt> Sent;
};

} // namespace

TEST_CASE("Relay: no part of a history is missing or repeated under drawn "
          "delays and refusals of replicas") {
  std::size_t Sent = 0;
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    CAPTURE(Seed);
    HistoryDeployment Deployment(Seed);
    const auto Length = static_cast<unsigned>(1 + Deployment.draw(5));
    std::string Whole;
    for (unsigned Number = 1; Number <= Length; ++Number) {
      Deployment.storeTurn(Number);
      Whole += std::to_string(Number) + ";";
    }
    const bool IsOutdated = Deployment.draw(3) == 0;
    Deployment.Relay.askTurn(Deployment.draw(2) == 0 ? 100 : 100000, 50, "next",
                             HistoryDeployment::turnName(Length));
    for (unsigned Step = 0; Step < 80; ++Step) {
      if (IsOutdated && Step == 5)
        Deployment.outdateReplica();
      Deployment.passTime();
    }
    for (const SendAttempt &Each : Deployment.Sent)
      CHECK(Each.History == Whole);
    Sent += Deployment.Sent.size();
  }
  // The rest is refused, as too few replicas answer in time.
  CHECK(Sent > 200);
}
