/// \file
/// A non-idempotent request runs at most once. Guards against a second run
/// after the owner, sidecar, target or a connection fails between dispatch and
/// response, when the caller retries with the same idempotency key.
#include "Site.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <random>
#include <set>
#include <thread>

using namespace tanagerlanding::test;

namespace {

constexpr std::uint32_t Seed = 20261203;
/// Upper bound of a takeover, with slack for a busy machine.
constexpr std::chrono::seconds TakeoverLimit{30};
/// Duration of calls that have to run on until a fault is injected after they
/// were seen to begin. With 300 to 400 ms a fault on a busy machine can come
/// too late, as processes are not scheduled for 100 ms and more there.
const std::string RunMillis = "1000";

std::future<Response> sendAsync(const Request &Call) {
  return std::async(std::launch::async, [Call] { return send(Call); });
}

/// Returns an entry other than Other.
unsigned otherEntry(unsigned Other) { return Other == 0 ? 1 : 0; }

} // namespace

TEST_CASE("Proof01: the owner dies while the target runs the call") {
  Site Deployment;
  const Program Log{"log-1"};
  const unsigned Owner = Deployment.awaitOwnerOf(Log.Id);
  const unsigned Via = otherEntry(Owner);
  const Request Post =
      serviceRequest(Deployment.httpPort(Via), Log,
                     "/log?delay_ms=" + RunMillis, "find 1", "k1");
  auto First = sendAsync(Post);
  REQUIRE(Deployment.awaitStart("find 1"));
  Deployment.process(Site::entryName(Owner)).kill();
  const Response Lost = First.get();
  CHECK(Lost.errorRan() == "unknown");

  const Response Repeated = sendWithRetry(Post, nullptr, TakeoverLimit);
  CHECK(Repeated.Status == 200);
  CHECK(Deployment.executions()["find 1"] == 1);
  CHECK(send(Post).Body == Repeated.Body);
}

TEST_CASE("Proof01: the owner dies at any moment of a call") {
  Site Deployment;
  std::mt19937 Random(Seed);
  std::uniform_int_distribution<int> KillAfterMicros(0, 12000);
  for (int Round = 0; Round < 8; ++Round) {
    const Program Log{"log-" + std::to_string(Round)};
    const std::string Body = "find " + std::to_string(Round);
    const unsigned Owner = Deployment.awaitOwnerOf(Log.Id);
    const unsigned Via = otherEntry(Owner);
    const Request Post = serviceRequest(Deployment.httpPort(Via), Log,
                                        "/log?delay_ms=3", Body, "k");
    auto First = sendAsync(Post);
    std::this_thread::sleep_for(
        std::chrono::microseconds(KillAfterMicros(Random)));
    Deployment.process(Site::entryName(Owner)).kill();
    First.get();
    const Response Repeated = sendWithRetry(Post, nullptr, TakeoverLimit);
    INFO("round " << Round << ": " << Repeated.Body);
    CHECK(Repeated.Status == 200);
    CHECK(Deployment.executions()[Body] == 1);
    Deployment.restart(Site::entryName(Owner));
    REQUIRE(Deployment.awaitReady());
  }
}

TEST_CASE("Proof01: the sidecar dies while its target runs the call") {
  Site Deployment(SiteOptions().withServices(1));
  const Program Log{"log-1"};
  const Request Post =
      serviceRequest(Deployment.httpPort(0), Log, "/log?delay_ms=" + RunMillis,
                     "find 1", "k1");
  auto First = sendAsync(Post);
  REQUIRE(Deployment.awaitStart("find 1"));
  Deployment.restart("service-0");
  const Response Result = First.get();
  CHECK(Result.errorRan() == "unknown");
  REQUIRE(Deployment.awaitReady());
  // The outcome was lost with the sidecar, so the call must not run again.
  const Response Repeated = sendWithRetry(Post);
  CHECK(Repeated.errorRan() == "unknown");
  CHECK(Deployment.executions()["find 1"] <= 1);
}

TEST_CASE("Proof01: the target dies while it runs the call") {
  Site Deployment;
  const Program Log{"log-1"};
  const Request Post =
      serviceRequest(Deployment.httpPort(0), Log, "/log?delay_ms=" + RunMillis,
                     "find 1", "k1");
  auto First = sendAsync(Post);
  REQUIRE(Deployment.awaitStart("find 1"));
  Deployment.process("service-0-target").kill();
  Deployment.process("service-1-target").kill();
  CHECK(First.get().errorRan() == "unknown");
  Deployment.restart("service-0-target");
  Deployment.restart("service-1-target");
  CHECK(sendWithRetry(Post).errorRan() == "unknown");
  CHECK(Deployment.executions()["find 1"] == 0);
}

TEST_CASE("Proof01: the connection between target and sidecar is cut") {
  Site Deployment;
  const Program Log{"log-1"};
  const Request Post =
      serviceRequest(Deployment.httpPort(0), Log, "/log?linger_ms=" + RunMillis,
                     "find 1", "k1");
  auto First = sendAsync(Post);
  REQUIRE(Deployment.awaitStart("find 1"));
  Deployment.proxy("service-0-target").closeConnections();
  Deployment.proxy("service-1-target").closeConnections();
  CHECK(First.get().errorRan() == "unknown");
  CHECK(sendWithRetry(Post).errorRan() == "unknown");
  CHECK(Deployment.executions()["find 1"] == 1);
}

TEST_CASE("Proof01: the response is lost between sidecar and owner") {
  Site Deployment;
  const Program Log{"log-1"};
  const Request Post =
      serviceRequest(Deployment.httpPort(0), Log, "/log?delay_ms=" + RunMillis,
                     "find 1", "k1");
  auto First = sendAsync(Post);
  REQUIRE(Deployment.awaitStart("find 1"));
  for (const char *Sidecar : {"service-0", "service-1"}) {
    Deployment.proxy(Sidecar).setDiscardingResponses(true);
  }
  REQUIRE(waitFor([&] { return Deployment.executions()["find 1"] > 0; }));
  // The run has ended; its response needs some time to reach the proxy.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  for (const char *Sidecar : {"service-0", "service-1"}) {
    Deployment.proxy(Sidecar).setDiscardingResponses(false);
    Deployment.proxy(Sidecar).closeConnections();
  }
  // The sidecar kept the outcome, and the owner queries it on reconnecting.
  CHECK(First.get().Status == 200);
  CHECK(Deployment.executions()["find 1"] == 1);
}

TEST_CASE("Proof01: the same key arrives through all entries at once") {
  Site Deployment;
  for (int Round = 0; Round < 10; ++Round) {
    const Program Log{"log-" + std::to_string(Round)};
    const std::string Body = "find " + std::to_string(Round);
    std::vector<std::future<Response>> Callers;
    for (unsigned Via = 0; Via < 6; ++Via)
      Callers.push_back(sendAsync(serviceRequest(Deployment.httpPort(Via % 3),
                                                 Log, "/log", Body, "k")));
    std::set<std::string> Bodies;
    for (auto &Each : Callers) {
      const Response Result = Each.get();
      CHECK(Result.Status == 200);
      Bodies.insert(Result.Body);
    }
    CHECK(Bodies.size() == 1);
    CHECK(Deployment.executions()[Body] == 1);
  }
}

TEST_CASE("Proof01: the owner is frozen, taken over, and resumed") {
  Site Deployment;
  for (int Round = 0; Round < 3; ++Round) {
    const Program Log{"log-" + std::to_string(Round)};
    const std::string Body = "find " + std::to_string(Round);
    const unsigned Owner = Deployment.awaitOwnerOf(Log.Id);
    const unsigned Via = otherEntry(Owner);
    const Request Post = serviceRequest(Deployment.httpPort(Via), Log,
                                        "/log?delay_ms=5", Body, "k");
    auto First = sendAsync(Post);
    std::this_thread::sleep_for(std::chrono::milliseconds(Round * 3));
    Deployment.process(Site::entryName(Owner)).signal(SIGSTOP);
    First.get();
    const Response Repeated = sendWithRetry(Post, nullptr, TakeoverLimit);
    CHECK(Repeated.Status == 200);
    Deployment.process(Site::entryName(Owner)).signal(SIGCONT);
    REQUIRE(Deployment.awaitReady());
    // The formerly frozen entry must return the same response.
    const Response Again = sendWithRetry(serviceRequest(
        Deployment.httpPort(Owner), Log, "/log?delay_ms=5", Body, "k"));
    CHECK(Again.Body == Repeated.Body);
    CHECK(Deployment.executions()[Body] == 1);
  }
}

TEST_CASE("Proof01: a key is refused for a second, different call") {
  Site Deployment;
  const Program Log{"log-1"};
  send(serviceRequest(Deployment.httpPort(0), Log, "/log", "find 1", "k1"));
  const Response Other =
      send(serviceRequest(Deployment.httpPort(1), Log, "/log", "find 2", "k1"));
  CHECK(Other.errorCode() == "key_reused");
  CHECK(Other.errorRan() == "not_run");
  CHECK(Deployment.executions().count("find 2") == 0);
}
