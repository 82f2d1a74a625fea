/// \file
/// A call that was refused with error.ran "not_run" did not run. Guards against
/// wrong refusals when a target is overloaded, and when targets, sidecars,
/// entries or their connections fail while calls are dispatched.
#include "Site.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

using namespace tanagerlanding::test;

namespace {

/// Sends each body exactly once, from several threads, without retries.
class SingleAttemptCalls {
public:
  explicit SingleAttemptCalls(Site &Deployment) : Deployment(Deployment) {}

  void run(unsigned Callers, unsigned CallsEach, const std::string &Path) {
    std::vector<std::thread> Threads;
    for (unsigned Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([=] { this->call(Caller, CallsEach, Path); });
    for (std::thread &Each : Threads)
      Each.join();
  }

  /// Checks each response against the targets' execution counts. No target may
  /// have been restarted, as that loses its counts.
  void check() {
    std::map<std::string, int> Runs = this->Deployment.executions();
    for (const auto &[Body, Result] : this->Responses) {
      INFO(Body << ": " << Result.Status << " " << Result.Body);
      CHECK(Runs[Body] <= 1);
      if (Result.errorRan() == "not_run")
        CHECK(Runs[Body] == 0);
      if (Result.Status == 200)
        CHECK(Runs[Body] == 1);
    }
  }

  /// Returns the number of responses with this error.ran.
  std::size_t countRan(const std::string &Ran) const {
    std::size_t Count = 0;
    for (const auto &[Body, Result] : this->Responses)
      Count += Result.errorRan() == Ran ? 1 : 0;
    return Count;
  }

  std::size_t countSucceeded() const {
    std::size_t Count = 0;
    for (const auto &[Body, Result] : this->Responses)
      Count += Result.Status == 200 ? 1 : 0;
    return Count;
  }

private:
  void call(unsigned Caller, unsigned Calls, const std::string &Path) {
    for (unsigned Number = 0; Number < Calls; ++Number) {
      const std::string Body =
          "call " + std::to_string(Caller) + "-" + std::to_string(Number);
      const Program Sender{"program-" + std::to_string(Caller)};
      const Response Result =
          send(serviceRequest(this->Deployment.httpPort(Caller % 3), Sender,
                              Path, Body, Body.substr(5)));
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Responses[Body] = Result;
    }
  }

  Site &Deployment;
  std::mutex Lock;
  std::map<std::string, Response> Responses;
};

} // namespace

TEST_CASE("Proof02: refusals of an overloaded target") {
  Site Deployment(SiteOptions().withServices(1));
  SingleAttemptCalls Calls(Deployment);
  // 16 calls run at once and 32 are queued; the rest are refused.
  Calls.run(96, 2, "/log?delay_ms=150");
  Calls.check();
  CHECK(Calls.countRan("not_run") > 0);
  CHECK(Calls.countSucceeded() > 0);
}

TEST_CASE("Proof02: refusals while a sidecar stops and restarts repeatedly") {
  Site Deployment;
  SingleAttemptCalls Calls(Deployment);
  std::atomic<bool> IsOver{false};
  std::thread Faults([&] {
    while (!IsOver) {
      Deployment.process("service-0").signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      Deployment.restart("service-0");
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
  });
  Calls.run(12, 40, "/log?delay_ms=10");
  IsOver = true;
  Faults.join();
  Calls.check();
  CHECK(Calls.countSucceeded() > 0);
}

TEST_CASE("Proof02: connections to targets break after the call ran") {
  Site Deployment;
  SingleAttemptCalls Calls(Deployment);
  std::atomic<bool> IsOver{false};
  std::thread Faults([&] {
    while (!IsOver) {
      for (const char *Name : {"service-0-target", "service-1-target"}) {
        std::this_thread::sleep_for(std::chrono::milliseconds(25));
        Deployment.proxy(Name).closeConnections();
      }
    }
  });
  Calls.run(12, 30, "/log?linger_ms=20");
  IsOver = true;
  Faults.join();
  Calls.check();
  CHECK(Calls.countRan("unknown") > 0);
  CHECK(Calls.countSucceeded() > 0);
}

TEST_CASE("Proof02: refusals while entries stop and are killed under load") {
  Site Deployment;
  SingleAttemptCalls Calls(Deployment);
  std::thread Faults([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    Deployment.process("entry-1").signal(SIGTERM);
    Deployment.process("entry-1").awaitExit(std::chrono::seconds(20));
    Deployment.restart("entry-1");
    std::this_thread::sleep_for(std::chrono::milliseconds(2500));
    Deployment.process("entry-2").kill();
    Deployment.restart("entry-2");
  });
  Calls.run(12, 250, "/log?delay_ms=10");
  Faults.join();
  Calls.check();
  CHECK(Calls.countSucceeded() > 0);
}
