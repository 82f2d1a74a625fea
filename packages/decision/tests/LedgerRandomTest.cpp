/// Replicas under drawn orders of kills, restarts, freezes, lost disks and late
/// messages: what a write quorum has confirmed stays readable.
#include "ConnectedReplicas.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

constexpr unsigned ChainCount = 12;
/// Longer than the lease of a registration, a change of the view and a copy.
constexpr Milliseconds SettlingTime{6000};

void runTraffic(ConnectedReplicas &Replicas, Milliseconds Span) {
  for (Milliseconds Passed{0}; Passed < Span; Passed += Milliseconds(100)) {
    // Each chain continues about every two seconds.
    for (unsigned Chain = 0; Chain < ChainCount; ++Chain) {
      if (Replicas.draw(20) == 0)
        Replicas.runTurn(Chain);
    }
    Replicas.advance(Milliseconds(100));
  }
}

/// Restarts or freezes hosts at drawn moments, and starts all that are down.
void disturb(ConnectedReplicas &Replicas, unsigned Hosts) {
  for (std::uint64_t Left = Replicas.draw(4); Left > 0; --Left) {
    const auto Host = static_cast<unsigned>(Replicas.draw(Hosts));
    runTraffic(Replicas, Milliseconds(100 * Replicas.draw(8)));
    if (Replicas.draw(3) == 0) {
      Replicas.setFrozen(Host, true);
      runTraffic(Replicas, Milliseconds(900));
      Replicas.setFrozen(Host, false);
      continue;
    }
    Replicas.kill(Host);
    runTraffic(Replicas, Milliseconds(300 + 100 * Replicas.draw(30)));
    Replicas.start(Host);
  }
  for (unsigned Host = 0; Host < Hosts; ++Host)
    Replicas.start(Host);
}

/// Checks that the membership is whole and that any one host may be lost.
void checkSettled(ConnectedReplicas &Replicas) {
  const std::string Fault = Replicas.membershipFault();
  INFO(Fault);
  CHECK(Fault.empty());
  for (const HostId &Each : Replicas.memberHosts()) {
    INFO("without " << Each.Value);
    CHECK(Replicas.unreadableChains({Each}).empty());
  }
}

void playRounds(std::uint64_t Seed, unsigned Hosts, bool HasRetirement) {
  CAPTURE(Seed, Hosts);
  ConnectedReplicas Replicas(Seed, Hosts);
  Replicas.advance(Milliseconds(3000));
  for (unsigned Round = 0; Round < 6; ++Round) {
    CAPTURE(Round);
    runTraffic(Replicas, Milliseconds(1000 * Replicas.draw(10)));
    const auto Host = static_cast<unsigned>(Replicas.draw(Hosts));
    if (HasRetirement && Round == 1) {
      Replicas.retire(Host);
    } else if (Replicas.draw(2) == 0) {
      Replicas.loseDisk(Host);
      runTraffic(Replicas, Milliseconds(1000));
      Replicas.start(Host);
    }
    disturb(Replicas, Hosts);
    runTraffic(Replicas, SettlingTime);
    checkSettled(Replicas);
    const std::size_t Before = Replicas.answeredTurns();
    runTraffic(Replicas, Milliseconds(2000));
    CHECK(Replicas.answeredTurns() > Before);
  }
}

} // namespace

TEST_CASE("Ledger: confirmed chains survive drawn restarts and a lost disk at "
          "a time") {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    playRounds(Seed, 3, false);
}

TEST_CASE("Ledger: confirmed chains survive drawn restarts and a lost disk at "
          "a time after a retirement") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    playRounds(Seed, Seed % 2 == 0 ? 3 : 4, true);
}
