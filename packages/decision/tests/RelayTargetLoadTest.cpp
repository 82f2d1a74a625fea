/// \file
/// Tests of what relays know of the load of targets, by their own answers and
/// by those of other relays.
#include "LoadDeployment.h"

#include "../src/relay/TargetLoads.h"

#include <catch2/catch.hpp>

#include <string>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with the targets t1 and t2.
class LoadFixture : public RelayFixture {
public:
  LoadFixture() {
    this->State.Options.IsLoadShared = true;
    this->makeReady();
  }

  const RelayTarget &target(const std::string &Name) const {
    return this->State.Targets.at(TargetId(Name));
  }
  std::optional<KnownTargetLoad> load(const std::string &Name) const {
    return knownLoadOf(this->State, this->target(Name));
  }
  TargetRunKey key(const std::string &Name) const {
    return keyOf(this->target(Name).Entry.run());
  }

  /// Sends a request that only Name can serve, as the others are leaving.
  SendAttempt sendTo(const std::string &Name) {
    this->addTarget("t1", "a", Name != "t1");
    this->addTarget("t2", "a", Name != "t2");
    this->ask("/once/x", "r" + std::to_string(++this->RequestCount));
    return this->all<SendAttempt>().back();
  }

  void answer(const SendAttempt &Attempt, const StatedTargetLoad &Load) {
    TargetAnswerHead Head = head(200);
    Head.Load = Load;
    this->apply(AttemptHeadReceived{Attempt.Attempt, Head});
  }
  void end(const SendAttempt &Attempt) {
    this->apply(AttemptEnded{Attempt.Attempt, AttemptEnded::Kind::Complete});
  }

  void receive(const TargetLoadRow &Row, const std::string &Holder = "a") {
    this->apply(
        ReplicaMessageReceived{HolderId(Holder), TargetLoadView{{Row}}});
  }

private:
  int RequestCount = 0;
};

TargetLoad loadOfFigures(std::uint32_t Running, std::uint32_t Waiting,
                         std::optional<double> Slowdown = std::nullopt) {
  return TargetLoad{Running, Waiting, 8, Slowdown};
}

/// A replica that gathers loads for relays.
class GatheringFixture {
public:
  GatheringFixture() {
    this->State.Self = RelayFixture::member("a");
    this->State.Now = Instant{Milliseconds(1000)};
  }

  void report(const std::string &Relay, std::vector<TargetLoadRow> Rows) {
    reduce(this->State, LedgerMessageReceived{
                            HostId(Relay), TargetLoadReport{std::move(Rows)}});
  }

  /// Passes time and returns the views that were sent to a relay.
  std::vector<TargetLoadView> tick(const std::string &Relay,
                                   Milliseconds Passed = Milliseconds(100)) {
    std::vector<TargetLoadView> Views;
    for (const LedgerEffect &Each :
         reduce(this->State, LedgerTick{this->State.Now + Passed})) {
      const auto *Sent = std::get_if<SendHost>(&Each);
      const auto *View =
          Sent ? std::get_if<TargetLoadView>(&Sent->Body) : nullptr;
      if (View && Sent->Host == HostId(Relay))
        Views.push_back(*View);
    }
    return Views;
  }

  static TargetLoadRow row(std::uint32_t Key, std::uint32_t Running,
                           Milliseconds Age, std::uint32_t Sent = 0) {
    TargetLoadRow Row;
    Row.Run = TargetRunKey{Key};
    Row.Report = loadOfFigures(Running, 0);
    Row.Age = Age;
    Row.Sent = Sent;
    return Row;
  }

  LedgerState State;
};

} // namespace

TEST_CASE("Target loads: own requests since a report are counted") {
  LoadFixture Fixture;
  const SendAttempt First = Fixture.sendTo("t1");
  CHECK_FALSE(Fixture.load("t1"));
  Fixture.answer(First, loadOfFigures(6, 3));
  REQUIRE(Fixture.load("t1"));
  CHECK(Fixture.load("t1")->requests() == 9);
  CHECK(Fixture.load("t1")->Running == 8);
  CHECK(Fixture.load("t1")->Waiting == 1);
  CHECK(Fixture.load("t1")->Slots == 8);
  Fixture.end(First);
  CHECK(Fixture.load("t1")->requests() == 8);
  Fixture.sendTo("t1");
  Fixture.sendTo("t1");
  CHECK(Fixture.load("t1")->requests() == 10);
  Fixture.passTime(Milliseconds(100));
  CHECK(Fixture.load("t1")->Age == Milliseconds(100));
  // A report that is too old says nothing of the present load.
  Fixture.passTime(LoadReportLifetime);
  CHECK_FALSE(Fixture.load("t1"));
}

TEST_CASE("Target loads: an invalid load is counted and the former is kept") {
  LoadFixture Fixture;
  Fixture.answer(Fixture.sendTo("t1"), loadOfFigures(6, 3, 2.5));
  Fixture.Effects.clear();
  Fixture.answer(Fixture.sendTo("t1"), InvalidTargetLoad{"x"});
  REQUIRE(Fixture.load("t1"));
  CHECK(Fixture.load("t1")->requests() == 10);
  CHECK(currentSlowdownOf(Fixture.State, Fixture.target("t1")) == 2.5);
  int Counted = 0;
  for (const CountMetric &Each : Fixture.all<CountMetric>())
    Counted += Each.Name == std::string("relay_load_reports_total") &&
                       Each.Cause == std::string("invalid")
                   ? 1
                   : 0;
  CHECK(Counted == 1);
}

TEST_CASE("Target loads: the load in another target's answer is not used") {
  LoadFixture Fixture;
  TargetAnswerHead Head = RelayFixture::head(421);
  Head.IsMisdirected = true;
  Head.Load = loadOfFigures(6, 3);
  const SendAttempt Sent = Fixture.sendTo("t1");
  Fixture.apply(AttemptHeadReceived{Sent.Attempt, Head});
  CHECK_FALSE(Fixture.load("t1"));
}

TEST_CASE("Target loads: a present slow-down is used for 200 ms only") {
  LoadFixture Fixture;
  Fixture.answer(Fixture.sendTo("t1"), loadOfFigures(1, 0, 2.5));
  Fixture.passTime(Milliseconds(199));
  CHECK(currentSlowdownOf(Fixture.State, Fixture.target("t1")) == 2.5);
  Fixture.passTime(Milliseconds(1));
  CHECK(currentSlowdownOf(Fixture.State, Fixture.target("t1")) == 1);
}

TEST_CASE("Target loads: a newer report of another relay replaces the own") {
  LoadFixture Fixture;
  const SendAttempt First = Fixture.sendTo("t1");
  Fixture.answer(First, loadOfFigures(2, 0));
  Fixture.passTime(Milliseconds(100));
  const SendAttempt Second = Fixture.sendTo("t1");
  Fixture.passTime(Milliseconds(100));
  Fixture.sendTo("t1");
  TargetLoadRow Row;
  Row.Run = Fixture.key("t1");
  Row.Report = loadOfFigures(7, 2);
  Row.Age = Milliseconds(50);
  Row.Sent = 3;
  Fixture.receive(Row);
  REQUIRE(Fixture.load("t1"));
  // The second request was sent before the report and is part of it, the third
  // was sent later.
  CHECK(Fixture.load("t1")->requests() == 9 + 3 + 1);
  CHECK(Fixture.load("t1")->Age == Milliseconds(50));
  Fixture.end(Second);
  CHECK(Fixture.load("t1")->requests() == 12);
  SECTION("an older one does not") {
    Row.Report = loadOfFigures(1, 0);
    Row.Age = Milliseconds(250);
    Fixture.receive(Row);
    CHECK(Fixture.load("t1")->requests() == 12);
  }
  SECTION("an own one that is newer does") {
    Fixture.answer(First, loadOfFigures(3, 0));
    Fixture.passTime(Milliseconds(25));
    Row.Age = Milliseconds(60);
    Fixture.receive(Row);
    CHECK(Fixture.load("t1")->requests() == 3);
  }
}

TEST_CASE("Target loads: others' requests since the own report are counted") {
  LoadFixture Fixture;
  Fixture.answer(Fixture.sendTo("t1"), loadOfFigures(2, 0));
  Fixture.passTime(Milliseconds(100));
  TargetLoadRow Row;
  Row.Run = Fixture.key("t1");
  Row.Age = Milliseconds(90);
  Row.Sent = 4;
  Fixture.receive(Row);
  CHECK(Fixture.load("t1")->requests() == 6);
  // A row about an earlier report than the own newest one says nothing.
  Fixture.answer(Fixture.sendTo("t1"), loadOfFigures(2, 0));
  Fixture.receive(Row);
  CHECK(Fixture.load("t1")->requests() == 2);
}

TEST_CASE("Target loads: a run that was replaced leaves no load behind") {
  LoadFixture Fixture;
  const TargetRunKey Former = Fixture.key("t1");
  Fixture.answer(Fixture.sendTo("t1"), loadOfFigures(6, 3));
  RegisteredTarget Entry = Fixture.target("t1").Entry;
  Entry.StartedAtMillis = 17;
  Fixture.apply(TargetRegistered{Entry});
  CHECK_FALSE(Fixture.load("t1"));
  TargetLoadRow Row;
  Row.Run = Former;
  Row.Report = loadOfFigures(6, 3);
  Fixture.receive(Row);
  CHECK_FALSE(Fixture.load("t1"));
  Row.Run = Fixture.key("t1");
  Fixture.receive(Row);
  CHECK(Fixture.load("t1"));
}

TEST_CASE("Target loads: a key that two targets share says nothing of either") {
  LoadFixture Fixture;
  Fixture.State.Loads.TargetsByKey.emplace(Fixture.key("t1"), TargetId("t2"));
  TargetLoadRow Row;
  Row.Run = Fixture.key("t1");
  Row.Report = loadOfFigures(6, 3);
  Fixture.receive(Row);
  CHECK_FALSE(Fixture.load("t1"));
  CHECK_FALSE(Fixture.load("t2"));
}

TEST_CASE("Target loads: the load of a service is the sum over its targets") {
  LoadFixture Fixture;
  Fixture.answer(Fixture.sendTo("t1"), loadOfFigures(8, 3));
  Fixture.addTarget("t1");
  Fixture.addTarget("t2");
  const ServiceLoad Load = loadOfService(Fixture.State, ServiceName("app"));
  CHECK(Load.Targets == 2);
  CHECK(Load.KnownTargets == 1);
  // t2 has 4 slots, and the 10 requests from elsewhere that are the average.
  CHECK(Load.Slots == 12);
  CHECK(Load.Running == 12);
  CHECK(Load.Waiting == 9);
  CHECK(loadOfService(Fixture.State, ServiceName("none")).Targets == 0);
}

TEST_CASE("Target loads: a relay reports what is new, once") {
  LoadFixture Fixture;
  const SendAttempt Sent = Fixture.sendTo("t1");
  Fixture.answer(Sent, loadOfFigures(2, 1));
  Fixture.end(Sent);
  Fixture.sendTo("t1");
  Fixture.sendTo("t1");
  Fixture.Effects.clear();
  Fixture.passTime(Milliseconds(100));
  const auto Reports = Fixture.sentToReplicas<TargetLoadReport>();
  REQUIRE(Reports.size() == 1);
  CHECK(Fixture.all<SendToReplica>()[0].Holder == HolderId("a"));
  REQUIRE(Reports[0].Rows.size() == 1);
  CHECK(Reports[0].Rows[0].Run == Fixture.key("t1"));
  REQUIRE(Reports[0].Rows[0].Report);
  CHECK(*Reports[0].Rows[0].Report == loadOfFigures(2, 1));
  CHECK(Reports[0].Rows[0].Sent == 1);
  Fixture.Effects.clear();
  Fixture.passTime(Milliseconds(100));
  CHECK(Fixture.sentToReplicas<TargetLoadReport>().empty());
  // An empty one, so that the replica goes on sending views.
  Fixture.passTime(Milliseconds(100));
  REQUIRE(Fixture.sentToReplicas<TargetLoadReport>().size() == 1);
  CHECK(Fixture.sentToReplicas<TargetLoadReport>()[0].Rows.empty());
}

TEST_CASE("Target loads: the replica passes on the newest report of a run") {
  GatheringFixture Fixture;
  Fixture.report("r1", {GatheringFixture::row(7, 5, Milliseconds(20), 2)});
  Fixture.report("r2", {GatheringFixture::row(7, 3, Milliseconds(60), 1)});
  Fixture.report("r3", {});
  const auto Views = Fixture.tick("r3");
  REQUIRE(Views.size() == 1);
  REQUIRE(Views[0].Rows.size() == 1);
  CHECK(Views[0].Rows[0].Report->Running == 5);
  CHECK(Views[0].Rows[0].Age == Milliseconds(120));
  // The request of r2 was sent before the newest report or about then.
  CHECK(Views[0].Rows[0].Sent == 2);
}

TEST_CASE("Target loads: a relay is not told of its own requests") {
  GatheringFixture Fixture;
  Fixture.report("r1", {GatheringFixture::row(7, 5, Milliseconds(20), 2)});
  TargetLoadRow Sends;
  Sends.Run = TargetRunKey{7};
  Sends.Sent = 4;
  Fixture.report("r2", {Sends});
  const auto ToFirst = Fixture.tick("r1");
  REQUIRE(ToFirst.size() == 1);
  REQUIRE(ToFirst[0].Rows.size() == 1);
  // Its own report comes back without the figures, which would seem newer.
  CHECK_FALSE(ToFirst[0].Rows[0].Report);
  CHECK(ToFirst[0].Rows[0].Sent == 4);
  GatheringFixture Again;
  Again.report("r1", {GatheringFixture::row(7, 5, Milliseconds(20), 2)});
  Again.report("r2", {Sends});
  const auto ToSecond = Again.tick("r2");
  REQUIRE(ToSecond.size() == 1);
  CHECK(ToSecond[0].Rows.at(0).Report);
  CHECK(ToSecond[0].Rows.at(0).Sent == 2);
}

TEST_CASE("Target loads: rows take turns if not all fit into a message") {
  GatheringFixture Fixture;
  std::vector<TargetLoadRow> Rows;
  for (std::uint32_t Key = 1; Key <= 100; ++Key)
    Rows.push_back(
        GatheringFixture::row(Key * 40000000U, Key % 8, Milliseconds(0)));
  Fixture.report("r1", Rows);
  std::map<TargetRunKey, int> Received;
  for (int Message = 0; Message < 4; ++Message) {
    Fixture.report("r2", {});
    for (const TargetLoadView &View : Fixture.tick("r2")) {
      CHECK(View.Rows.size() <= MaxLoadRowsPerMessage);
      for (const TargetLoadRow &Row : View.Rows)
        ++Received[Row.Run];
    }
  }
  CHECK(Received.size() == 100);
  // What has not changed is sent twice at most.
  for (int Message = 0; Message < 8; ++Message) {
    Fixture.report("r1", {});
    Fixture.report("r2", {});
    for (const TargetLoadView &View : Fixture.tick("r2", Milliseconds(10))) {
      for (const TargetLoadRow &Row : View.Rows)
        ++Received[Row.Run];
    }
  }
  for (const auto &[Run, Count] : Received)
    CHECK(Count <= 2);
}

TEST_CASE("Target loads: relays learn of different targets first") {
  // Otherwise all send their requests to the same few targets.
  GatheringFixture Fixture;
  std::set<std::uint32_t> First;
  for (int Number = 0; Number < 20; ++Number)
    Fixture.report("r" + std::to_string(Number), {});
  std::vector<TargetLoadRow> Rows;
  for (std::uint32_t Key = 1; Key <= 400; ++Key)
    Rows.push_back(GatheringFixture::row(Key * 10000000U, 1, Milliseconds(0)));
  Fixture.report("other", Rows);
  for (const LedgerEffect &Each : reduce(
           Fixture.State, LedgerTick{Fixture.State.Now + Milliseconds(100)})) {
    const auto *Sent = std::get_if<SendHost>(&Each);
    const auto *View =
        Sent ? std::get_if<TargetLoadView>(&Sent->Body) : nullptr;
    if (View && !View->Rows.empty())
      First.insert(View->Rows[0].Run.Value);
  }
  CHECK(First.size() > 10);
}

TEST_CASE("Target loads: a relay that reports no more gets no views") {
  GatheringFixture Fixture;
  Fixture.report("r1", {});
  CHECK(Fixture.tick("r1", Milliseconds(200)).size() == 1);
  CHECK(Fixture.tick("r1", Milliseconds(2000)).empty());
  CHECK(Fixture.State.Loads.Relays.empty());
}

TEST_CASE("Target loads: rows without news are dropped") {
  GatheringFixture Fixture;
  Fixture.report("r1", {GatheringFixture::row(7, 5, Milliseconds(20), 2)});
  Fixture.tick("r1", Milliseconds(2500));
  CHECK(Fixture.State.Loads.Rows.empty());
}

TEST_CASE("Target loads: all relays have a recent view") {
  LoadDeployment Run(1, 20, 30);
  int Number = 0;
  Run.every(Milliseconds(5),
            [&] { Run.ask(++Number % 20, Milliseconds(200)); });
  Milliseconds Worst{0};
  Run.after(Milliseconds(1000), [&] {
    Run.every(Milliseconds(20), [&] {
      for (std::size_t Relay = 0; Relay < 20; ++Relay)
        Worst = std::max(Worst, Run.viewAge(Relay).value());
    });
  });
  Run.runFor(Milliseconds(6000));
  CHECK(Worst <= Milliseconds(250));
  CHECK(Run.Refused.empty());
}

TEST_CASE("Target loads: the next member gathers if the first is lost") {
  LoadDeployment Run(1, 20, 30);
  int Number = 0;
  Run.every(Milliseconds(5),
            [&] { Run.ask(++Number % 20, Milliseconds(200)); });
  Run.runFor(Milliseconds(3000));
  Run.LostReplicas.insert("a");
  Milliseconds Worst{0};
  Run.every(Milliseconds(20), [&] {
    for (std::size_t Relay = 0; Relay < 20; ++Relay)
      Worst = std::max(Worst, Run.viewAge(Relay).value());
  });
  Run.runFor(Milliseconds(5000));
  // The replica is noticed to be lost after 350 ms; the next one sends its
  // first view at its next tick.
  CHECK(Worst <= Milliseconds(700));
  for (std::size_t Relay = 0; Relay < 20; ++Relay)
    CHECK(Run.Relays[Relay].Process->State.Loads.Gatherer == HolderId("b"));
  Run.LostReplicas.clear();
  Run.runFor(Milliseconds(4000));
  for (std::size_t Relay = 0; Relay < 20; ++Relay)
    CHECK(Run.Relays[Relay].Process->State.Loads.Gatherer == HolderId("a"));
}

TEST_CASE("Target loads: a relay that reaches no member goes on by itself") {
  LoadDeployment Run(1, 5, 10);
  int Number = 0;
  Run.every(Milliseconds(10),
            [&] { Run.ask(++Number % 5, Milliseconds(200)); });
  Run.runFor(Milliseconds(2000));
  for (const char *Holder : {"a", "b", "c"})
    Run.CutLinks.insert({0, Holder});
  Run.runFor(Milliseconds(2000));
  const RelayState &State = Run.Relays[0].Process->State;
  CHECK_FALSE(hasRecentLoadView(State));
  CHECK_FALSE(State.Loads.Gatherer);
  CHECK(Run.Refused.empty());
  // Its own answers still tell the load.
  CHECK(loadOfService(State, ServiceName("app")).KnownTargets > 0);
  Run.CutLinks.clear();
  Run.runFor(Milliseconds(3500));
  CHECK(hasRecentLoadView(State));
}

TEST_CASE("Target loads: a relay that was frozen does not use what it missed") {
  LoadDeployment Run(1, 5, 10);
  int Number = 0;
  Run.every(Milliseconds(10),
            [&] { Run.ask(1 + ++Number % 4, Milliseconds(200)); });
  Run.runFor(Milliseconds(2000));
  Run.Relays[0].IsFrozen = true;
  Run.runFor(Milliseconds(3000));
  Run.Relays[0].IsFrozen = false;
  const RelayState &State = Run.Relays[0].Process->State;
  Run.runFor(Milliseconds(300));
  // The replica was not to blame.
  CHECK(State.Loads.PassedOverUntil.empty());
  CHECK(hasRecentLoadView(State));
}
