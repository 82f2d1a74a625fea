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
std::string inventoryWithNote(const Site &Deployment, const std::string &Note) {
  Json Document = Json::parse(Deployment.inventory());
  for (Json &Host : Document["hosts"])
    Host["note"] = Note;
  return Document.dump();
}

int apply(const Site &Deployment, const std::string &Note, std::uint64_t Base) {
  const std::string Path =
      Deployment.writeFile(Note + ".json", inventoryWithNote(Deployment, Note));
  return Deployment.runOperatorCommand(
      {"apply", Path, "--base", std::to_string(Base)});
}

/// Returns whether every entry reports that all hosts have Version.
bool isActiveEverywhere(const Site &Deployment, std::uint64_t Version) {
  for (unsigned Entry = 0; Entry < 3; ++Entry) {
    const auto Versions = Deployment.versions(Entry);
    if (Versions.size() != HostCount)
      return false;
    for (const auto &[Host, HostVersion] : Versions) {
      if (HostVersion != Version)
        return false;
    }
  }
  return true;
}

/// Polls each entry's own version in the background and records any decrease.
class VersionMonitor {
public:
  explicit VersionMonitor(const Site &Deployment)
      : Deployment(Deployment), Poller([this] { this->poll(); }) {}

  bool hasReverted() {
    this->IsOver = true;
    this->Poller.join();
    return this->Reverted;
  }

private:
  void poll() {
    std::map<unsigned, std::uint64_t> Highest;
    while (!this->IsOver) {
      for (unsigned Entry = 0; Entry < 3; ++Entry) {
        const auto Versions = this->Deployment.versions(Entry);
        const auto OwnVersion = Versions.find(Site::entryName(Entry));
        if (OwnVersion == Versions.end())
          continue;
        this->Reverted = this->Reverted || OwnVersion->second < Highest[Entry];
        Highest[Entry] = std::max(Highest[Entry], OwnVersion->second);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  const Site &Deployment;
  std::atomic<bool> IsOver{false};
  bool Reverted = false;
  std::thread Poller;
};

} // namespace

TEST_CASE("Proof08: changes become active everywhere, in order") {
  Site Deployment;
  VersionMonitor Monitor(Deployment);
  for (std::uint64_t Version = 1; Version <= 4; ++Version) {
    CHECK(apply(Deployment, "note-" + std::to_string(Version), Version - 1) ==
          ExitAccepted);
    CHECK(waitFor([&] { return isActiveEverywhere(Deployment, Version); }));
  }
  CHECK_FALSE(Monitor.hasReverted());
}

TEST_CASE("Proof08: the key-value service fails right after accepting") {
  Site Deployment;
  VersionMonitor Monitor(Deployment);
  for (std::uint64_t Version = 1; Version <= 3; ++Version) {
    CHECK(apply(Deployment, "note-" + std::to_string(Version), Version - 1) ==
          ExitAccepted);
    Deployment.setPlatformMode("down");
    CHECK(waitFor([&] { return isActiveEverywhere(Deployment, Version); }));
    Deployment.setPlatformMode("ok");
  }
  CHECK_FALSE(Monitor.hasReverted());
}

TEST_CASE("Proof08: a disconnected host catches up without the service") {
  Site Deployment;
  for (const char *HostName : {"entry-2", "engine-1"})
    Deployment.proxy(HostName).setRefusing(true);
  REQUIRE(apply(Deployment, "note-1", 0) == ExitAccepted);
  Deployment.setPlatformMode("down");
  for (const char *HostName : {"entry-2", "engine-1"})
    Deployment.proxy(HostName).setRefusing(false);
  CHECK(waitFor([&] { return isActiveEverywhere(Deployment, 1); }));
}

TEST_CASE("Proof08: hosts restarted during a service outage query peers") {
  Site Deployment;
  REQUIRE(apply(Deployment, "note-1", 0) == ExitAccepted);
  REQUIRE(waitFor([&] { return isActiveEverywhere(Deployment, 1); }));
  Deployment.setPlatformMode("down");
  Deployment.restart("entry-1");
  Deployment.restart("engine-0");
  CHECK(waitFor([&] { return isActiveEverywhere(Deployment, 1); }));
}

TEST_CASE("Proof08: of two racing operators one wins, one gets a conflict") {
  Site Deployment;
  for (std::uint64_t Round = 0; Round < 4; ++Round) {
    const std::string Suffix = std::to_string(Round);
    auto First = std::async(std::launch::async, [&] {
      return apply(Deployment, "first-" + Suffix, Round);
    });
    const int Second = apply(Deployment, "second-" + Suffix, Round);
    const int Other = First.get();
    CHECK(std::min(Second, Other) == ExitAccepted);
    CHECK(std::max(Second, Other) == ExitConflict);
    CHECK(waitFor([&] { return isActiveEverywhere(Deployment, Round + 1); }));
  }
}

TEST_CASE("Proof08: a change whose response is lost is applied once") {
  Site Deployment;
  Deployment.setPlatformMode("lose_answers");
  CHECK(apply(Deployment, "note-1", 0) == ExitAccepted);
  Deployment.setPlatformMode("ok");
  CHECK(waitFor([&] { return isActiveEverywhere(Deployment, 1); }));
  CHECK(apply(Deployment, "note-2", 0) == ExitConflict);
}

TEST_CASE("Proof08: an invalid configuration is refused") {
  Site Deployment;
  Json Document = Json::parse(Deployment.inventory());
  Document["hosts"][0]["zone"] = "nowhere";
  const std::string Path = Deployment.writeFile("faulty.json", Document.dump());
  CHECK(Deployment.runOperatorCommand({"apply", Path, "--base", "0"}) ==
        ExitInvalid);
}

TEST_CASE("Proof08: a drained host gets no new work") {
  Site Deployment;
  REQUIRE(apply(Deployment, "note-1", 0) == ExitAccepted);
  REQUIRE(Deployment.runOperatorCommand({"drain", "service-0"}) ==
          ExitAccepted);
  REQUIRE(waitFor([&] { return isActiveEverywhere(Deployment, 2); }));
  const std::string Before = Deployment.queryTarget("service-0", "/executions");
  for (unsigned Number = 0; Number < 20; ++Number)
    CHECK(send(serviceRequest(Deployment.httpPort(Number % 3), Program{"p"},
                              "/log", "late", "k" + std::to_string(Number)))
              .Status == 200);
  CHECK(Deployment.queryTarget("service-0", "/executions") == Before);
}
