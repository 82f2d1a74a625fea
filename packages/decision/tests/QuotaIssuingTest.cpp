/// Tests of the permits that ledger replicas issue for teams with a quota.
#include "RelayFixture.h"
#include "tanagerlanding/decision/ledger/QuotaUse.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

const TeamId Team("team-1");

/// A member of a view of three, which is in contact with the other two.
class MemberFixture {
public:
  explicit MemberFixture(const std::string &Name = "a") {
    this->State.Self = RelayFixture::member(Name);
    this->State.View.Version = ViewVersion(1);
    this->State.View.Current = {RelayFixture::member("a"),
                                RelayFixture::member("b"),
                                RelayFixture::member("c")};
    this->passTime(Milliseconds(1000));
  }

  void configure(std::uint64_t Version, std::optional<RequestQuota> Quota) {
    reduce(this->State,
           TeamQuotasConfigured{ConfigVersion(Version), {{Team, Quota}}});
  }

  /// Lets time pass without any contact to other members.
  void passIsolated(Milliseconds Time) {
    this->State.Now = this->State.Now + Time;
    reduce(this->State, LedgerTick{this->State.Now});
  }

  void passTime(Milliseconds Time) {
    this->passIsolated(Time);
    for (const char *Other : {"a", "b", "c"})
      reduce(this->State, LedgerMessageReceived{
                              RelayFixture::member(Other).Host, Heartbeat{}});
  }

  /// Asks for permits as a relay that knows the given quota, and returns the
  /// answer.
  std::optional<PermitGrant> ask(std::uint32_t Wanted, bool IsFirstTurn = false,
                                 std::uint64_t Version = 0,
                                 RequestQuota Known = {RequestRate{1}, 1}) {
    const PermitRequest Request{
        Instant{Milliseconds(7)},
        {PermitRequest::Row{
            TeamQuotaNotice{Team, ConfigVersion(Version), Known}, Wanted,
            IsFirstTurn}}};
    for (const LedgerEffect &Each :
         reduce(this->State, LedgerMessageReceived{HostId("relay"), Request})) {
      if (const auto *Sent = std::get_if<SendHost>(&Each))
        return std::get<PermitGrant>(Sent->Body);
    }
    return std::nullopt;
  }

  /// Asks whether a program may start, after a number of admitted requests.
  PermitGrant askStart(std::uint32_t AdmittedRequests = 0) {
    PermitRequest::Row Row;
    Row.Stated = TeamQuotaNotice{Team, ConfigVersion(0),
                                 RequestQuota{RequestRate{1}, 1}};
    Row.Wanted = 1;
    Row.IsFirstTurn = true;
    Row.IsProgramStart = true;
    Row.AdmittedRequests = AdmittedRequests;
    const PermitRequest Request{Instant{Milliseconds(7)}, {Row}};
    for (const LedgerEffect &Each :
         reduce(this->State, LedgerMessageReceived{HostId("relay"), Request})) {
      if (const auto *Sent = std::get_if<SendHost>(&Each))
        return std::get<PermitGrant>(Sent->Body);
    }
    return PermitGrant();
  }

  std::uint32_t granted(std::uint32_t Wanted, bool IsFirstTurn = false) {
    const auto Answer = this->ask(Wanted, IsFirstTurn);
    return Answer ? Answer->Count : 0;
  }

  LedgerState State;
};

} // namespace

TEST_CASE("QuotaIssuing: a member starts with one permit and issues a part of "
          "the quota, not the whole") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{30}, 30});
  CHECK(Member.granted(100) == 1);
  std::uint32_t Total = 0;
  for (int Tick = 0; Tick < 100; ++Tick) {
    Member.passTime(Milliseconds(100));
    Total += Member.granted(100);
  }
  // A third of 30 a second for 10 s.
  CHECK(Total >= 99);
  CHECK(Total <= 101);
  // A third of the burst and one.
  Member.passTime(Milliseconds(60000));
  CHECK(Member.granted(100) == 11);
}

TEST_CASE(
    "QuotaIssuing: a member without a permit denies at once and says when "
    "it has the next one") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{3}, 0});
  CHECK(Member.granted(1) == 1);
  const auto Denial = Member.ask(2);
  REQUIRE(Denial);
  CHECK(Denial->Count == 0);
  CHECK(Denial->Denied == 2);
  CHECK(Denial->NextIn == Milliseconds(1000));
  CHECK(Denial->AskedAt.SinceStart == Milliseconds(7));
  CHECK(std::get<TeamId>(Denial->Subject) == Team);
  Member.passTime(Denial->NextIn);
  CHECK(Member.granted(1) == 1);
}

TEST_CASE("QuotaIssuing: a quarter of the bucket is kept for programs under "
          "way") {
  MemberFixture Member;
  // The bucket holds 12.
  Member.configure(1, RequestQuota{RequestRate{3}, 33});
  Member.granted(1);
  Member.passTime(Milliseconds(60000));
  CHECK(Member.granted(100, true) == 9);
  const auto Denial = Member.ask(1, true);
  REQUIRE(Denial);
  CHECK(Denial->NextIn == Milliseconds(1000));
  CHECK(Member.granted(100, false) == 3);
}

TEST_CASE("QuotaIssuing: small buckets keep nothing back from first turns") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{3}, 3});
  Member.granted(1);
  Member.passTime(Milliseconds(60000));
  CHECK(Member.granted(100, true) == 2);
}

TEST_CASE("QuotaIssuing: a lowered quota cuts what is available at once") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{30}, 300});
  Member.granted(1);
  Member.passTime(Milliseconds(60000));
  Member.configure(2, RequestQuota{RequestRate{3}, 3});
  CHECK(Member.granted(1000) == 2);
}

TEST_CASE("QuotaIssuing: a raised quota does not count for the time before") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{3}, 300});
  Member.granted(1);
  Member.passTime(Milliseconds(2000));
  Member.configure(2, RequestQuota{RequestRate{300}, 300});
  CHECK(Member.granted(1000) == 2);
}

TEST_CASE("QuotaIssuing: the newer of the quotas that relay and member know "
          "applies") {
  MemberFixture Member;
  Member.configure(5, RequestQuota{RequestRate{30}, 297});
  Member.granted(1);
  Member.passTime(Milliseconds(60000));
  // The relay's is older, then newer.
  const auto Older = Member.ask(10, false, 4, {RequestRate{3}, 0});
  REQUIRE(Older);
  CHECK(Older->Count == 10);
  const auto Newer = Member.ask(10, false, 6, {RequestRate{3}, 0});
  REQUIRE(Newer);
  CHECK(Newer->Count == 1);
  // A configuration between the two changes nothing, a newer one does.
  Member.configure(5, RequestQuota{RequestRate{3000}, 3000});
  Member.passTime(Milliseconds(1000));
  CHECK(Member.granted(10) == 1);
  Member.configure(7, RequestQuota{RequestRate{3000}, 3000});
  Member.passTime(Milliseconds(1000));
  CHECK(Member.granted(10) == 10);
}

TEST_CASE(
    "QuotaIssuing: a relay that knows a quota of which the member has not "
    "read is served by it") {
  MemberFixture Member;
  const auto Answer = Member.ask(1, false, 3, {RequestRate{30}, 30});
  REQUIRE(Answer);
  CHECK(Answer->Count == 1);
}

TEST_CASE("QuotaIssuing: a team without a quota gets what it asks for, a team "
          "that is gone gets nothing") {
  MemberFixture Member;
  Member.configure(5, std::nullopt);
  CHECK(Member.granted(50) == 50);
  reduce(Member.State, TeamQuotasConfigured{ConfigVersion(6), {}});
  const auto Denial = Member.ask(1, false, 5);
  REQUIRE(Denial);
  CHECK(Denial->Count == 0);
  CHECK(Denial->NextIn > Milliseconds(0));
}

TEST_CASE(
    "QuotaIssuing: a member without contact to a majority issues nothing, "
    "as it may have been replaced") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{30}, 30});
  CHECK(Member.ask(1));
  Member.passIsolated(Milliseconds(1000));
  CHECK_FALSE(Member.ask(1));
  // One other member of three makes a majority.
  reduce(Member.State,
         LedgerMessageReceived{RelayFixture::member("c").Host, Heartbeat{}});
  CHECK(Member.ask(1));
}

TEST_CASE("QuotaIssuing: a process that is no member issues nothing") {
  MemberFixture Member("other");
  Member.configure(1, RequestQuota{RequestRate{30}, 30});
  CHECK_FALSE(Member.ask(1));
}

TEST_CASE("QuotaIssuing: the use of quotas is reported for the busiest teams") {
  MemberFixture Member;
  const RequestQuota Thirty{RequestRate{30}, 30};
  TeamQuotasConfigured Configured;
  Configured.Version = ConfigVersion(1);
  for (const char *Name : {"idle", "team-1"})
    Configured.Quotas[TeamId(Name)] = Thirty;
  reduce(Member.State, Configured);
  for (int Tick = 0; Tick < 200; ++Tick) {
    Member.passTime(Milliseconds(100));
    Member.granted(100);
  }
  const auto Busiest = busiestTeams(Member.State, 1);
  REQUIRE(Busiest.size() == 1);
  CHECK(Busiest[0].Team == Team);
  CHECK(Busiest[0].UsedShare > 0.9);
  CHECK(Busiest[0].UsedShare < 1.2);
}

TEST_CASE("QuotaIssuing: a burst of programs starts only as many as the quota "
          "serves to their end") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{30}, 30});
  int Started = 0;
  while (Member.askStart().Count > 0)
    ++Started;
  // The burst holds 30 requests, and ten are assumed for a program; the last
  // program may exceed it.
  CHECK(Started == 4);
  const PermitGrant Denied = Member.askStart();
  CHECK(Denied.Denied == 1);
  CHECK(Denied.IsProgramStart);
  CHECK(Denied.NextIn > Milliseconds(0));
  Member.passTime(Denied.NextIn);
  CHECK(Member.askStart().Count == 1);
}

TEST_CASE("QuotaIssuing: programs start at the rate at which the quota serves "
          "their requests") {
  MemberFixture Member;
  Member.configure(1, RequestQuota{RequestRate{30}, 30});
  // Relays report 20 requests for each program that started.
  std::uint32_t Unreported = 0;
  int Started = 0;
  for (int Tick = 0; Tick < 600; ++Tick) {
    Member.passTime(Milliseconds(100));
    const PermitGrant Answer = Member.askStart(Unreported);
    Unreported = 20 * Answer.Count;
    if (300 <= Tick)
      Started += static_cast<int>(Answer.Count);
  }
  // Nine tenths of 30 requests a second for 30 s, 20 for each program.
  CHECK(Started >= 36);
  CHECK(Started <= 45);
}
