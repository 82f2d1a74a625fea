/// \file
/// Engines release cached prefixes of programs that are gone. Guards against
/// leaked engine memory when programs end or go idle, callers disconnect,
/// owners die, or sidecars restart; prefixes of live programs must stay.
#include "Site.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace tanagerlanding::test;

namespace {

/// Returns the number of prefixes that the two engines hold.
std::size_t countHeldPrefixes(const Site &Deployment) {
  std::size_t Count = 0;
  for (const char *Name : {"engine-0", "engine-1"}) {
    const auto Stats = nlohmann::json::parse(
        Deployment.queryTarget(Name, "/stats"), nullptr, false);
    if (Stats.is_object())
      Count += Stats["held_prefixes"].size();
  }
  return Count;
}

void takeTurns(Site &Deployment, int Programs) {
  for (int Number = 0; Number < Programs; ++Number) {
    const Program Log{"log-" + std::to_string(Number)};
    for (int Turn = 0; Turn < 2; ++Turn)
      REQUIRE(send(chatRequest(Deployment.httpPort(Number % 3), Log, "hello",
                               "k" + std::to_string(Turn)))
                  .Status == 200);
  }
}

SiteOptions longHoldOptions() {
  return SiteOptions().withPrefixHoldMillis(600000);
}

} // namespace

TEST_CASE("Proof06: programs that end") {
  Site Deployment(longHoldOptions());
  takeTurns(Deployment, 12);
  CHECK(countHeldPrefixes(Deployment) == 12);
  for (int Number = 0; Number < 12; ++Number) {
    Request End = chatRequest(Deployment.httpPort(0),
                              Program{"log-" + std::to_string(Number)}, "", "");
    End.Method = "DELETE";
    End.Url = "http://127.0.0.1:" + std::to_string(Deployment.httpPort(0)) +
              "/v1/programs/log-" + std::to_string(Number);
    End.Body.clear();
    CHECK(send(End).Status == 200);
  }
  CHECK(waitFor([&] { return countHeldPrefixes(Deployment) == 0; }));
}

TEST_CASE("Proof06: programs that go idle") {
  Site Deployment(longHoldOptions().withProgramIdleMillis(1000));
  takeTurns(Deployment, 6);
  CHECK(waitFor([&] { return countHeldPrefixes(Deployment) == 0; }));
}

TEST_CASE("Proof06: callers that disconnect") {
  Site Deployment(SiteOptions().withPrefixHoldMillis(500));
  for (int Number = 0; Number < 6; ++Number) {
    Request Call = chatRequest(Deployment.httpPort(0),
                               Program{"gone-" + std::to_string(Number)},
                               "tokens=60", "k", true);
    Call.DisconnectAfterBytes = 1;
    send(Call);
  }
  CHECK(waitFor([&] { return countHeldPrefixes(Deployment) == 0; }));
}

TEST_CASE("Proof06: all owners die and don't come back") {
  Site Deployment(longHoldOptions());
  takeTurns(Deployment, 6);
  REQUIRE(countHeldPrefixes(Deployment) == 6);
  for (unsigned Entry = 0; Entry < 3; ++Entry)
    Deployment.process(Site::entryName(Entry)).kill();
  CHECK(waitFor([&] { return countHeldPrefixes(Deployment) == 0; }));
}

TEST_CASE("Proof06: the programs end while their sidecars are restarted") {
  Site Deployment(longHoldOptions().withProgramIdleMillis(1500));
  takeTurns(Deployment, 6);
  Deployment.restart("engine-0");
  Deployment.restart("engine-1");
  CHECK(waitFor([&] { return countHeldPrefixes(Deployment) == 0; }));
}

TEST_CASE("Proof06: live programs keep their prefixes over a takeover") {
  Site Deployment(longHoldOptions());
  takeTurns(Deployment, 6);
  Deployment.process("entry-0").kill();
  // Longer than the prefix lease of 2 s and the takeover together.
  std::this_thread::sleep_for(std::chrono::seconds(7));
  CHECK(countHeldPrefixes(Deployment) == 6);
}
