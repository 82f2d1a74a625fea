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
std::uint64_t totalTokens(const std::vector<Response> &Responses) {
  std::uint64_t Total = 0;
  for (const Response &Each : Responses) {
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
    const Response Result =
        send(serviceRequest(Deployment.httpPort(Number % 3), Loop, "/check",
                            "check", "k" + std::to_string(Number)));
    if (Result.Status == 200)
      ++Ran;
    else
      CHECK(Result.errorCode() == "budget_exhausted");
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
      Request Call = chatRequest(Deployment.httpPort(Number % 3), Shared,
                                 "tokens=20", "k" + std::to_string(Number));
      Call.Headers.push_back("Tanager-Agent: agent-" + std::to_string(Number));
      return send(Call);
    }));
  std::vector<Response> Responses;
  for (auto &Each : Callers)
    Responses.push_back(Each.get());
  for (const Response &Each : Responses)
    CHECK((Each.Status == 200 || Each.errorCode() == "budget_exhausted"));
  CHECK(totalTokens(Responses) > 0);
  CHECK(totalTokens(Responses) <= 200);
}

TEST_CASE("Proof05: the budget holds over takeovers") {
  Site Deployment;
  const Program Log{"log-1", "team-a", 100, 1000};
  std::vector<Response> Responses;
  for (int Round = 0; Round < 3; ++Round) {
    const unsigned Owner = Deployment.ownerOf(Log.Id, 0);
    const unsigned Via = Owner == 0 ? 1 : 0;
    const Request Call = chatRequest(Deployment.httpPort(Via), Log, "tokens=30",
                                     "k" + std::to_string(Round));
    auto First = std::async(std::launch::async, [&] { return send(Call); });
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
    Deployment.process(Site::entryName(Owner)).kill();
    First.get();
    Responses.push_back(sendWithRetry(Call));
    Deployment.restart(Site::entryName(Owner));
    REQUIRE(Deployment.awaitReady());
  }
  for (int Number = 0; Number < 6; ++Number)
    Responses.push_back(
        sendWithRetry(chatRequest(Deployment.httpPort(0), Log, "tokens=30",
                                  "m" + std::to_string(Number))));
  CHECK(totalTokens(Responses) <= 100);
  CHECK(Responses.back().errorCode() == "budget_exhausted");
}
