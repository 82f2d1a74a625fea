/// \file
/// A program never exceeds its budget of calls or tokens. Guards against
/// overspending in endless loops, by parallel sub-agents, and when owners die
/// during calls.
#include "Site.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace tanagerlanding::test;

namespace {

/// Returns the completion tokens of all successful responses.
std::uint64_t tokensOf(const std::vector<Response> &Answers) {
  std::uint64_t Total = 0;
  for (const Response &Each : Answers) {
    const auto Object = nlohmann::json::parse(Each.Body, nullptr, false);
    if (Each.Status == 200 && Object.is_object())
      Total += Object["usage"]["completion_tokens"].get<std::uint64_t>();
  }
  return Total;
}

} // namespace

TEST_CASE("Proof05: an endless loop ends at the budget of calls") {
  Site Deployment;
  const Program Loop{"loop-1", "team-a", 100000, 12};
  unsigned Ran = 0;
  for (int Number = 0; Number < 20; ++Number) {
    const Response Got =
        send(serviceRequest(Deployment.http(Number % 3), Loop, "/check",
                            "check", "k" + std::to_string(Number)));
    if (Got.Status == 200)
      ++Ran;
    else
      CHECK(Got.errorCode() == "budget_exhausted");
  }
  CHECK(Ran == 12);
  CHECK(Deployment.executions()["check"] == 12);
}

TEST_CASE("Proof05: parallel sub-agents share one budget of tokens") {
  Site Deployment(SiteOptions().withEngineCapacity(40));
  const Program Shared{"shared-1", "team-a", 200, 1000};
  std::vector<std::future<Response>> Callers;
  for (int Number = 0; Number < 24; ++Number)
    Callers.push_back(std::async(std::launch::async, [&, Number] {
      Request Asked = chatRequest(Deployment.http(Number % 3), Shared,
                                  "tokens=20", "k" + std::to_string(Number));
      Asked.Headers.push_back("Tanager-Agent: agent-" + std::to_string(Number));
      return send(Asked);
    }));
  std::vector<Response> Answers;
  for (auto &Each : Callers)
    Answers.push_back(Each.get());
  for (const Response &Each : Answers)
    CHECK((Each.Status == 200 || Each.errorCode() == "budget_exhausted"));
  CHECK(tokensOf(Answers) > 0);
  CHECK(tokensOf(Answers) <= 200);
}

TEST_CASE("Proof05: the budget holds over takeovers") {
  Site Deployment;
  const Program Log{"log-1", "team-a", 100, 1000};
  std::vector<Response> Answers;
  for (int Round = 0; Round < 3; ++Round) {
    const unsigned Owner = Deployment.ownerOf(Log.Id, 0);
    const unsigned Via = Owner == 0 ? 1 : 0;
    const Request Asked = chatRequest(Deployment.http(Via), Log, "tokens=30",
                                      "k" + std::to_string(Round));
    auto First = std::async(std::launch::async, [&] { return send(Asked); });
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
    Deployment.process(Site::entryName(Owner)).kill();
    First.get();
    Answers.push_back(sendUntilTaken(Asked));
    Deployment.restart(Site::entryName(Owner));
    REQUIRE(Deployment.awaitReady());
  }
  for (int Number = 0; Number < 6; ++Number)
    Answers.push_back(sendUntilTaken(chatRequest(
        Deployment.http(0), Log, "tokens=30", "m" + std::to_string(Number))));
  CHECK(tokensOf(Answers) <= 100);
  CHECK(Answers.back().errorCode() == "budget_exhausted");
}
