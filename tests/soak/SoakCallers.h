/// \file
/// Callers of the fault soak, and what they may not see.
#ifndef TANAGERLANDING_TESTS_SOAKCALLERS_H
#define TANAGERLANDING_TESTS_SOAKCALLERS_H

#include "PlatformSite.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace tanagerlanding::test {

/// Threads that run programs of dependent turns through all relays, and one
/// whose programs never end until their budget is spent. Collects what breaks
/// a promise:
///
/// - a turn that was answered whole is unknown later;
/// - a worker gets another body than the chain of inputs and outputs;
/// - a turn runs twice, or was refused as not run and ran;
/// - a program is handed more tokens than its budget and one turn's most, or
///   is told that its budget is spent when it isn't.
class SoakCallers {
public:
  SoakCallers(PlatformSite &Site, std::uint32_t Seed, unsigned Threads);

  /// Ends the programs under way.
  void stop();
  /// Goes on from turns of before; all must be known, within Limit together.
  void checkKept(std::chrono::seconds Limit);
  /// Compares with what the workers ran.
  void checkRuns();

  std::vector<std::string> broken();
  std::size_t servedCount();
  std::size_t refusedCount();

private:
  /// A turn that was answered whole.
  struct WholeTurn {
    std::string Id;
    std::string Program;
    /// What the worker had to get, and that with the turn's output.
    std::string Body;
    std::string Chain;
  };

  void runPrograms(unsigned Thread, std::uint32_t Seed);
  void spendBudgets(std::uint32_t Seed);
  /// Tries a turn under fresh ids until it is answered whole; false where the
  /// callers stop first.
  bool takeTurn(TurnRequest Wanted, const std::string &Chain, WholeTurn &Taken,
                std::mt19937 &Random);
  void noteAnswer(const TurnRequest &Wanted, const Response &Got);
  void report(const std::string &What);

  PlatformSite &Site;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Threads;
  std::mutex Lock;
  std::vector<WholeTurn> Whole;
  std::set<std::string> Refused;
  std::vector<std::string> Broken;
};

} // namespace tanagerlanding::test

#endif
