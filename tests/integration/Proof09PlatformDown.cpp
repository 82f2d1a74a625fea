/// \file
/// Programs continue while the platform's key-value service is down or slow.
/// Guards against a dependency of the call path on the service, and against
/// calls that are accepted without a replica when it is unavailable.
#include "Site.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace tanagerlanding::test;

namespace {

/// Sends calls of a few new programs and checks that each succeeds.
void checkCalls(Site &Deployment, const std::string &Round) {
  for (unsigned Number = 0; Number < 6; ++Number) {
    const Program NewProgram{"fresh-" + Round + "-" + std::to_string(Number)};
    CHECK(send(chatRequest(Deployment.httpPort(Number % 3), NewProgram, "hello",
                           "k1"))
              .Status == 200);
    CHECK(send(serviceRequest(Deployment.httpPort(Number % 3), NewProgram,
                              "/log", NewProgram.Id, "k2"))
              .Status == 200);
    CHECK(Deployment.executions()[NewProgram.Id] == 1);
  }
}

} // namespace

TEST_CASE("Proof09: programs continue while the service is down or slow") {
  Site Deployment;
  checkCalls(Deployment, "before");
  for (const char *Mode : {"down", "slow"}) {
    Deployment.setPlatformMode(Mode);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    checkCalls(Deployment, Mode);
  }
}

TEST_CASE("Proof09: without service and replica, calls are refused at once") {
  Site Deployment(SiteOptions().withShards(1));
  const Program Log{"log-1"};
  REQUIRE(
      send(serviceRequest(Deployment.httpPort(0), Log, "/log", "first", "k1"))
          .Status == 200);
  const unsigned Owner = Deployment.ownerOf(Log.Id, 0);
  Deployment.setPlatformMode("down");
  for (unsigned Entry = 0; Entry < 3; ++Entry) {
    if (Entry != Owner)
      Deployment.process(Site::entryName(Entry)).kill();
  }
  const Request Call =
      serviceRequest(Deployment.httpPort(Owner), Log, "/log", "second", "k2");
  const Response Refused = send(Call);
  CHECK(Refused.errorCode() == "not_durable");
  CHECK(Refused.errorRan() == "not_run");
  CHECK(Refused.Headers.count("Retry-After") == 1);
  CHECK(Deployment.executions().count("second") == 0);

  // Once the replicas are back, calls succeed again and nothing was lost.
  for (unsigned Entry = 0; Entry < 3; ++Entry) {
    if (Entry != Owner)
      Deployment.restart(Site::entryName(Entry));
  }
  Deployment.setPlatformMode("ok");
  const Response Accepted = sendWithRetry(Call);
  CHECK(Accepted.Status == 200);
  CHECK(Deployment.executions()["second"] == 1);
  CHECK(sendWithRetry(serviceRequest(Deployment.httpPort(Owner), Log, "/log",
                                     "first", "k1"))
            .Status == 200);
  CHECK(Deployment.executions()["first"] == 1);
}

TEST_CASE("Proof09: a takeover's write takes effect but its response is lost") {
  Site Deployment;
  const Program Log{"log-1"};
  REQUIRE(send(chatRequest(Deployment.httpPort(0), Log, "one", "k1")).Status ==
          200);
  const unsigned Owner = Deployment.ownerOf(Log.Id, 0);
  const unsigned Via = Owner == 0 ? 1 : 0;
  Deployment.setPlatformMode("lose_answers");
  Deployment.process(Site::entryName(Owner)).kill();
  const Response Next =
      sendWithRetry(chatRequest(Deployment.httpPort(Via), Log, "two", "k2"));
  CHECK(Next.content().find("re[3]: two") == 0);
}

TEST_CASE("Proof09: programs cause no calls to the service") {
  Site Deployment;
  const std::uint64_t Before = Deployment.platformCallCount();
  const auto Start = std::chrono::steady_clock::now();
  checkCalls(Deployment, "count");
  for (int Number = 0; Number < 60; ++Number)
    send(chatRequest(Deployment.httpPort(Number % 3),
                     Program{"p" + std::to_string(Number)}, "hello", "k1"));
  const std::chrono::duration<double> Elapsed =
      std::chrono::steady_clock::now() - Start;
  // Each of the three entries polls twice a second, independent of programs.
  const double Polls = 3 * (2 * Elapsed.count() + 2);
  CHECK(static_cast<double>(Deployment.platformCallCount() - Before) <= Polls);
}
