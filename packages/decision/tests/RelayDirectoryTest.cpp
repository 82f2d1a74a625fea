/// Tests what a relay keeps of a target that starts again under its id.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

// What was learned of the former process, which prompts it caches or that it is
// leaving, does not hold for the new one.
TEST_CASE("Directory: a target that starts again under its id is a new run") {
  RelayFixture Fixture;
  Fixture.makeReady();
  RegisteredTarget Entry = Fixture.State.Targets.at(TargetId("t1")).Entry;
  Entry.StartedAtMillis = 5;
  Fixture.apply(TargetRegistered{Entry});
  auto &Locations = Fixture.State.PromptCacheLocations;
  Locations["first"] = PromptCacheLocation{TargetId("t1"), Fixture.State.Now};
  Locations["other"] = PromptCacheLocation{TargetId("t2"), Fixture.State.Now};
  Fixture.State.LeavingRuns[Entry.run()] = Fixture.State.Now;
  RelayTarget &Known = Fixture.State.Targets.at(TargetId("t1"));
  Known.Load.Report.Running = 9;
  Known.Load.ReportedAt = Fixture.State.Now;
  SECTION("the same run") {
    Fixture.apply(TargetRegistered{Entry});
    CHECK(Locations.count("first") == 1);
    CHECK(Fixture.State.LeavingRuns.count(Known.Entry.run()) == 1);
    CHECK(Known.Load.Report.Running == 9);
    CHECK(Known.Load.ReportedAt);
  }
  SECTION("another run") {
    Entry.StartedAtMillis = 6;
    Fixture.apply(TargetRegistered{Entry});
    CHECK(Locations.count("first") == 0);
    CHECK(Fixture.State.LeavingRuns.count(Known.Entry.run()) == 0);
    CHECK(Known.Load.Report.Running == 0);
    CHECK_FALSE(Known.Load.ReportedAt);
  }
  CHECK(Locations.count("other") == 1);
}
