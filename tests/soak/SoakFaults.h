/// \file
/// Faults from outside the processes, drawn by a seed.
#ifndef TANAGERLANDING_TESTS_SOAKFAULTS_H
#define TANAGERLANDING_TESTS_SOAKFAULTS_H

#include "PlatformSite.h"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace tanagerlanding::test {

/// Plays one fault after the other; each is over when play() returns. Of the
/// replicas' disks one at a time is lost, and the next one only once the
/// first has been replaced: one loss at once has to be borne.
class SoakFaults {
public:
  SoakFaults(PlatformSite &Site, std::uint32_t Seed);

  /// Draws and plays one fault. Returns its name.
  std::string play();

private:
  struct Fault {
    std::string Name;
    std::function<void()> Play;
  };

  std::size_t pick(std::size_t Count);
  void rest(int LeastMillis, int MostMillis);

  void killReplica();
  void freezeReplica();
  void wipeReplica();
  void killRelay();
  void stopRelay();
  void killAll();
  void stopStore();

  PlatformSite &Site;
  std::mt19937 Random;
  std::vector<Fault> Faults;
};

} // namespace tanagerlanding::test

#endif
