/// \file
/// Injects faults into running relays and ledger replicas while callers run
/// programs, and checks invariants. A seed reproduces the sequence of faults,
/// but not their timing relative to the processes.
///
///     tl_fault_soak --seed 7 --seconds 60
#include "SoakCallers.h"
#include "SoakFaults.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

using namespace tanagerlanding::test;

namespace {

constexpr unsigned CallerThreads = 4;
constexpr std::size_t RelayCount = 2;
/// Upper bound of the time from the last fault until turns are served again.
constexpr std::chrono::seconds RecoveryLimit{15};

int soak(std::uint32_t Seed, int Seconds) {
  PlatformSite Site(RelayCount);
  SoakCallers Callers(Site, Seed, CallerThreads);
  SoakFaults Faults(Site, Seed);
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  std::string InjectedFaults;
  while (std::chrono::steady_clock::now() < End)
    InjectedFaults += " " + Faults.injectFault();
  Callers.stop();
  Callers.checkTurnsRetained(RecoveryLimit);
  Callers.checkRuns();
  const auto Violations = Callers.violations();
  std::cout << "seed " << Seed << ":" << InjectedFaults << "\nserved "
            << Callers.servedCount() << " refused " << Callers.refusedCount()
            << " broken " << Violations.size() << "\n";
  for (const std::string &Each : Violations)
    std::cout << "  " << Each << "\n";
  return Violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{
      "injects faults into relays and ledger replicas and checks invariants"};
  std::uint32_t Seed = 1;
  int Seconds = 20;
  App.add_option("--seed", Seed, "seed of the fault sequence");
  App.add_option("--seconds", Seconds, "how long faults are injected")
      ->check(CLI::Range(1, 3600));
  CLI11_PARSE(App, Count, Arguments);
  try {
    return soak(Seed, Seconds);
  } catch (const std::exception &Error) {
    std::cout << "seed " << Seed << ": " << Error.what() << "\n";
    return EXIT_FAILURE;
  }
}
