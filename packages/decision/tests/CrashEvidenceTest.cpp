/// Tests of the evidence against contents that crash their targets, and of the
/// decision which contents are quarantined.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

const Instant Start{Milliseconds(1000000)};
const Fingerprint Guilty(1);
const Fingerprint Beside(2);

TargetRun runOf(int Number) {
  return TargetRun{TargetId("t" + std::to_string(Number)), Number};
}

QuarantineTable sharedTable() {
  return QuarantineTable(SharedRunPolicy{}, SharedContentLimit);
}

/// Records a crash of the run with this number, one second after the one with
/// the number before.
void crash(QuarantineTable &Table, Fingerprint Content, int Number,
           CrashExposure Exposure = CrashExposure::BeforeOutput) {
  recordCrash(Table, Content, runOf(Number),
              {Exposure, Start + Milliseconds(1000 * Number)});
}

Instant after(int Number) { return Start + Milliseconds(1000 * Number + 500); }

} // namespace

TEST_CASE("CrashEvidence: four crashes without output quarantine a content") {
  QuarantineTable Table = sharedTable();
  CHECK(statusOf(Table, Guilty) == ContentStatus::Trusted);
  for (int Number = 1; Number <= 3; ++Number)
    crash(Table, Guilty, Number);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
  crash(Table, Guilty, 4);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
  CHECK(quarantineTimeLeft(Table, Guilty, after(4)) ==
        Table.Retention - Milliseconds(500));
}

TEST_CASE("CrashEvidence: targets that crash at the same time count once") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 9; ++Number)
    recordCrash(
        Table, Guilty, runOf(Number),
        {CrashExposure::BeforeOutput, Start + Milliseconds(11 * Number)});
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
  crash(Table, Guilty, 10);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: a content that lost four targets by chance is not "
          "quarantined") {
  QuarantineTable Table = sharedTable();
  SECTION("another content was in flight in three of them") {
    for (int Number = 1; Number <= 3; ++Number)
      crash(Table, Guilty, Number);
    for (int Number = 1; Number <= 4; ++Number)
      crash(Table, Beside, Number);
  }
  SECTION("two more crashed without it") {
    crash(Table, Fingerprint(3), 1);
    crash(Table, Fingerprint(3), 2);
    for (int Number = 3; Number <= 6; ++Number)
      crash(Table, Beside, Number);
  }
  SECTION("they belong to a convicted content") {
    for (int Number = 1; Number <= 4; ++Number)
      crash(Table, Guilty, Number);
    REQUIRE(statusOf(Table, Guilty) == ContentStatus::Quarantined);
    for (int Number = 1; Number <= 4; ++Number)
      crash(Table, Beside, Number);
    crash(Table, Beside, 5);
  }
  CHECK(statusOf(Table, Beside) == ContentStatus::Suspect);
}

TEST_CASE("CrashEvidence: crashes of one crashing content are no explanation "
          "for those of another") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Beside, Number);
  for (int Number = 5; Number <= 8; ++Number)
    crash(Table, Guilty, Number);
  CHECK(statusOf(Table, Beside) == ContentStatus::Quarantined);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: a crash that several processes report counts once") {
  QuarantineTable Table = sharedTable();
  for (int Report = 0; Report < 5; ++Report)
    crash(Table, Guilty, 1);
  CHECK(crashCountOf(Table, Guilty) == 1);
}

TEST_CASE("CrashEvidence: a content beside the guilty one twice is not "
          "quarantined with it") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Guilty, Number);
  for (int Number = 1; Number <= 2; ++Number)
    crash(Table, Beside, Number);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
  CHECK(statusOf(Table, Beside) == ContentStatus::Suspect);
}

TEST_CASE(
    "CrashEvidence: a content beside the guilty one three times that loses "
    "a fourth target by chance is not quarantined") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 3; ++Number) {
    crash(Table, Guilty, Number);
    crash(Table, Beside, Number);
  }
  crash(Table, Beside, 4);
  CHECK(statusOf(Table, Beside) == ContentStatus::Suspect);
  crash(Table, Guilty, 5);
  crash(Table, Guilty, 6);
  CHECK(statusOf(Table, Beside) == ContentStatus::Suspect);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: of two contents in the same four crashes neither is "
          "quarantined until they differ") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number) {
    crash(Table, Guilty, Number);
    crash(Table, Beside, Number);
  }
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
  CHECK(statusOf(Table, Beside) == ContentStatus::Suspect);
  SECTION("the other one ran to completion") {
    clearContent(Table, Beside, after(4));
  }
  SECTION("the other one was not in the next crash") {
    crash(Table, Guilty, 5);
  }
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
  CHECK(statusOf(Table, Beside) != ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: while targets crash without a content, four crashes "
          "do not quarantine it") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Beside, Number);
  // What else was in flight then has been answered since.
  clearContent(Table, Beside, after(4));
  for (int Number = 5; Number <= 8; ++Number)
    crash(Table, Guilty, Number);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
  crash(Table, Guilty, 9);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: later crashes without a quarantined content do not "
          "release it") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Guilty, Number);
  for (int Number = 5; Number <= 9; ++Number)
    crash(Table, Beside, Number);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: five crashes quarantine a content in any case") {
  QuarantineTable Table = sharedTable();
  SECTION("with another content in all of them") {
    for (int Number = 1; Number <= 5; ++Number) {
      crash(Table, Guilty, Number);
      crash(Table, Beside, Number);
    }
  }
  SECTION("after output") {
    for (int Number = 1; Number <= 4; ++Number)
      crash(Table, Guilty, Number, CrashExposure::AfterOutput);
    CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
    crash(Table, Guilty, 5, CrashExposure::AfterOutput);
  }
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: a complete run voids the crashes before it") {
  QuarantineTable Table = sharedTable();
  crash(Table, Guilty, 1);
  crash(Table, Guilty, 2);
  const SuspectNotice Late = noticeOf(Table, Guilty, after(2));
  CHECK(clearContent(Table, Guilty, after(2)));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Trusted);
  // Evidence that was on its way does not revive the suspicion.
  mergeNotice(Table, Late, after(2));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Trusted);
  crash(Table, Guilty, 3);
  CHECK(crashCountOf(Table, Guilty) == 1);
}

TEST_CASE("CrashEvidence: processes that exchange notices agree") {
  QuarantineTable Left = sharedTable();
  QuarantineTable Right = sharedTable();
  crash(Left, Guilty, 1);
  crash(Left, Guilty, 2);
  crash(Right, Guilty, 2);
  crash(Right, Guilty, 3);
  crash(Right, Guilty, 4);
  CHECK(mergeNotice(Left, noticeOf(Right, Guilty, after(4)), after(4)));
  CHECK(mergeNotice(Right, noticeOf(Left, Guilty, after(4)), after(4)));
  CHECK_FALSE(mergeNotice(Right, noticeOf(Left, Guilty, after(4)), after(4)));
  CHECK(statusOf(Left, Guilty) == ContentStatus::Quarantined);
  CHECK(statusOf(Right, Guilty) == ContentStatus::Quarantined);
  clearContent(Left, Guilty, after(4));
  CHECK(mergeNotice(Right, noticeOf(Left, Guilty, after(4)), after(4)));
  CHECK(statusOf(Right, Guilty) == ContentStatus::Trusted);
}

TEST_CASE("CrashEvidence: notices that only count crashes are understood") {
  QuarantineTable Table(IsolatedRunPolicy{}, EntryContentLimit);
  SuspectNotice Notice;
  Notice.Content = Guilty;
  Notice.CrashCount = 1;
  mergeNotice(Table, Notice, after(1));
  mergeNotice(Table, Notice, after(1));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
  Notice.CrashCount = 2;
  mergeNotice(Table, Notice, after(2));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
  Notice.CrashCount = 0;
  mergeNotice(Table, Notice, after(3));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Trusted);
}

TEST_CASE("CrashEvidence: where contents can be isolated, crashes beside "
          "others count as one") {
  QuarantineTable Table(IsolatedRunPolicy{}, EntryContentLimit);
  crash(Table, Guilty, 1);
  crash(Table, Guilty, 2);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
  crash(Table, Guilty, 3, CrashExposure::Alone);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}

TEST_CASE("CrashEvidence: refuted crashes do not count") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Guilty, Number);
  REQUIRE(statusOf(Table, Guilty) == ContentStatus::Quarantined);
  Table.RefutedRuns.insert(runOf(2));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Suspect);
}

TEST_CASE("CrashEvidence: a quarantine ends after the retention") {
  QuarantineTable Table = sharedTable();
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Guilty, Number);
  const Instant End = Start + Milliseconds(4000) + Table.Retention;
  expireEvidence(Table, End - Milliseconds(1));
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
  expireEvidence(Table, End);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Trusted);
  CHECK(Table.Contents.empty());
}

TEST_CASE("CrashEvidence: a flood of contents does not displace those with "
          "several crashes") {
  QuarantineTable Table = sharedTable();
  Table.ContentLimit = 50;
  for (int Number = 1; Number <= 4; ++Number)
    crash(Table, Guilty, Number);
  for (std::uint64_t Number = 0; Number < 1000; ++Number)
    crash(Table, Fingerprint(1000 + Number), 5);
  expireEvidence(Table, after(5));
  CHECK(Table.Contents.size() == 50);
  CHECK(statusOf(Table, Guilty) == ContentStatus::Quarantined);
}
