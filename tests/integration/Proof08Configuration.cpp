/// \file
/// An accepted configuration becomes active on every host and never reverts.
/// Guards against lost, duplicated or reverted versions when the key-value
/// service fails, hosts are disconnected or restarted, or operators race.
#include "Site.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace tanagerlanding::test;

namespace {

using Json = nlohmann::json;

constexpr int ExitAccepted = 0;
constexpr int ExitInvalid = 2;
constexpr int ExitConflict = 3;
constexpr std::size_t HostCount = 7;

/// Returns the inventory with a note on every host, which distinguishes
/// versions.
std::string notedInventory(const Site &Deployment, const std::string &Note) {
  Json Document = Json::parse(Deployment.inventory());
  for (Json &Host : Document["hosts"])
    Host["note"] = Note;
  return Document.dump();
}

int apply(const Site &Deployment, const std::string &Note, std::uint64_t Base) {
  const std::string Path =
      Deployment.writeFile(Note + ".json", notedInventory(Deployment, Note));
  return Deployment.operate({"apply", Path, "--base", std::to_string(Base)});
}

/// Returns whether every entry reports that all hosts have Version.
bool isInForce(const Site &Deployment, std::uint64_t Version) {
  for (unsigned Entry = 0; Entry < 3; ++Entry) {
    const auto Seen = Deployment.versions(Entry);
    if (Seen.size() != HostCount)
      return false;
    for (const auto &[Host, Known] : Seen) {
      if (Known != Version)
        return false;
    }
  }
  return true;
}

/// Polls each entry's own version in the background and records any decrease.
class VersionWatch {
public:
  explicit VersionWatch(const Site &Deployment)
      : Deployment(Deployment), Watcher([this] { this->watch(); }) {}

  bool hasReverted() {
    this->IsOver = true;
    this->Watcher.join();
    return this->Reverted;
  }

private:
  void watch() {
    std::map<unsigned, std::uint64_t> Highest;
    while (!this->IsOver) {
      for (unsigned Entry = 0; Entry < 3; ++Entry) {
        const auto Seen = this->Deployment.versions(Entry);
        const auto Own = Seen.find(Site::entryName(Entry));
        if (Own == Seen.end())
          continue;
        this->Reverted = this->Reverted || Own->second < Highest[Entry];
        Highest[Entry] = std::max(Highest[Entry], Own->second);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  const Site &Deployment;
  std::atomic<bool> IsOver{false};
  bool Reverted = false;
  std::thread Watcher;
};

} // namespace

TEST_CASE("Proof08: changes become active everywhere, in order") {
  Site Deployment;
  VersionWatch Watch(Deployment);
  for (std::uint64_t Version = 1; Version <= 4; ++Version) {
    CHECK(apply(Deployment, "note-" + std::to_string(Version), Version - 1) ==
          ExitAccepted);
    CHECK(waitFor([&] { return isInForce(Deployment, Version); }));
  }
  CHECK_FALSE(Watch.hasReverted());
}

TEST_CASE("Proof08: the key-value service fails right after accepting") {
  Site Deployment;
  VersionWatch Watch(Deployment);
  for (std::uint64_t Version = 1; Version <= 3; ++Version) {
    CHECK(apply(Deployment, "note-" + std::to_string(Version), Version - 1) ==
          ExitAccepted);
    Deployment.setPlatform("down");
    CHECK(waitFor([&] { return isInForce(Deployment, Version); }));
    Deployment.setPlatform("ok");
  }
  CHECK_FALSE(Watch.hasReverted());
}

TEST_CASE("Proof08: a disconnected host catches up without the service") {
  Site Deployment;
  for (const char *Cut : {"entry-2", "engine-1"})
    Deployment.proxy(Cut).setRefusing(true);
  REQUIRE(apply(Deployment, "note-1", 0) == ExitAccepted);
  Deployment.setPlatform("down");
  for (const char *Cut : {"entry-2", "engine-1"})
    Deployment.proxy(Cut).setRefusing(false);
  CHECK(waitFor([&] { return isInForce(Deployment, 1); }));
}

TEST_CASE("Proof08: hosts restarted during a service outage query peers") {
  Site Deployment;
  REQUIRE(apply(Deployment, "note-1", 0) == ExitAccepted);
  REQUIRE(waitFor([&] { return isInForce(Deployment, 1); }));
  Deployment.setPlatform("down");
  Deployment.restart("entry-1");
  Deployment.restart("engine-0");
  CHECK(waitFor([&] { return isInForce(Deployment, 1); }));
}

TEST_CASE("Proof08: of two racing operators one wins, one gets a conflict") {
  Site Deployment;
  for (std::uint64_t Round = 0; Round < 4; ++Round) {
    const std::string Mark = std::to_string(Round);
    auto First = std::async(std::launch::async, [&] {
      return apply(Deployment, "first-" + Mark, Round);
    });
    const int Second = apply(Deployment, "second-" + Mark, Round);
    const int Other = First.get();
    CHECK(std::min(Second, Other) == ExitAccepted);
    CHECK(std::max(Second, Other) == ExitConflict);
    CHECK(waitFor([&] { return isInForce(Deployment, Round + 1); }));
  }
}

TEST_CASE("Proof08: a change whose response is lost is applied once") {
  Site Deployment;
  Deployment.setPlatform("lose_answers");
  CHECK(apply(Deployment, "note-1", 0) == ExitAccepted);
  Deployment.setPlatform("ok");
  CHECK(waitFor([&] { return isInForce(Deployment, 1); }));
  CHECK(apply(Deployment, "note-2", 0) == ExitConflict);
}

TEST_CASE("Proof08: an invalid configuration is refused") {
  Site Deployment;
  Json Document = Json::parse(Deployment.inventory());
  Document["hosts"][0]["zone"] = "nowhere";
  const std::string Path = Deployment.writeFile("faulty.json", Document.dump());
  CHECK(Deployment.operate({"apply", Path, "--base", "0"}) == ExitInvalid);
}

TEST_CASE("Proof08: a drained host gets no new work") {
  Site Deployment;
  REQUIRE(apply(Deployment, "note-1", 0) == ExitAccepted);
  REQUIRE(Deployment.operate({"drain", "service-0"}) == ExitAccepted);
  REQUIRE(waitFor([&] { return isInForce(Deployment, 2); }));
  const std::string Before = Deployment.askTarget("service-0", "/executions");
  for (unsigned Number = 0; Number < 20; ++Number)
    CHECK(send(serviceRequest(Deployment.http(Number % 3), Program{"p"}, "/log",
                              "late", "k" + std::to_string(Number)))
              .Status == 200);
  CHECK(Deployment.askTarget("service-0", "/executions") == Before);
}
