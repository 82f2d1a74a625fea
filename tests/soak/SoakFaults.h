/// \file
/// Faults injected from outside the processes, chosen by a seed.
#ifndef TANAGERLANDING_TESTS_SOAKFAULTS_H
#define TANAGERLANDING_TESTS_SOAKFAULTS_H

#include "PlatformSite.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace tanagerlanding::test {

/// Injects one fault at a time; each has ended when injectFault() returns. A
/// replica's disk is wiped only after the previously wiped replica was
/// replaced, as the ledger has to tolerate one lost disk at a time.
class SoakFaults {
public:
  SoakFaults(PlatformSite &Site, std::uint32_t Seed);

  /// Injects a randomly chosen fault and waits 100 to 900 ms. Returns its name.
  /// Throws std::runtime_error if the processes do not recover as required.
  std::string injectFault();

private:
  struct Fault {
    std::string Name;
    std::function<void()> Inject;
  };

  std::size_t drawIndex(std::size_t Count);
  void sleepRandomly(int MinMillis, int MaxMillis);

  void killReplica();
  void freezeReplica();
  void wipeReplica();
  void killRelay();
  void stopRelay();
  void killAll();
  void interruptStore();

  PlatformSite &Site;
  std::mt19937 Random;
  std::vector<Fault> Faults;
};

} // namespace tanagerlanding::test

#endif
