/// \file
/// Targets that stop responding. Guards against calls that stay on a hung
/// engine, and against giving up a non-idempotent or slow call too early.
#include "Site.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace tanagerlanding::test;

TEST_CASE("SilentTarget: calls on a frozen engine are retried on another") {
  Site Deployment(SiteOptions().withEngineCapacity(40));
  std::vector<std::future<Response>> Callers;
  for (unsigned Number = 0; Number < 12; ++Number)
    Callers.push_back(std::async(std::launch::async, [&, Number] {
      const Program Sender{"log-" + std::to_string(Number)};
      // Less than the call's own deadline of 60 s.
      Request Call = chatRequest(Deployment.httpPort(Number % 3), Sender,
                                 "tokens=60", "k1");
      Call.Timeout = std::chrono::seconds(40);
      return sendWithRetry(Call);
    }));
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
  Deployment.process("engine-0-target").signal(SIGSTOP);
  for (auto &Each : Callers) {
    const Response Result = Each.get();
    INFO(Result.Body);
    CHECK(Result.Status == 200);
  }
  Deployment.process("engine-0-target").signal(SIGCONT);
}

TEST_CASE("SilentTarget: a non-idempotent call is not given up") {
  Site Deployment(SiteOptions().withServices(1));
  const Program Log{"log-1"};
  auto Pending = std::async(std::launch::async, [&] {
    return send(serviceRequest(Deployment.httpPort(0), Log, "/log?delay_ms=200",
                               "find 1", "k1"));
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(80));
  Deployment.process("service-0-target").signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  Deployment.process("service-0-target").signal(SIGCONT);
  CHECK(Pending.get().Status == 200);
  CHECK(Deployment.executions()["find 1"] == 1);
}

TEST_CASE("SilentTarget: a response that takes over 30 s is complete") {
  Site Deployment(SiteOptions().withServices(1));
  Request Call = serviceRequest(Deployment.httpPort(0), Program{"log-1"},
                                "/log?delay_ms=33000", "find 1", "k1");
  Call.Timeout = std::chrono::seconds(50);
  CHECK(send(Call).Status == 200);
}
