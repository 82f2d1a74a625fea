/// Tests of the number of copies of a turn's text when only some replicas are
/// sent it.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

constexpr std::uint32_t ToleratedFailures = 2;
constexpr int HostCount = 9;
constexpr int Schedules = 200;
constexpr int Steps = 60;

/// A simulation of replicas with f = 2 and a key-value service. Writes and
/// messages complete immediately, but pages of pulls are delivered in random
/// order and may be lost; a pull is then retried.
class ReplicaSimulation {
public:
  explicit ReplicaSimulation(std::uint32_t Seed) : Random(Seed) {
    for (int Number = 0; Number < HostCount; ++Number)
      this->start(HostId("h" + std::to_string(Number)));
    this->pass(Milliseconds(4000));
  }

  int draw(int Limit) {
    return std::uniform_int_distribution<int>(0, Limit - 1)(this->Random);
  }

  void pass(Milliseconds Time) {
    for (Milliseconds Done{0}; Done < Time; Done += Milliseconds(100)) {
      this->Now = this->Now + Milliseconds(100);
      for (auto &[Host, Each] : this->Nodes)
        this->apply(Host, LedgerTick{this->Now});
      this->deliverPages();
    }
  }

  /// Closes a turn as a relay does: the text at a write quorum of each set of
  /// the view, stubs at some of the others, in random order.
  void closeTurn() {
    const TurnId Turn("t" + std::to_string(this->Turns++));
    std::vector<LedgerMember> Members = this->View.allMembers();
    std::shuffle(Members.begin(), Members.end(), this->Random);
    std::set<HolderId> WithText;
    for (const LedgerMember &Each : Members) {
      const bool IsStub =
          this->View.hasWriteQuorum(WithText) || this->draw(4) == 0;
      if (IsStub && this->draw(4) == 0)
        continue;
      if (this->store(Each, Turn, IsStub) && !IsStub)
        WithText.insert(Each.Holder);
    }
    // Members that were sent a stub are sent the text if others fail.
    for (const LedgerMember &Each : Members) {
      if (!this->View.hasWriteQuorum(WithText) &&
          this->store(Each, Turn, false))
        WithText.insert(Each.Holder);
    }
    if (this->View.hasWriteQuorum(WithText))
      this->Acknowledged.insert(Turn);
  }

  /// Loses a replica with its disk; its host returns empty. At most f members
  /// of a view that has not been replaced yet are lost.
  void lose() {
    const HostId Host("h" + std::to_string(this->draw(HostCount)));
    const HolderId Holder = this->Nodes.at(Host).State.Self.Holder;
    const auto LostOf = [this](const std::vector<LedgerMember> &Set) {
      return std::count_if(Set.begin(), Set.end(), [this](const auto &Each) {
        return this->Lost.count(Each.Holder) > 0;
      });
    };
    this->Lost.insert(Holder);
    if (LostOf(this->View.Current) > ToleratedFailures ||
        LostOf(this->View.Next) > ToleratedFailures) {
      this->Lost.erase(Holder);
      return;
    }
    this->start(Host);
  }

  void toggleRetirement() {
    const HostId Host("h" + std::to_string(this->draw(HostCount)));
    const bool IsRequested = this->draw(2) == 0;
    for (auto &[Id, Each] : this->Nodes)
      this->apply(Id, RetirementRequested{Host, IsRequested});
  }

  /// Returns the least number of surviving texts of an acknowledged turn, less
  /// those that may still be lost.
  int fewestCopies() const {
    int Fewest = HostCount;
    for (const TurnId &Turn : this->Acknowledged) {
      int Copies = 0;
      for (const LedgerMember &Each : this->View.Current) {
        const auto Found = this->Nodes.find(Each.Host);
        if (!(Found->second.State.Self.Holder == Each.Holder))
          continue;
        const auto Entry = Found->second.State.Turns.find(Turn);
        Copies += Entry != Found->second.State.Turns.end() &&
                  Entry->second.HasText && this->isStored(Found->second, Turn);
      }
      Fewest = std::min(Fewest, Copies);
    }
    return Fewest;
  }

  int lostMembers() const {
    return static_cast<int>(
        std::count_if(this->View.Current.begin(), this->View.Current.end(),
                      [this](const auto &Each) {
                        return this->Lost.count(Each.Holder) > 0;
                      }));
  }

  std::size_t acknowledged() const { return this->Acknowledged.size(); }
  std::uint64_t views() const { return this->View.Version.Value; }

private:
  struct Node {
    LedgerState State;
    std::map<std::uint64_t, LedgerBatch> Disk;
    std::uint64_t NextPlace = 1;
  };

  static bool isStored(const Node &At, const TurnId &Turn) {
    const TurnIndexEntry &Entry = At.State.Turns.at(Turn);
    const BatchLocation Place = At.State.StoredBatches.at(Entry.Batch).Place;
    for (const LedgerRecord &Each : At.Disk.at(Place.Offset).Records) {
      const auto *Kept = std::get_if<TurnRecord>(&Each);
      if (Kept && Kept->Turn == Turn)
        return Kept->Input == "in-" + Turn.Value;
    }
    return false;
  }

  void start(const HostId &Host) {
    Node &Fresh = this->Nodes[Host] = Node();
    Fresh.State.ToleratedFailures = ToleratedFailures;
    Fresh.State.Now = this->Now;
    Fresh.State.Self = LedgerMember{
        HolderId(Host.Value + "-" + std::to_string(this->Started++)), Host,
        "10.0.0.1", 90, ZoneId("zone-" + std::to_string(Host.Value[1] % 3))};
    for (auto &[Id, Each] : this->Nodes) {
      this->apply(Id, ReplicaRegistered{Fresh.State.Self});
      this->apply(Host, ReplicaRegistered{Each.State.Self});
    }
    for (const auto &[Name, Version] : this->Synced)
      this->apply(Host, ReplicaSynced{Name, Version});
    if (this->ViewAt.Value > 0)
      this->apply(Host, LedgerViewObserved{this->View, this->ViewAt});
    this->apply(Host, LedgerServiceSnapshotRead{});
  }

  bool store(const LedgerMember &At, const TurnId &Turn, bool IsStub) {
    if (!(this->Nodes.at(At.Host).State.Self.Holder == At.Holder))
      return false;
    CloseTurn Close;
    Close.View = this->View.Version;
    Close.Program = ProgramId("p");
    Close.Turn = Turn;
    Close.Used = TokenCount{1};
    Close.IsKept = true;
    Close.Retention = Milliseconds(3600000);
    if (IsStub)
      Close.Stub = TurnTextStub{Fingerprint(1), {}};
    else
      Close.Input = "in-" + Turn.Value;
    this->IsStoredReply = false;
    this->apply(At.Host, LedgerMessageReceived{HostId("relay"), Close});
    return this->IsStoredReply;
  }

  void apply(const HostId &Host, const LedgerEvent &Event) {
    Node &At = this->Nodes.at(Host);
    for (const LedgerEffect &Each : reduce(At.State, Event))
      this->perform(Host, At, Each);
  }

  void perform(const HostId &Host, Node &At, const LedgerEffect &Effect) {
    if (const auto *Persist = std::get_if<PersistLedgerBatch>(&Effect)) {
      const std::uint64_t Place = At.NextPlace++;
      At.Disk[Place] = Persist->Batch;
      this->apply(Host, LedgerBatchStored{Persist->Ticket,
                                          BatchLocation{1, Place, 20000}});
    } else if (const auto *Send = std::get_if<SendHost>(&Effect)) {
      if (Send->Host == HostId("relay"))
        this->IsStoredReply = std::holds_alternative<TurnClosed>(Send->Body);
      else if (this->Nodes.count(Send->Host) > 0 && !(Send->Host == Host))
        this->apply(Send->Host, LedgerMessageReceived{Host, Send->Body});
    } else if (const auto *Page = std::get_if<SendRecords>(&Effect)) {
      RecordsPage Body = Page->Header;
      for (const BatchLocation &Each : Page->Batches)
        Body.Batches.push_back(At.Disk.at(Each.Offset));
      this->Pages.push_back({Host, Page->Peer, Body});
    } else if (const auto *Write = std::get_if<WriteLedgerView>(&Effect)) {
      if (!(Write->Expected == this->ViewAt))
        return;
      this->View = Write->View;
      this->ViewAt = Revision(this->ViewAt.Value + 1);
      for (auto &[Id, Each] : this->Nodes)
        this->apply(Id, LedgerViewObserved{this->View, this->ViewAt});
    } else if (const auto *Done = std::get_if<WriteSynced>(&Effect)) {
      const HolderId Holder = At.State.Self.Holder;
      this->Synced[Holder] = Done->View;
      for (auto &[Id, Each] : this->Nodes)
        this->apply(Id, ReplicaSynced{Holder, Done->View});
    }
  }

  void deliverPages() {
    std::vector<SentPage> Due;
    Due.swap(this->Pages);
    std::shuffle(Due.begin(), Due.end(), this->Random);
    for (const SentPage &Each : Due) {
      if (this->draw(4) > 0)
        this->apply(Each.To, LedgerMessageReceived{Each.From, Each.Page});
    }
  }

  struct SentPage {
    HostId From;
    HostId To;
    RecordsPage Page;
  };

  std::mt19937 Random;
  std::map<HostId, Node> Nodes;
  std::vector<SentPage> Pages;
  LedgerView View;
  Revision ViewAt;
  std::map<HolderId, ViewVersion> Synced;
  std::set<HolderId> Lost;
  std::set<TurnId> Acknowledged;
  bool IsStoredReply = false;
  int Turns = 0;
  int Started = 0;
  Instant Now;
};

} // namespace

// Guards against a view change that leaves fewer than f+1 texts of a turn: a
// new member that keeps a stub although another member has the text, or that
// completes its pull without the text.
TEST_CASE("Turn text: f+1 copies of acknowledged texts survive view changes") {
  std::size_t Acknowledged = 0;
  std::uint64_t Views = 0;
  for (std::uint32_t Seed = 1; Seed <= Schedules; ++Seed) {
    ReplicaSimulation Replicas(Seed);
    for (int Step = 0; Step < Steps; ++Step) {
      const int Choice = Replicas.draw(8);
      if (Choice < 4)
        Replicas.closeTurn();
      else if (Choice == 4)
        Replicas.lose();
      else if (Choice == 5)
        Replicas.toggleRetirement();
      else
        Replicas.pass(Milliseconds(100 * (1 + Replicas.draw(10))));
      INFO("seed " << Seed << " step " << Step);
      // Members that have been lost and not been replaced yet have taken at
      // most one copy each.
      REQUIRE(Replicas.fewestCopies() + Replicas.lostMembers() >=
              static_cast<int>(ToleratedFailures) + 1);
    }
    Acknowledged += Replicas.acknowledged();
    Views += Replicas.views();
  }
  // Otherwise the schedules test nothing.
  CHECK(Acknowledged > 10 * Schedules);
  CHECK(Views > 4 * Schedules);
}

TEST_CASE("Turn text: the text goes to the nearest members, and to a further "
          "one for each that does not confirm") {
  RelayFixture Fixture;
  Fixture.makeReady();
  Fixture.State.Options.TextCopies = TurnTextCopies::Nearest;
  const RequestId Call = Fixture.askTurn(1000, 20);
  Fixture.answerOpen("a");
  Fixture.answerOpen("b");
  const auto Attempts = Fixture.all<SendAttempt>();
  REQUIRE(Attempts.size() == 1);
  Fixture.apply(
      AttemptHeadReceived{Attempts[0].Attempt, RelayFixture::head(200, true)});
  Fixture.apply(
      AttemptBytesReceived{Attempts[0].Attempt, "id: 1\ndata: x\n\n"});
  Fixture.Effects.clear();
  Fixture.apply(
      AttemptEnded{Attempts[0].Attempt, AttemptEnded::Kind::Complete});
  const auto HoldersOf = [&Fixture](bool IsStub) {
    std::set<HolderId> Holders;
    for (const SendToReplica &Each : Fixture.all<SendToReplica>()) {
      const auto *Close = std::get_if<CloseTurn>(&Each.Body);
      if (Close && Close->Stub.has_value() == IsStub)
        Holders.insert(Each.Holder);
    }
    return Holders;
  };
  const std::set<HolderId> WithText = HoldersOf(false);
  const std::set<HolderId> WithStub = HoldersOf(true);
  REQUIRE(WithText.size() == 2);
  CHECK(WithText.count(HolderId("a")) == 1);
  REQUIRE(WithStub.size() == 1);
  const auto Closes = Fixture.all<SendToReplica>();
  const auto Confirm = [&](const HolderId &Holder, bool IsStub) {
    for (const SendToReplica &Each : Closes) {
      const auto *Close = std::get_if<CloseTurn>(&Each.Body);
      if (Close && Close->Stub.has_value() == IsStub) {
        Fixture.apply(ReplicaMessageReceived{
            Holder, TurnClosed{Close->Operation, Holder}});
        return;
      }
    }
  };
  // A stub is no copy: with one text and one stub the turn is not complete.
  Confirm(HolderId("a"), false);
  Confirm(*WithStub.begin(), true);
  CHECK(Fixture.State.Calls.count(Call) == 1);
  Fixture.Effects.clear();
  Fixture.passTime(Milliseconds(59));
  CHECK(HoldersOf(false).empty());
  Fixture.passTime(Milliseconds(1));
  CHECK(HoldersOf(false) == WithStub);
  Confirm(*WithStub.begin(), false);
  CHECK(Fixture.State.Calls.count(Call) == 0);
}
