/// Tests of the records that ledger replicas store, and of changes of their
/// membership.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace tanagerlanding;

namespace {

LedgerMember memberOn(const std::string &Host, const std::string &Holder) {
  return LedgerMember{HolderId(Holder), HostId(Host), "10.0.0.1", 90,
                      ZoneId("zone-" + Host)};
}

/// A simulation of replicas and a key-value service in which disk writes and
/// messages complete immediately.
class LedgerFixture {
public:
  struct Node {
    std::string Holder;
    LedgerState State;
    std::map<std::uint64_t, LedgerBatch> Disk;
    LedgerView StoredView;
    std::uint64_t NextPlace = 1;
    bool IsUp = true;
    bool HasDisk = true;
  };

  void start(const std::string &Host, const std::string &Holder,
             bool HasDisk = true) {
    Node &Fresh = this->Nodes[HostId(Host)];
    Fresh = Node();
    Fresh.Holder = Holder;
    Fresh.HasDisk = HasDisk;
    Fresh.State.Self = memberOn(Host, Holder);
    Fresh.State.Now = this->Now;
    this->joinService(Host);
  }

  /// Starts the process of a host again on the disk of the one before, whose
  /// registration has not expired yet.
  void restart(const std::string &Host) {
    Node &At = this->Nodes.at(HostId(Host));
    At.State = LedgerState();
    At.State.Self = memberOn(Host, At.Holder);
    At.State.Now = this->Now;
    At.State.View = At.StoredView;
    At.IsUp = true;
    for (const auto &[Place, Batch] : At.Disk)
      this->apply(HostId(Host),
                  LedgerBatchRecovered{BatchLocation{1, Place, 10}, Batch});
    this->joinService(Host);
  }

  /// Registers a started replica, and tells it what the service knows.
  void joinService(const std::string &Host) {
    this->registerNode(HostId(Host));
    for (auto &[Id, Each] : this->Nodes) {
      if (Each.IsUp)
        this->apply(HostId(Host), ReplicaRegistered{Each.State.Self});
    }
    for (const auto &[Name, Version] : this->Synced)
      this->apply(HostId(Host), ReplicaSynced{Name, Version});
    if (this->ViewAt.Value > 0)
      this->apply(HostId(Host), LedgerViewObserved{this->View, this->ViewAt});
    this->apply(HostId(Host), LedgerServiceSnapshotRead{});
  }

  void registerNode(const HostId &Host) {
    for (auto &[Id, Each] : this->Nodes)
      this->apply(Id, ReplicaRegistered{this->Nodes.at(Host).State.Self});
  }

  void stop(const std::string &Host) {
    this->Nodes.at(HostId(Host)).IsUp = false;
    for (auto &[Id, Each] : this->Nodes)
      this->apply(Id, ReplicaUnregistered{HostId(Host)});
  }

  void advanceTime(Milliseconds Time) {
    for (Milliseconds Done{0}; Done < Time; Done += Milliseconds(100)) {
      this->Now = this->Now + Milliseconds(100);
      for (auto &[Host, Each] : this->Nodes)
        this->apply(Host, LedgerTick{this->Now});
    }
  }

  void apply(const HostId &Host, const LedgerEvent &Event) {
    Node &At = this->Nodes.at(Host);
    if (!At.IsUp)
      return;
    for (const LedgerEffect &Each : reduce(At.State, Event))
      this->perform(Host, Each);
  }

  void receive(const std::string &Host, const Message &Body) {
    this->apply(HostId(Host), LedgerMessageReceived{HostId("relay"), Body});
  }

  void storeTurn(const std::string &Host, const std::string &Turn,
                 std::optional<TurnId> Previous = std::nullopt) {
    CloseTurn Close;
    Close.Operation = LedgerOperationId(1);
    Close.View = this->View.Version;
    Close.Program = ProgramId("p");
    Close.Turn = TurnId(Turn);
    Close.IsKept = true;
    Close.Previous = std::move(Previous);
    Close.Input = "in-" + Turn + ";";
    Close.Output = "out-" + Turn + ";";
    Close.Retention = Milliseconds(60000);
    this->receive(Host, Close);
  }

  /// Returns the number of closes that replicas have confirmed to the relay.
  std::size_t confirmations() const {
    return static_cast<std::size_t>(
        std::count_if(this->RelayMessages.begin(), this->RelayMessages.end(),
                      [](const Message &Each) {
                        return std::holds_alternative<TurnClosed>(Each);
                      }));
  }

  bool hasTurn(const std::string &Host, const std::string &Turn) {
    return this->Nodes.at(HostId(Host)).State.Turns.count(TurnId(Turn)) > 0;
  }

  std::map<HostId, Node> Nodes;
  LedgerView View;
  Revision ViewAt;
  std::map<HolderId, ViewVersion> Synced;
  /// Messages that the replicas have sent to the relay.
  std::vector<Message> RelayMessages;
  std::vector<bool> RetirementReports;
  /// Number of record pages that were sent.
  int Pulls = 0;
  /// Number of reports of a completed retirement for each host.
  std::map<HostId, int> Retired;
  Instant Now;

private:
  void perform(const HostId &Host, const LedgerEffect &Effect) {
    Node &At = this->Nodes.at(Host);
    if (const auto *Persist = std::get_if<PersistLedgerBatch>(&Effect)) {
      if (!At.HasDisk) {
        this->apply(Host, LedgerBatchFailed{Persist->Ticket});
        return;
      }
      const std::uint64_t Place = At.NextPlace++;
      At.Disk[Place] = Persist->Batch;
      this->apply(Host, LedgerBatchStored{Persist->Ticket,
                                          BatchLocation{1, Place, 10}});
    } else if (const auto *Adopted = std::get_if<PersistLedgerView>(&Effect)) {
      At.StoredView = Adopted->View;
    } else if (const auto *Send = std::get_if<SendHost>(&Effect)) {
      this->deliver(Host, Send->Host, Send->Body);
    } else if (const auto *Page = std::get_if<SendRecords>(&Effect)) {
      ++this->Pulls;
      RecordsPage Body = Page->Header;
      for (const BatchLocation &Each : Page->Batches)
        Body.Batches.push_back(At.Disk.at(Each.Offset));
      this->deliver(Host, Page->Peer, Body);
    } else if (const auto *Turns = std::get_if<SendTurns>(&Effect)) {
      TurnsFound Body = Turns->Header;
      for (const BatchLocation &Each : Turns->Batches)
        Body.Batches.push_back(At.Disk.at(Each.Offset));
      this->deliver(Host, Turns->Peer, Body);
    } else if (const auto *History = std::get_if<SendHistory>(&Effect)) {
      TurnOpened Reply = History->Reply;
      Reply.History = std::to_string(History->Turns.size());
      this->deliver(Host, History->Peer, Reply);
    } else if (const auto *Write = std::get_if<WriteLedgerView>(&Effect)) {
      this->writeView(*Write);
    } else if (const auto *Published = std::get_if<WriteSynced>(&Effect)) {
      const HolderId Holder = At.State.Self.Holder;
      this->Synced[Holder] = Published->View;
      for (auto &[Id, Each] : this->Nodes)
        this->apply(Id, ReplicaSynced{Holder, Published->View});
    } else if (const auto *Report = std::get_if<ReportRetirement>(&Effect)) {
      this->Retired[Report->Host] += Report->IsCompleted ? 1 : 0;
      this->RetirementReports.push_back(Report->IsCompleted);
    }
  }

  void deliver(const HostId &From, const HostId &To, const Message &Body) {
    if (To == HostId("relay"))
      this->RelayMessages.push_back(Body);
    else if (this->Nodes.count(To) > 0 && !(From == To))
      this->apply(To, LedgerMessageReceived{From, Body});
  }

  void writeView(const WriteLedgerView &Write) {
    if (!(Write.Expected == this->ViewAt))
      return;
    this->View = Write.View;
    this->ViewAt = Revision(this->ViewAt.Value + 1);
    for (auto &[Id, Each] : this->Nodes)
      this->apply(Id, LedgerViewObserved{this->View, this->ViewAt});
  }
};

void startThree(LedgerFixture &Fixture) {
  Fixture.start("h1", "a");
  Fixture.start("h2", "b");
  Fixture.start("h3", "c");
  Fixture.advanceTime(Milliseconds(3000));
}

} // namespace

TEST_CASE("Ledger: write and read quorums always share a replica") {
  for (std::uint32_t ToleratedFailures = 0; ToleratedFailures < 4;
       ++ToleratedFailures) {
    LedgerView View;
    View.ToleratedFailures = ToleratedFailures;
    for (std::size_t Size = 1; Size < 10; ++Size) {
      View.Current.push_back(memberOn("h" + std::to_string(Size), "x"));
      CHECK(View.writeQuorum(View.Current) + View.readQuorum() > Size);
    }
  }
}

TEST_CASE("Ledger: the first view contains all replicas that start together") {
  LedgerFixture Fixture;
  startThree(Fixture);
  CHECK(Fixture.View.Version == ViewVersion(1));
  CHECK(Fixture.View.Current.size() == 3);
}

TEST_CASE("Ledger: the first view needs one replica more than may be lost") {
  constexpr Milliseconds LongEnough{10000};
  LedgerFixture Fixture;
  Fixture.start("h1", "a");
  Fixture.advanceTime(LongEnough);
  // A single replica could be lost with all its records.
  CHECK(Fixture.View.Version == ViewVersion(0));
  Fixture.start("h2", "b");
  Fixture.advanceTime(LongEnough);
  CHECK(Fixture.View.Version == ViewVersion(1));
  CHECK(Fixture.View.Current.size() == 2);
}

TEST_CASE(
    "Ledger: one member polls often, and others take over if it is lost") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(1000));
  const auto DelayOf = [&Fixture](const char *Host) {
    return watchDelay(Fixture.Nodes.at(HostId(Host)).State);
  };
  const LedgerOptions Options;
  CHECK(DelayOf("h1") == Options.FirstMemberWatchDelay);
  for (const char *Other : {"h2", "h3", "h4"})
    CHECK(DelayOf(Other) == Options.OtherMembersWatchDelay);
  Fixture.stop("h1");
  CHECK(DelayOf("h2") == Options.FirstMemberWatchDelay);
  CHECK(DelayOf("h3") == Options.OtherMembersWatchDelay);
}

TEST_CASE(
    "Ledger: the replica that writes a view sends it to the other members") {
  LedgerState State;
  State.Self = memberOn("h1", "a");
  State.Options.BootstrapWait = Milliseconds(0);
  for (const char *Name : {"1", "2", "3"})
    reduce(State, ReplicaRegistered{memberOn(std::string("h") + Name, Name)});
  State.Self = memberOn("h1", "1");
  reduce(State, LedgerServiceSnapshotRead{});
  const auto Due = reduce(State, LedgerTick{Instant{Milliseconds(5000)}});
  const auto Write =
      std::find_if(Due.begin(), Due.end(), [](const LedgerEffect &Each) {
        return std::holds_alternative<WriteLedgerView>(Each);
      });
  REQUIRE(Write != Due.end());
  std::set<HostId> NotifiedHosts;
  for (const LedgerEffect &Each :
       reduce(State, LedgerViewObserved{std::get<WriteLedgerView>(*Write).View,
                                        Revision(1)})) {
    const auto *Sent = std::get_if<SendHost>(&Each);
    if (Sent && std::holds_alternative<ViewOffer>(Sent->Body))
      NotifiedHosts.insert(Sent->Host);
  }
  CHECK(NotifiedHosts == std::set<HostId>{HostId("h2"), HostId("h3")});
}

TEST_CASE(
    "Ledger: a lost replica stays a member until another can replace it") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.stop("h3");
  Fixture.advanceTime(Milliseconds(5000));
  CHECK(Fixture.View.Version == ViewVersion(1));
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t2");
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(3000));
  CHECK_FALSE(Fixture.View.isChanging());
  CHECK(Fixture.View.Current.size() == 3);
  CHECK(containsHolder(Fixture.View.Current, HolderId("d")));
  CHECK_FALSE(containsHolder(Fixture.View.Current, HolderId("c")));
  // The new replica has the records of both others.
  CHECK(Fixture.hasTurn("h4", "t1"));
  CHECK(Fixture.hasTurn("h4", "t2"));
}

TEST_CASE("Ledger: a replica whose disk fails for a moment while it copies "
          "becomes a member") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t1");
  Fixture.stop("h3");
  Fixture.start("h4", "d");
  Fixture.Nodes.at(HostId("h4")).HasDisk = false;
  Fixture.advanceTime(Milliseconds(3000));
  Fixture.Nodes.at(HostId("h4")).HasDisk = true;
  Fixture.advanceTime(Milliseconds(10000));
  CHECK(Fixture.hasTurn("h4", "t1"));
  CHECK_FALSE(Fixture.View.isChanging());
}

TEST_CASE("Ledger: a replica that is restarted while it copies the records "
          "copies the rest and becomes a member") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t1");
  Fixture.stop("h3");
  // The disk fails, so that the copy is under way when the process ends.
  Fixture.start("h3", "d", false);
  Fixture.advanceTime(Milliseconds(3000));
  REQUIRE(containsHolder(Fixture.View.Next, HolderId("d")));
  Fixture.Nodes.at(HostId("h3")).HasDisk = true;
  Fixture.restart("h3");
  Fixture.advanceTime(Milliseconds(3000));
  CHECK(Fixture.hasTurn("h3", "t1"));
  CHECK_FALSE(Fixture.View.isChanging());
  CHECK(containsHolder(Fixture.View.Current, HolderId("d")));
}

TEST_CASE("Ledger: a host that lost its disk returns as a new replica") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t1");
  Fixture.stop("h1");
  Fixture.start("h1", "a2");
  Fixture.advanceTime(Milliseconds(3000));
  CHECK(containsHolder(Fixture.View.Current, HolderId("a2")));
  CHECK_FALSE(containsHolder(Fixture.View.Current, HolderId("a")));
  CHECK(Fixture.hasTurn("h1", "t1"));
}

TEST_CASE("Ledger: operations under an older view are refused") {
  LedgerFixture Fixture;
  startThree(Fixture);
  const ViewVersion Old = Fixture.View.Version;
  Fixture.stop("h3");
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(4000));
  Fixture.RelayMessages.clear();
  OpenTurn Open;
  Open.View = Old;
  Open.Turn = TurnId("t");
  Open.Claimed = TokenCount{1};
  Fixture.receive("h1", Open);
  REQUIRE(Fixture.RelayMessages.size() == 1);
  REQUIRE(std::holds_alternative<LedgerRefused>(Fixture.RelayMessages[0]));
  CHECK(std::get<LedgerRefused>(Fixture.RelayMessages[0]).View.Version ==
        Fixture.View.Version);
}

TEST_CASE("Ledger: a pull waits for records accepted under an earlier view") {
  LedgerState State;
  State.Self = memberOn("h1", "a");
  LedgerView View;
  View.Version = ViewVersion(1);
  View.Current = {memberOn("h1", "a"), memberOn("h2", "b"),
                  memberOn("h3", "c")};
  reduce(State, LedgerViewObserved{View, Revision(1)});
  CloseTurn Close;
  Close.View = View.Version;
  Close.Turn = TurnId("t");
  Close.IsKept = true;
  const auto Persisted =
      reduce(State, LedgerMessageReceived{HostId("relay"), Close});
  const auto &Batch = std::get<PersistLedgerBatch>(Persisted.at(0));
  View.Version = ViewVersion(2);
  View.Next = {memberOn("h2", "b"), memberOn("h3", "c"), memberOn("h4", "d")};
  const auto IsLast = [&State, &View] {
    const auto Effects = reduce(
        State, LedgerMessageReceived{HostId("h4"), PullRecords{View, {}, 0}});
    return std::get<SendRecords>(Effects.back()).Header.IsLast;
  };
  CHECK_FALSE(IsLast());
  reduce(State, LedgerBatchStored{Batch.Ticket, BatchLocation{1, 0, 10}});
  CHECK(IsLast());
}

TEST_CASE("Ledger: a copy skips no record if its source is restarted") {
  LedgerState Source;
  Source.Self = memberOn("h1", "a");
  Source.Run = InstanceId("first");
  Source.Options.PageBytes = 20;
  LedgerView View;
  View.Version = ViewVersion(1);
  View.Current = {memberOn("h1", "a"), memberOn("h2", "b"),
                  memberOn("h3", "c")};
  View.Next = {memberOn("h1", "a"), memberOn("h2", "b"), memberOn("h4", "d")};
  Source.View = View;
  const auto RecordAt = [](std::uint64_t Offset) {
    LedgerBatch Batch;
    Batch.Retention = Milliseconds(60000);
    Batch.Records = {TurnRecord{TurnId("t" + std::to_string(Offset)),
                                std::nullopt, "", "", TargetId()}};
    return LedgerBatchRecovered{BatchLocation{1, Offset, 10}, Batch};
  };
  for (std::uint64_t Offset = 0; Offset < 6; ++Offset)
    reduce(Source, RecordAt(Offset));
  const auto PageFor = [&Source](const PullRecords &Request) {
    const auto Effects =
        reduce(Source, LedgerMessageReceived{HostId("h4"), Request});
    return std::get<SendRecords>(Effects.back());
  };
  const SendRecords First = PageFor({View, {}, 0});
  REQUIRE(First.Batches.size() == 2);
  // After its restart the source needs no longer keep one of the first batches.
  Source = LedgerState();
  Source.Self = memberOn("h1", "a");
  Source.Run = InstanceId("second");
  Source.View = View;
  for (std::uint64_t Offset = 1; Offset < 6; ++Offset)
    reduce(Source, RecordAt(Offset));
  const SendRecords Rest =
      PageFor({View, First.Header.Run, First.Header.NextCursor});
  CHECK(Rest.Batches.size() == 5);
  CHECK(Rest.Header.IsLast);
}

TEST_CASE("Ledger: a retiring host's records are copied before its report") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h3", "t1");
  for (auto &[Host, Node] : Fixture.Nodes)
    Fixture.apply(Host, RetirementRequested{HostId("h3"), true});
  Fixture.advanceTime(Milliseconds(4000));
  CHECK_FALSE(containsHolder(Fixture.View.allMembers(), HolderId("c")));
  CHECK(Fixture.RetirementReports == std::vector<bool>{false, true});
  // Both remaining replicas have the record, so one of them may be lost.
  CHECK(Fixture.hasTurn("h1", "t1"));
  CHECK(Fixture.hasTurn("h2", "t1"));
}

TEST_CASE("Ledger: after a retirement, a replica that lost its disk does not "
          "stay a member") {
  LedgerFixture Fixture;
  startThree(Fixture);
  for (auto &[Host, Node] : Fixture.Nodes)
    Fixture.apply(Host, RetirementRequested{HostId("h3"), true});
  Fixture.advanceTime(Milliseconds(4000));
  Fixture.stop("h3");
  REQUIRE(Fixture.View.Current.size() == 2);
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t1");
  for (const char *Host : {"h1", "h2"}) {
    const std::string Successor = std::string(Host) + "-new";
    Fixture.stop(Host);
    Fixture.start(Host, Successor);
    for (auto &[Other, Node] : Fixture.Nodes)
      Fixture.apply(Other, RetirementRequested{HostId("h3"), true});
    Fixture.advanceTime(Milliseconds(4000));
    CHECK_FALSE(Fixture.View.isChanging());
    CHECK(Fixture.View.Current.size() == 2);
    CHECK(containsHolder(Fixture.View.Current, HolderId(Successor)));
    CHECK(Fixture.hasTurn(Host, "t1"));
  }
}

TEST_CASE("Ledger: a member that the key-value service turns away stays, and "
          "one that lost its disk does not") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h2", "t1");
  Fixture.storeTurn("h3", "t1");
  for (auto &[Host, Node] : Fixture.Nodes)
    Fixture.apply(Host, ReplicaUnregistered{HostId("h2")});
  Fixture.stop("h1");
  Fixture.start("h1", "d");
  for (auto &[Host, Node] : Fixture.Nodes)
    Fixture.apply(Host, ReplicaUnregistered{HostId("h2")});
  Fixture.advanceTime(Milliseconds(4000));
  CHECK(containsHolder(Fixture.View.Current, HolderId("b")));
  CHECK(containsHolder(Fixture.View.Current, HolderId("d")));
  CHECK_FALSE(containsHolder(Fixture.View.allMembers(), HolderId("a")));
  CHECK(Fixture.hasTurn("h1", "t1"));
}

TEST_CASE("Ledger: a retiring host stays while a write quorum needs it") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.stop("h3");
  for (auto &[Host, Node] : Fixture.Nodes)
    Fixture.apply(Host, RetirementRequested{HostId("h1"), true});
  Fixture.advanceTime(Milliseconds(4000));
  // One of the other two is lost, and a single replica is no write quorum.
  CHECK_FALSE(Fixture.View.isChanging());
  CHECK(containsHolder(Fixture.View.Current, HolderId("a")));
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t1");
  Fixture.start("h3", "d");
  for (auto &[Host, Node] : Fixture.Nodes)
    Fixture.apply(Host, RetirementRequested{HostId("h1"), true});
  Fixture.advanceTime(Milliseconds(4000));
  CHECK_FALSE(Fixture.View.isChanging());
  CHECK_FALSE(containsHolder(Fixture.View.Current, HolderId("a")));
  CHECK(Fixture.hasTurn("h2", "t1"));
  CHECK(Fixture.hasTurn("h3", "t1"));
  CHECK(Fixture.Retired[HostId("h1")] == 1);
}

TEST_CASE(
    "Ledger: a host whose Hello names a new replica has lost the old one") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(1000));
  for (const char *Host : {"h1", "h2", "h4"})
    Fixture.apply(HostId(Host),
                  ReplicaHelloReceived{HostId("h3"), HolderId("c")});
  Fixture.advanceTime(Milliseconds(1500));
  CHECK(containsHolder(Fixture.View.Current, HolderId("c")));
  // The registration of the old replica still exists and need not expire first.
  for (const char *Host : {"h1", "h2", "h4"})
    Fixture.apply(HostId(Host),
                  ReplicaHelloReceived{HostId("h3"), HolderId("e")});
  Fixture.advanceTime(Milliseconds(1500));
  CHECK_FALSE(containsHolder(Fixture.View.Current, HolderId("c")));
  CHECK(containsHolder(Fixture.View.Current, HolderId("d")));
}

TEST_CASE("Ledger: a retiring host that is no member reports only completion") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(1000));
  Fixture.RetirementReports.clear();
  Fixture.apply(HostId("h4"), RetirementRequested{HostId("h4"), true});
  Fixture.advanceTime(Milliseconds(1000));
  CHECK(Fixture.RetirementReports == std::vector<bool>{true});
}

TEST_CASE("Ledger: only the replica that replaces another copies records") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h3", "t1");
  Fixture.stop("h3");
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(4000));
  CHECK_FALSE(Fixture.View.isChanging());
  CHECK(containsHolder(Fixture.View.Current, HolderId("d")));
  CHECK(Fixture.hasTurn("h4", "t1"));
  // Two copies remain, and h4 needed only one of the others as a source.
  CHECK_FALSE(Fixture.hasTurn("h2", "t1"));
  CHECK(Fixture.Synced.size() == 1);
  CHECK(Fixture.Pulls <= 2);
}

TEST_CASE("Ledger: the retirement of a lost host is reported on its behalf") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.start("h4", "d");
  Fixture.advanceTime(Milliseconds(1000));
  const HostId Lost = GENERATE(HostId("h4"), HostId("h3"));
  Fixture.stop(Lost.Value);
  for (const char *Host : {"h1", "h2", "h3", "h4"})
    Fixture.apply(HostId(Host), RetirementRequested{Lost, true});
  Fixture.advanceTime(Milliseconds(500));
  // The host may return and report its own retirement.
  CHECK(Fixture.Retired[Lost] == 0);
  Fixture.advanceTime(Milliseconds(5000));
  CHECK(Fixture.Retired[Lost] == 1);
}

TEST_CASE("Ledger: the reply to a claim lists all claims of the program") {
  LedgerFixture Fixture;
  startThree(Fixture);
  OpenTurn Open;
  Open.View = Fixture.View.Version;
  Open.Program = ProgramId("p");
  Open.Turn = TurnId("t1");
  Open.Claimed = TokenCount{50};
  Fixture.receive("h1", Open);
  CloseTurn Close;
  Close.View = Fixture.View.Version;
  Close.Program = ProgramId("p");
  Close.Turn = TurnId("t1");
  Close.Used = TokenCount{20};
  Fixture.receive("h1", Close);
  Fixture.RelayMessages.clear();
  Open.Turn = TurnId("t2");
  Fixture.receive("h1", Open);
  const auto &Reply = std::get<TurnOpened>(Fixture.RelayMessages.at(0));
  REQUIRE(Reply.Claims.size() == 2);
  std::uint64_t Sum = 0;
  for (const TokenClaim &Each : Reply.Claims)
    Sum += Each.Tokens.Value;
  CHECK(Sum == 70);
}

TEST_CASE(
    "Ledger: a replica with a full disk refuses and acknowledges nothing") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.Nodes.at(HostId("h1")).HasDisk = false;
  Fixture.RelayMessages.clear();
  Fixture.storeTurn("h1", "t1");
  REQUIRE(Fixture.RelayMessages.size() == 1);
  CHECK(std::holds_alternative<LedgerRefused>(Fixture.RelayMessages[0]));
  CHECK_FALSE(Fixture.hasTurn("h1", "t1"));
}

TEST_CASE(
    "Ledger: turns expire with their chain, and unused segments are dropped") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.storeTurn("h1", "t1");
  Fixture.advanceTime(Milliseconds(50000));
  Fixture.storeTurn("h1", "t2", TurnId("t1"));
  Fixture.advanceTime(Milliseconds(60000));
  CHECK(Fixture.hasTurn("h1", "t1"));
  Fixture.advanceTime(Milliseconds(60000));
  CHECK_FALSE(Fixture.hasTurn("h1", "t1"));
  CHECK(Fixture.Nodes.at(HostId("h1")).State.StoredBatches.empty());
  CHECK(Fixture.Nodes.at(HostId("h1")).State.BatchesInSegment.empty());
}

TEST_CASE("Ledger: the beginning of a chain in use does not expire at replicas "
          "that missed a turn") {
  LedgerFixture Fixture;
  startThree(Fixture);
  // h3 misses the first turn and h1 the second one.
  Fixture.storeTurn("h1", "t1");
  Fixture.storeTurn("h2", "t1");
  Fixture.storeTurn("h2", "t2", TurnId("t1"));
  Fixture.storeTurn("h3", "t2", TurnId("t1"));
  std::string Last = "t2";
  for (const char *Next : {"t3", "t4", "t5", "t6"}) {
    Fixture.advanceTime(Milliseconds(50000));
    for (const char *Host : {"h1", "h2", "h3"})
      Fixture.storeTurn(Host, Next, TurnId(Last));
    Last = Next;
  }
  for (const char *Host : {"h1", "h2", "h3"}) {
    for (const char *Turn : {"t1", "t2", "t3", "t4", "t5", "t6"}) {
      INFO(Turn << " at " << Host);
      CHECK(Fixture.hasTurn(Host, Turn));
    }
  }
}

TEST_CASE("Ledger: a replica confirms a turn only with its whole chain") {
  LedgerFixture Fixture;
  startThree(Fixture);
  for (const char *Host : {"h1", "h2"}) {
    Fixture.storeTurn(Host, "t1");
    Fixture.storeTurn(Host, "t2", TurnId("t1"));
    Fixture.stop(Host);
  }
  Fixture.RelayMessages.clear();
  Fixture.storeTurn("h3", "t3", TurnId("t2"));
  Fixture.advanceTime(Milliseconds(2000));
  CHECK(Fixture.confirmations() == 0);
  Fixture.restart("h2");
  Fixture.advanceTime(Milliseconds(2000));
  CHECK(Fixture.confirmations() == 1);
  CHECK(Fixture.hasTurn("h3", "t1"));
  CHECK(Fixture.hasTurn("h3", "t2"));
  CHECK(Fixture.Nodes.at(HostId("h3")).State.MissingTurns.empty());
}

TEST_CASE("Ledger: a turn whose chain is at no replica is confirmed") {
  LedgerFixture Fixture;
  startThree(Fixture);
  Fixture.RelayMessages.clear();
  Fixture.storeTurn("h3", "t2", TurnId("lost"));
  Fixture.advanceTime(Milliseconds(2000));
  CHECK(Fixture.confirmations() == 1);
}

TEST_CASE("Ledger: more missing turns than one reply has room for are copied "
          "in parts") {
  LedgerFixture Fixture;
  startThree(Fixture);
  for (const char *Host : {"h1", "h2"})
    Fixture.Nodes.at(HostId(Host)).State.Options.PageBytes = 20;
  for (int Number = 0; Number < 10; ++Number) {
    const std::string First = "first-" + std::to_string(Number);
    for (const char *Host : {"h1", "h2"}) {
      Fixture.Nodes.at(HostId(Host)).IsUp = true;
      Fixture.storeTurn(Host, First);
      Fixture.Nodes.at(HostId(Host)).IsUp = false;
    }
    Fixture.storeTurn("h3", "next-" + std::to_string(Number), TurnId(First));
  }
  for (const char *Host : {"h1", "h2"})
    Fixture.Nodes.at(HostId(Host)).IsUp = true;
  Fixture.advanceTime(Milliseconds(5000));
  for (int Number = 0; Number < 10; ++Number)
    CHECK(Fixture.hasTurn("h3", "first-" + std::to_string(Number)));
}
