#include "SoakFaults.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <stdexcept>
#include <thread>

namespace tanagerlanding::test {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds ExitLimit{10};

Json ledgerView(PlatformSite &Site) {
  return Json::parse(Site.Store.get("tanagerlanding/ledger/view"));
}

} // namespace

SoakFaults::SoakFaults(PlatformSite &Site, std::uint32_t Seed)
    : Site(Site), Random(Seed) {
  this->Faults = {
      {"kill_replica", [this] { this->killReplica(); }},
      {"freeze_replica", [this] { this->freezeReplica(); }},
      {"wipe_replica", [this] { this->wipeReplica(); }},
      {"kill_relay", [this] { this->killRelay(); }},
      {"stop_relay", [this] { this->stopRelay(); }},
      {"kill_all", [this] { this->killAll(); }},
      {"store_down", [this] { this->interruptStore(); }},
      {"store_forgets", [this] { this->Site.Store.compactHistory(); }}};
}

std::string SoakFaults::injectFault() {
  const Fault &Chosen = this->Faults[this->drawIndex(this->Faults.size())];
  Chosen.Inject();
  this->sleepRandomly(100, 900);
  return Chosen.Name;
}

std::size_t SoakFaults::drawIndex(std::size_t Count) {
  return std::uniform_int_distribution<std::size_t>(0, Count - 1)(this->Random);
}

void SoakFaults::sleepRandomly(int MinMillis, int MaxMillis) {
  std::uniform_int_distribution<int> Millis(MinMillis, MaxMillis);
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis(this->Random)));
}

void SoakFaults::killReplica() {
  const std::size_t Number = this->drawIndex(PlatformSite::ReplicaCount);
  this->Site.Ledgers[Number].kill();
  this->sleepRandomly(50, 2500);
  this->Site.startLedger(Number);
}

void SoakFaults::freezeReplica() {
  ChildProcess &Frozen =
      this->Site.Ledgers[this->drawIndex(PlatformSite::ReplicaCount)];
  Frozen.signal(SIGSTOP);
  this->sleepRandomly(200, 3000);
  Frozen.signal(SIGCONT);
}

void SoakFaults::wipeReplica() {
  const std::size_t Number = this->drawIndex(PlatformSite::ReplicaCount);
  const int Before = ledgerView(this->Site)["version"];
  this->Site.Ledgers[Number].kill();
  std::filesystem::remove_all(this->Site.ledgerFolder(Number));
  this->sleepRandomly(0, 500);
  this->Site.startLedger(Number);
  const bool IsReplaced = waitFor([&] {
    const Json View = ledgerView(this->Site);
    return View["version"] > Before && View["next"].empty();
  });
  if (!IsReplaced)
    throw std::runtime_error(
        "a ledger replica with a wiped disk was not replaced");
}

void SoakFaults::killRelay() {
  const std::size_t Number = this->drawIndex(this->Site.Relays.size());
  this->Site.Relays[Number].kill();
  this->sleepRandomly(50, 800);
  this->Site.startRelay(Number);
}

void SoakFaults::stopRelay() {
  const std::size_t Number = this->drawIndex(this->Site.Relays.size());
  this->Site.Relays[Number].signal(SIGTERM);
  if (this->Site.Relays[Number].awaitExit(ExitLimit) != 0)
    throw std::runtime_error(
        "a relay did not exit cleanly within 10 s of SIGTERM");
  this->Site.startRelay(Number);
}

void SoakFaults::killAll() {
  for (ChildProcess &Each : this->Site.Relays)
    Each.kill();
  for (ChildProcess &Each : this->Site.Ledgers)
    Each.kill();
  this->sleepRandomly(0, 1000);
  for (std::size_t Each = 0; Each < PlatformSite::ReplicaCount; ++Each)
    this->Site.startLedger(Each);
  for (std::size_t Each = 0; Each < this->Site.Relays.size(); ++Each)
    this->Site.startRelay(Each);
}

void SoakFaults::interruptStore() {
  this->Site.Store.setDown(true);
  this->sleepRandomly(200, 4000);
  // Restarted during the outage, so that they must start without the store.
  if (this->drawIndex(2) == 0)
    this->killAll();
  this->Site.Store.setDown(false);
}

} // namespace tanagerlanding::test
