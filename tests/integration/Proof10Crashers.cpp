/// \file
/// A request that crashes its target takes down at most two targets before it
/// is quarantined. Guards against retries that spread a poison request over all
/// engines, and against quarantining calls that ran beside it.
#include "Site.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace tanagerlanding::test;

namespace {

constexpr unsigned EngineCount = 4;

std::string targetName(unsigned Engine) {
  return "engine-" + std::to_string(Engine) + "-target";
}

/// Restarts the engines that have exited since they were started. Returns
/// their number.
unsigned restartExitedEngines(Site &Deployment) {
  unsigned ExitCount = 0;
  for (unsigned Engine = 0; Engine < EngineCount; ++Engine) {
    ChildProcess &Target = Deployment.process(targetName(Engine));
    if (Target.awaitExit(std::chrono::milliseconds(0)) < 0)
      continue;
    ++ExitCount;
    Deployment.restart(targetName(Engine));
  }
  return ExitCount;
}

} // namespace

TEST_CASE("Proof10: a crashing request sent repeatedly through all entries") {
  Site Deployment(SiteOptions().withEngines(EngineCount));
  unsigned ExitCount = 0;
  Response Last;
  for (unsigned Number = 0; Number < 12; ++Number) {
    const Program NewProgram{"program-" + std::to_string(Number)};
    Last = send(chatRequest(Deployment.httpPort(Number % 3), NewProgram,
                            "CRASH", "k1"));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    ExitCount += restartExitedEngines(Deployment);
    REQUIRE(Deployment.awaitReady());
  }
  CHECK(ExitCount <= 2);
  CHECK(Last.errorCode() == "quarantined");
  CHECK(Last.errorRan() == "not_run");
}

TEST_CASE("Proof10: concurrent harmless requests are not quarantined") {
  Site Deployment(
      SiteOptions().withEngines(EngineCount).withEngineCapacity(40));
  std::vector<std::future<Response>> ConcurrentCalls;
  for (unsigned Number = 0; Number < 24; ++Number)
    ConcurrentCalls.push_back(std::async(std::launch::async, [&, Number] {
      return sendWithRetry(
          chatRequest(Deployment.httpPort(Number % 3),
                      Program{"good-" + std::to_string(Number)},
                      "good " + std::to_string(Number) + " tokens=60", "k1"));
    }));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  send(chatRequest(Deployment.httpPort(0), Program{"bad"}, "CRASH", "k1"));
  CHECK(restartExitedEngines(Deployment) <= 2);
  for (auto &Each : ConcurrentCalls) {
    const Response Result = Each.get();
    INFO(Result.Body);
    CHECK(Result.Status == 200);
  }
}
