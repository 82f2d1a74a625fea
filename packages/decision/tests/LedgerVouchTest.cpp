/// Tests what a replica vouches for: only heartbeats that it received before it
/// sent the query of the key-value service that was then answered.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

/// A replica that has read a configuration.
class VouchFixture {
public:
  VouchFixture() {
    this->State.Self =
        LedgerMember{HolderId("a"), HostId("a"), "10.0.0.1", 90, ZoneId("z")};
    this->apply(LedgerConfigurationObserved{Revision(5)});
  }

  void apply(const LedgerEvent &Event) {
    for (const LedgerEffect &Effect : reduce(this->State, Event)) {
      const auto *Sent = std::get_if<SendHost>(&Effect);
      const auto *Vouch =
          Sent ? std::get_if<ConfigurationVouch>(&Sent->Body) : nullptr;
      if (Vouch)
        this->Vouches.emplace_back(Sent->Host, *Vouch);
    }
  }

  void beat(const std::string &Relay, std::int64_t SentAt) {
    Heartbeat Beat;
    Beat.SentAt = Instant{Milliseconds(SentAt)};
    this->apply(LedgerMessageReceived{HostId(Relay), Beat});
  }

  void startQuery() { this->apply(LedgerServiceQueryStarted{}); }
  void answerQuery() { this->apply(LedgerServiceContentConfirmed{}); }

  void passTime(std::int64_t Passed) {
    this->Now = this->Now + Milliseconds(Passed);
    this->apply(LedgerTick{this->Now});
  }

  LedgerState State;
  std::vector<std::pair<HostId, ConfigurationVouch>> Vouches;

private:
  Instant Now;
};

} // namespace

TEST_CASE("Vouching: each relay gets its own last time of before the query") {
  VouchFixture Fixture;
  Fixture.beat("r1", 100);
  Fixture.beat("r1", 500);
  Fixture.beat("r2", 70);
  Fixture.startQuery();
  Fixture.answerQuery();
  REQUIRE(Fixture.Vouches.size() == 2);
  CHECK(Fixture.Vouches[0].first == HostId("r1"));
  CHECK(Fixture.Vouches[0].second.SentAt.SinceStart == Milliseconds(500));
  CHECK(Fixture.Vouches[0].second.KeyRevision == Revision(5));
  CHECK(Fixture.Vouches[1].second.SentAt.SinceStart == Milliseconds(70));
}

// The service may have read its state before the heartbeat was sent.
TEST_CASE(
    "Vouching: a heartbeat received during a query is vouched for only by "
    "the next one") {
  VouchFixture Fixture;
  Fixture.startQuery();
  Fixture.beat("r1", 2000);
  Fixture.answerQuery();
  CHECK(Fixture.Vouches.empty());
  Fixture.startQuery();
  Fixture.beat("r1", 4000);
  Fixture.answerQuery();
  REQUIRE(Fixture.Vouches.size() == 1);
  CHECK(Fixture.Vouches[0].second.SentAt.SinceStart == Milliseconds(2000));
}

// An interrupted query starts the next one without an answer.
TEST_CASE("Vouching: a query without an answer vouches for nothing") {
  VouchFixture Fixture;
  Fixture.beat("r1", 100);
  Fixture.startQuery();
  Fixture.startQuery();
  Fixture.passTime(300);
  CHECK(Fixture.Vouches.empty());
  Fixture.answerQuery();
  CHECK(Fixture.Vouches.size() == 1);
}

TEST_CASE("Vouching: the vouch names the configuration that the answer "
          "brought") {
  VouchFixture Fixture;
  Fixture.beat("r1", 100);
  Fixture.startQuery();
  Fixture.apply(LedgerConfigurationObserved{Revision(9)});
  // From the data folder, for example.
  Fixture.apply(LedgerConfigurationObserved{Revision(7)});
  Fixture.answerQuery();
  REQUIRE(Fixture.Vouches.size() == 1);
  CHECK(Fixture.Vouches[0].second.KeyRevision == Revision(9));
}

TEST_CASE(
    "Vouching: nothing is sent without a configuration, or to relays that "
    "state no time or are gone") {
  SECTION("no configuration") {
    VouchFixture Fixture;
    Fixture.State.ConfigurationKeyRevision = Revision();
    Fixture.beat("r1", 100);
    Fixture.startQuery();
    Fixture.answerQuery();
    CHECK(Fixture.Vouches.empty());
  }
  SECTION("no time") {
    VouchFixture Fixture;
    Fixture.apply(LedgerMessageReceived{HostId("r1"), Heartbeat{}});
    Fixture.startQuery();
    Fixture.answerQuery();
    CHECK(Fixture.Vouches.empty());
  }
  SECTION("gone") {
    VouchFixture Fixture;
    Fixture.beat("r1", 100);
    Fixture.passTime(6000);
    Fixture.startQuery();
    Fixture.answerQuery();
    CHECK(Fixture.Vouches.empty());
    CHECK(Fixture.State.RelayClocks.empty());
  }
}

// The first member asks several times a second, which at 390 relays would be
// some thousand messages a second.
TEST_CASE("Vouching: a relay gets about one vouch a second at most") {
  VouchFixture Fixture;
  for (std::int64_t At = 0; At < 12000; At += 100) {
    if (At % 400 == 0)
      Fixture.beat("r1", At);
    Fixture.startQuery();
    Fixture.passTime(100);
    Fixture.answerQuery();
  }
  CHECK(Fixture.Vouches.size() <= 12);
  CHECK(Fixture.Vouches.size() >= 9);
}

TEST_CASE("Vouching: a relay that was restarted is vouched for at once, though "
          "its clock is behind") {
  VouchFixture Fixture;
  Fixture.beat("r1", 90000);
  Fixture.startQuery();
  Fixture.answerQuery();
  Fixture.beat("r1", 89900);
  Fixture.startQuery();
  Fixture.answerQuery();
  REQUIRE(Fixture.Vouches.size() == 2);
  CHECK(Fixture.Vouches[1].second.SentAt.SinceStart == Milliseconds(89900));
}
