/// Tests of what is known of the limits that targets name, and of the buckets
/// that issue permits.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

const TargetRun Run{TargetId("t"), 7};
const std::optional<RequestRate> Six = RequestRate{6};
const std::optional<RequestRate> Nine = RequestRate{9};

Instant at(int Millis) { return Instant{Milliseconds(Millis)}; }

/// Merges an answer received at a time to a request sent at another.
LimitChange answer(LimitTable &Table, std::optional<RequestRate> Limit,
                   int SentAt, int AnsweredAt) {
  return mergeObservation(Table, Run,
                          LimitObservation{Limit, at(SentAt), at(AnsweredAt)});
}

} // namespace

TEST_CASE("Limits: a newer answer changes or ends a limit") {
  LimitTable Table;
  CHECK(answer(Table, std::nullopt, 0, 10) == LimitChange::None);
  CHECK(answer(Table, Six, 10, 20) == LimitChange::Named);
  CHECK(answer(Table, Nine, 30, 40) == LimitChange::Changed);
  CHECK(limitOf(Table, Run) == Nine);
  CHECK(answer(Table, std::nullopt, 50, 60) == LimitChange::Ended);
  CHECK_FALSE(limitOf(Table, Run));
}

TEST_CASE("Limits: an answer to a request that was sent before the last answer "
          "ends or raises nothing") {
  LimitTable Table;
  answer(Table, Six, 10, 100);
  CHECK(answer(Table, std::nullopt, 50, 200) == LimitChange::None);
  CHECK(answer(Table, Nine, 50, 200) == LimitChange::None);
  CHECK(limitOf(Table, Run) == Six);
  // The same value again is the newest that is known.
  CHECK(answer(Table, Six, 60, 300) == LimitChange::None);
  CHECK(answer(Table, std::nullopt, 250, 310) == LimitChange::None);
  CHECK(answer(Table, std::nullopt, 300, 320) == LimitChange::Ended);
}

TEST_CASE("Limits: of overlapping answers the lower limit holds") {
  LimitTable Table;
  answer(Table, Nine, 10, 100);
  CHECK(answer(Table, Six, 50, 90) == LimitChange::Changed);
  CHECK(limitOf(Table, Run) == Six);
  answer(Table, std::nullopt, 200, 210);
  CHECK(answer(Table, Nine, 205, 220) == LimitChange::Named);
}

TEST_CASE("Limits: another run under the same id has no limit") {
  LimitTable Table;
  answer(Table, Six, 10, 20);
  CHECK_FALSE(limitOf(Table, TargetRun{TargetId("t"), 8}));
}

TEST_CASE("Limits: notices carry limits to processes with another clock") {
  LimitTable Table;
  answer(Table, Six, 1000, 1200);
  const auto Notices = allNotices(Table, at(1500));
  REQUIRE(Notices.size() == 1);
  LimitTable Other;
  CHECK(mergeNotice(Other, Notices[0], at(90000)) == LimitChange::Named);
  CHECK(Other.Observations.at(Run).AnsweredAt.SinceStart ==
        Milliseconds(89700));
  CHECK(mergeNotice(Other, Notices[0], at(90000)) == LimitChange::None);
  expireLimits(Other, Milliseconds(1000), at(90500));
  CHECK(limitOf(Other, Run) == Six);
  expireLimits(Other, Milliseconds(1000), at(91000));
  CHECK_FALSE(limitOf(Other, Run));
}

TEST_CASE("Limits: idle time allows no burst") {
  PermitBucket Bucket{0, at(0)};
  Bucket.accrue(RequestRate{2}, at(400));
  CHECK_FALSE(Bucket.take());
  Bucket.accrue(RequestRate{2}, at(60000));
  CHECK(Bucket.take());
  CHECK_FALSE(Bucket.take());
}

TEST_CASE("Limits: a bucket issues high rates in full") {
  PermitBucket Bucket{0, at(0)};
  int Issued = 0;
  for (int Millis = 100; Millis <= 10000; Millis += 100) {
    Bucket.accrue(RequestRate{200}, at(Millis));
    while (Bucket.take())
      ++Issued;
  }
  CHECK(Issued >= 1999);
  CHECK(Issued <= 2000);
}
