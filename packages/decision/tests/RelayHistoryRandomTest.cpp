/// A relay that collects histories from replicas which know different parts of
/// them and which freeze, refuse and are lost at drawn moments: a target gets
/// the chain, each part once, and the memory for it stays within its limit.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

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

  /// Makes all histories that are longer than MaxBytes long, and limits the
  /// parts of all transfers together.
  void limitHistories(std::uint64_t MaxBytes, std::size_t AllParts) {
    this->Relay.State.Options.MaxHeldHistoryBytes = MaxBytes;
    this->Relay.State.Options.HistoryPartBytes = PartBytes;
    this->Relay.State.HeldHistories = ByteBudget(AllHeldBytes);
    this->Relay.State.HistoryParts = ByteBudget(AllParts);
  }

  /// Lets a replica lose its connection, or get it back.
  void changeConnections() {
    for (auto &[Holder, Each] : this->Replicas) {
      if (this->draw(Each.IsConnected ? 60 : 10) != 0)
        continue;
      if (Each.IsConnected)
        this->Relay.apply(ReplicaDisconnected{Holder});
      else
        this->Relay.apply(ReplicaConnected{Holder});
      Each.IsConnected = !Each.IsConnected;
      Each.Inbox.clear();
    }
  }

  /// Lets targets take parts of histories.
  void takeParts() {
    this->collectSent();
    const std::vector<SendAttemptPart> Parts = std::move(this->UntakenParts);
    this->UntakenParts.clear();
    std::set<RelayAttemptId> Slow;
    for (const SendAttemptPart &Each : Parts) {
      if (Slow.count(Each.Attempt) > 0 || this->draw(3) == 0) {
        Slow.insert(Each.Attempt);
        this->UntakenParts.push_back(Each);
        continue;
      }
      this->Received[Each.Attempt] += Each.Bytes;
      this->Relay.apply(AttemptPartWritten{Each.Attempt, Each.Bytes.size()});
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
    bool IsConnected = true;
  };

  void storeAt(Replica &At, unsigned Number) {
    CloseTurn Close;
    Close.View = At.State.View.Version;
    Close.Turn = turnName(Number);
    Close.IsKept = true;
    Close.Input = textOf(Number);
    if (Number > 1)
      Close.Previous = turnName(Number - 1);
    Close.Retention = Milliseconds(60000);
    for (const LedgerEffect &Each :
         reduce(At.State, LedgerMessageReceived{HostId("relay"), Close})) {
      const auto *Persist = std::get_if<PersistLedgerBatch>(&Each);
      if (!Persist)
        continue;
      At.Texts[Number] = textOf(Number);
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
    if (const auto *Asked = std::get_if<SendHistoryPart>(&Effect)) {
      HistoryPart Part = Asked->Header;
      Part.Data.emplace();
      for (const TurnPiece &Each : Asked->Pieces)
        *Part.Data +=
            At.Texts.at(Each.Place.Offset).substr(Each.Offset, Each.Bytes);
      this->Relay.apply(ReplicaMessageReceived{Holder, Part});
    }
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
    for (const SendAttemptPart &Each : this->Relay.all<SendAttemptPart>())
      this->UntakenParts.push_back(Each);
    for (const RefuseCaller &Each : this->Relay.all<RefuseCaller>())
      this->Refused[Each.Request] = Each.Refusal;
    this->Relay.Effects.clear();
  }

  std::mt19937_64 Random;
  std::map<HolderId, Replica> Replicas;
  std::vector<SendAttemptPart> UntakenParts;

public:
  static constexpr std::uint32_t PartBytes = 5;
  static constexpr std::size_t AllHeldBytes = 200;

  static std::string textOf(unsigned Number) {
    return std::string(Number * Number % 17, 'x') + std::to_string(Number) +
           ";";
  }
  static TurnId turnName(unsigned Number) {
    return TurnId("turn-" + std::to_string(Number));
  }
  std::vector<SendAttempt> Sent;
  /// What the targets of attempts have received of long histories.
  std::map<RelayAttemptId, std::string> Received;
  std::map<RequestId, RelayRefusal> Refused;
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
      Whole += HistoryDeployment::textOf(Number);
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

TEST_CASE("Relay: a history that is longer than a relay may hold reaches its "
          "target in parts, each once") {
  std::size_t Whole = 0;
  std::size_t Long = 0;
  for (std::uint64_t Seed = 1; Seed <= 400; ++Seed) {
    CAPTURE(Seed);
    HistoryDeployment Deployment(Seed);
    const std::size_t AllParts = 5 + Deployment.draw(30);
    Deployment.limitHistories(Deployment.draw(30), AllParts);
    const auto Length = static_cast<unsigned>(1 + Deployment.draw(8));
    std::string History;
    for (unsigned Number = 1; Number <= Length; ++Number) {
      Deployment.storeTurn(Number);
      History += HistoryDeployment::textOf(Number);
    }
    for (unsigned Number = 0; Number < 4; ++Number)
      Deployment.Relay.askTurn(100000, 50, "next-" + std::to_string(Number),
                               HistoryDeployment::turnName(Length));
    const RelayState &State = Deployment.Relay.State;
    for (unsigned Step = 0; Step < 300; ++Step) {
      if (Step < 100)
        Deployment.changeConnections();
      if (Step == 5 && Deployment.draw(3) == 0)
        Deployment.outdateReplica();
      Deployment.passTime();
      Deployment.takeParts();
      CHECK(State.HistoryParts.used() <=
            std::max<std::size_t>(AllParts, HistoryDeployment::PartBytes));
      CHECK(State.HeldHistories.used() <= HistoryDeployment::AllHeldBytes);
    }
    for (const SendAttempt &Each : Deployment.Sent) {
      if (Each.LongHistoryBytes == 0) {
        CHECK(Each.History == History);
        continue;
      }
      ++Long;
      CHECK(Each.LongHistoryBytes == History.size());
      const std::string &Text = Deployment.Received[Each.Attempt];
      CHECK(History.substr(0, Text.size()) == Text);
      if (Text == History) {
        ++Whole;
        continue;
      }
      // No replica could send the rest in time. The target may have begun.
      REQUIRE(Deployment.Refused.count(Each.Request) > 0);
      CHECK(Deployment.Refused[Each.Request].ExecutionStatus ==
            Execution::Unknown);
    }
    CHECK(State.HistoryTransfers.empty());
    CHECK(State.PendingParts.empty());
    CHECK(State.HistoryParts.used() == 0);
    std::vector<RelayAttemptId> Running;
    for (const auto &[Attempt, Request] : State.Attempts)
      Running.push_back(Attempt);
    for (const RelayAttemptId Attempt : Running)
      Deployment.Relay.apply(AttemptEnded{Attempt, AttemptEnded::Kind::Broken});
    CHECK(State.HeldHistories.used() == 0);
  }
  // The rest is refused, as too few replicas answer in time.
  CHECK(Long > 400);
  CHECK(Whole > Long / 2);
}

TEST_CASE("Relay: a transfer of a history does not make its target count as "
          "silent") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.askTurn(100000, 50, "next", TurnId("turn-1"));
  const OpenTurn Open = Fixture.sentToReplicas<OpenTurn>().back();
  CHECK(Open.MaxHistoryBytes > 0);
  TurnOpened Reply;
  Reply.Operation = Open.Operation;
  Reply.HistoryEnd = Open.Previous;
  Reply.HasPrevious = true;
  Reply.LongHistoryBytes = 200000;
  for (const char *Name : {"a", "b"}) {
    Reply.Holder = HolderId(Name);
    Fixture.apply(ReplicaMessageReceived{Reply.Holder, Reply});
  }
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  CHECK(Fixture.all<SendAttempt>()[0].LongHistoryBytes == 200000);
  const HistoryQuery Query = Fixture.sentToReplicas<HistoryQuery>().back();
  CHECK(Query.End == TurnId("turn-1"));
  CHECK(Query.Offset == 0);
  const RelayAttemptId Attempt = Fixture.all<SendAttempt>()[0].Attempt;
  const RelayCall &Call = Fixture.State.Calls.begin()->second;
  // The target reads slowly: no part is taken for longer than a target may be
  // silent.
  Fixture.apply(ReplicaMessageReceived{
      HolderId("a"), HistoryPart{Query.Operation, HolderId("a"),
                                 std::string(Query.Bytes, 'h')}});
  for (unsigned Step = 0; Step < 30; ++Step) {
    Fixture.passTime(Milliseconds(20));
    for (const char *Name : {"a", "b", "c"})
      Fixture.apply(ReplicaMessageReceived{HolderId(Name), Heartbeat{}});
  }
  CHECK_FALSE(Call.IsFirstByteTimeoutRecorded);
  CHECK(Fixture.State.Attempts.count(Attempt) == 1);
}
