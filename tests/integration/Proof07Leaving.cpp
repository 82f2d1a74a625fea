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
class Load {
public:
  Load(Site &Deployment, unsigned Callers, bool Streams)
      : Deployment(Deployment) {
    for (unsigned Caller = 0; Caller < Callers; ++Caller)
      this->Threads.emplace_back(
          [this, Caller, Streams] { this->call(Caller, Streams); });
  }

  /// Ends the load and returns all responses.
  std::vector<Response> stop() {
    this->IsOver = true;
    for (std::thread &Each : this->Threads)
      Each.join();
    return this->Answers;
  }

private:
  void call(unsigned Caller, bool Streams) {
    for (unsigned Number = 0; !this->IsOver; ++Number) {
      const std::string Key = std::to_string(Number);
      const std::uint16_t Port = this->Deployment.http(Caller % 3);
      const Program Own{"program-" + std::to_string(Caller)};
      const Request Asked = Streams
                                ? chatRequest(Port, Own, "tokens=12", Key, true)
                                : serviceRequest(Port, Own, "/log?delay_ms=20",
                                                 Own.Id + " " + Key, Key);
      const Response Got = send(Asked);
      // A refused connection reached no process of the deployment.
      if (Got.Status == 0 && Got.Body.empty() && Got.Headers.empty() &&
          this->isDown(Caller % 3))
        continue;
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Answers.push_back(Got);
    }
  }

  bool isDown(unsigned Entry) const {
    return this->Deployment.status(Entry).empty();
  }

  Site &Deployment;
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Threads;
  std::mutex Lock;
  std::vector<Response> Answers;
};

/// Counts interrupted calls: no complete response, an unknown outcome, or a
/// stream without its end marker.
std::size_t countCutOff(const std::vector<Response> &Answers) {
  std::size_t Count = 0;
  for (const Response &Each : Answers) {
    const bool IsRefused = Each.errorRan() == "not_run";
    const bool IsWhole = Each.Status == 200 && (Each.Body.find("data: ") != 0 ||
                                                Each.isWholeStream());
    if (!IsRefused && !IsWhole) {
      ++Count;
      UNSCOPED_INFO(Each.Status << " " << Each.Body);
    }
  }
  return Count;
}

void rest(int Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

} // namespace

TEST_CASE("Proof07: a stopping sidecar interrupts no call") {
  for (const bool Streams : {false, true}) {
    Site Deployment;
    Load Callers(Deployment, 9, Streams);
    rest(300);
    const char *Name = Streams ? "engine-0" : "service-0";
    Deployment.process(Name).signal(SIGTERM);
    CHECK(Deployment.process(Name).awaitExit(ExitLimit) == 0);
    rest(200);
    CHECK(countCutOff(Callers.stop()) == 0);
  }
}

TEST_CASE("Proof07: a stopping entry interrupts no call") {
  for (const bool Streams : {false, true}) {
    Site Deployment;
    Load Callers(Deployment, 9, Streams);
    rest(300);
    Deployment.process("entry-1").signal(SIGTERM);
    CHECK(Deployment.process("entry-1").awaitExit(ExitLimit) == 0);
    // Its shards were handed over without waiting for a lease to expire.
    CHECK(Deployment.ownerOf("program-0", 0) != 1);
    CHECK(Deployment.log("entry-1").find("drain_overdue") == std::string::npos);
    rest(200);
    CHECK(countCutOff(Callers.stop()) == 0);
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
  std::vector<std::future<Response>> Held;
  for (const unsigned Via : {Other, Owner})
    Held.push_back(std::async(std::launch::async, [&, Via] {
      Request Asked = serviceRequest(Deployment.http(Via), Program{Name},
                                     "/log?delay_ms=2000", "slow",
                                     "k" + std::to_string(Via));
      Asked.Headers.push_back("Tanager-Agent: agent-" + std::to_string(Via));
      return send(Asked);
    }));
  rest(300);
  ChildProcess &Leaving = Deployment.process(Site::entryName(Owner));
  Leaving.signal(SIGTERM);
  for (auto &Each : Held)
    CHECK(Each.get().Status == 200);
  CHECK(Leaving.awaitExit(ExitLimit) == 0);
}

TEST_CASE("Proof07: a draining target gets no new work") {
  Site Deployment;
  const Program Slow{"slow-1"};
  auto Held = std::async(std::launch::async, [&] {
    return send(serviceRequest(Deployment.http(0), Slow, "/log?delay_ms=4000",
                               "slow", "k1"));
  });
  rest(100);
  const std::string Before = Deployment.askTarget("service-0", "/executions");
  // The sidecar with the slow call keeps running until it is done; if that is
  // service-1, service-0 may exit at once.
  Deployment.process("service-0").signal(SIGTERM);
  rest(300);
  for (int Number = 0; Number < 30; ++Number)
    CHECK(send(serviceRequest(Deployment.http(Number % 3), Program{"p"}, "/log",
                              "late", "k" + std::to_string(Number)))
              .Status == 200);
  CHECK(Deployment.askTarget("service-0", "/executions") == Before);
  CHECK(Held.get().Status == 200);
}
