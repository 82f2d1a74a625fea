/// \file
/// Draining targets get no new work, and a graceful shutdown interrupts no
/// call. Guards against calls and streams that are aborted, or whose outcome
/// becomes unknown, when a sidecar or an entry gets SIGTERM under load.
#include "Site.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

using namespace tanagerlanding::test;

namespace {

constexpr std::chrono::seconds ExitLimit{20};

/// Callers that send requests until stop() is called.
class LoadGenerator {
public:
  LoadGenerator(Site &Deployment, unsigned Callers, bool IsStreaming)
      : Deployment(Deployment) {
    for (unsigned Caller = 0; Caller < Callers; ++Caller)
      this->Threads.emplace_back(
          [this, Caller, IsStreaming] { this->call(Caller, IsStreaming); });
  }

  /// Ends the load and returns all responses.
  std::vector<Response> stop() {
    this->IsOver = true;
    for (std::thread &Each : this->Threads)
      Each.join();
    return this->Responses;
  }

private:
  void call(unsigned Caller, bool IsStreaming) {
    for (unsigned Number = 0; !this->IsOver; ++Number) {
      const std::string Key = std::to_string(Number);
      const std::uint16_t Port = this->Deployment.httpPort(Caller % 3);
      const Program Sender{"program-" + std::to_string(Caller)};
      const Request Call =
          IsStreaming ? chatRequest(Port, Sender, "tokens=12", Key, true)
                      : serviceRequest(Port, Sender, "/log?delay_ms=20",
                                       Sender.Id + " " + Key, Key);
      const Response Result = send(Call);
      // A refused connection reached no process of the deployment.
      if (Result.Status == 0 && Result.Body.empty() && Result.Headers.empty() &&
          this->isDown(Caller % 3))
        continue;
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Responses.push_back(Result);
    }
  }

  bool isDown(unsigned Entry) const {
    return this->Deployment.status(Entry).empty();
  }

  Site &Deployment;
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Threads;
  std::mutex Lock;
  std::vector<Response> Responses;
};

/// Counts interrupted calls: no complete response, an unknown outcome, or a
/// stream without its end marker.
std::size_t countInterrupted(const std::vector<Response> &Responses) {
  std::size_t Count = 0;
  for (const Response &Each : Responses) {
    const bool IsRefused = Each.errorRan() == "not_run";
    const bool IsWhole = Each.Status == 200 && (Each.Body.find("data: ") != 0 ||
                                                Each.isCompleteStream());
    if (!IsRefused && !IsWhole) {
      ++Count;
      UNSCOPED_INFO(Each.Status << " " << Each.Body);
    }
  }
  return Count;
}

void sleepMillis(int Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

} // namespace

TEST_CASE("Proof07: a stopping sidecar interrupts no call") {
  for (const bool IsStreaming : {false, true}) {
    Site Deployment;
    LoadGenerator Callers(Deployment, 9, IsStreaming);
    sleepMillis(300);
    const char *Name = IsStreaming ? "engine-0" : "service-0";
    Deployment.process(Name).signal(SIGTERM);
    CHECK(Deployment.process(Name).awaitExit(ExitLimit) == 0);
    sleepMillis(200);
    CHECK(countInterrupted(Callers.stop()) == 0);
  }
}

TEST_CASE("Proof07: a stopping entry interrupts no call") {
  for (const bool IsStreaming : {false, true}) {
    Site Deployment;
    LoadGenerator Callers(Deployment, 9, IsStreaming);
    sleepMillis(300);
    Deployment.process("entry-1").signal(SIGTERM);
    CHECK(Deployment.process("entry-1").awaitExit(ExitLimit) == 0);
    // Its shards were handed over without waiting for a lease to expire.
    CHECK(Deployment.ownerOf("program-0", 0) != 1);
    CHECK(Deployment.log("entry-1").find("drain_overdue") == std::string::npos);
    sleepMillis(200);
    CHECK(countInterrupted(Callers.stop()) == 0);
  }
}

TEST_CASE("Proof07: a stopping owner finishes slow calls") {
  Site Deployment;
  // Shard ownership depends on the order in which the entries started; the
  // last one may own no shard.
  const std::string Name = "slow-0";
  const unsigned Owner = Deployment.ownerOf(Name, 0);
  const unsigned Other = Owner == 0 ? 1 : 0;
  // One call through another entry, and one directly through the owner.
  std::vector<std::future<Response>> Pending;
  for (const unsigned Via : {Other, Owner})
    Pending.push_back(std::async(std::launch::async, [&, Via] {
      Request Call = serviceRequest(Deployment.httpPort(Via), Program{Name},
                                    "/log?delay_ms=2000", "slow",
                                    "k" + std::to_string(Via));
      Call.Headers.push_back("Tanager-Agent: agent-" + std::to_string(Via));
      return send(Call);
    }));
  sleepMillis(300);
  ChildProcess &Stopping = Deployment.process(Site::entryName(Owner));
  Stopping.signal(SIGTERM);
  for (auto &Each : Pending)
    CHECK(Each.get().Status == 200);
  CHECK(Stopping.awaitExit(ExitLimit) == 0);
}

TEST_CASE("Proof07: a draining target gets no new work") {
  Site Deployment;
  const Program Slow{"slow-1"};
  auto Pending = std::async(std::launch::async, [&] {
    return send(serviceRequest(Deployment.httpPort(0), Slow,
                               "/log?delay_ms=4000", "slow", "k1"));
  });
  sleepMillis(100);
  const std::string Before = Deployment.queryTarget("service-0", "/executions");
  // The sidecar with the slow call keeps running until it is done; if that is
  // service-1, service-0 may exit at once.
  Deployment.process("service-0").signal(SIGTERM);
  sleepMillis(300);
  for (int Number = 0; Number < 30; ++Number)
    CHECK(send(serviceRequest(Deployment.httpPort(Number % 3), Program{"p"},
                              "/log", "late", "k" + std::to_string(Number)))
              .Status == 200);
  CHECK(Deployment.queryTarget("service-0", "/executions") == Before);
  CHECK(Pending.get().Status == 200);
}
