/// \file
/// Callers of the fault soak and the invariants that they check.
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
/// whose programs continue until their budget is exhausted. Collects violations
/// of the invariants:
///
/// - a turn with a complete response is unknown later;
/// - a worker receives a body other than the chain of inputs and outputs;
/// - a turn runs twice, or runs although it was refused as not run;
/// - a program receives more tokens than its budget plus the maximum of one
///   turn, or is refused for an exhausted budget that is not exhausted.
class SoakCallers {
public:
  SoakCallers(PlatformSite &Site, std::uint32_t Seed, unsigned Threads);

  /// Stops the running programs and joins the threads.
  void stop();
  /// Continues from a sample of completed turns. Each must still be known, and
  /// all must be served within Limit in total.
  void checkTurnsRetained(std::chrono::seconds Limit);
  /// Checks the requests that the workers ran.
  void checkRuns();

  std::vector<std::string> violations();
  std::size_t servedCount();
  std::size_t refusedCount();

private:
  /// A turn with a complete response.
  struct CompletedTurn {
    std::string Id;
    std::string Program;
    /// The body that the worker must receive, and that body followed by the
    /// turn's output.
    std::string Body;
    std::string Chain;
  };

  void runPrograms(unsigned Thread, std::uint32_t Seed);
  void exhaustBudgets(std::uint32_t Seed);
  /// Retries a turn under new ids until its response is complete. Returns false
  /// if the callers are stopped first.
  bool completeTurn(TurnRequest Request, const std::string &Chain,
                    CompletedTurn &Completed, std::mt19937 &Random);
  void recordResponse(const TurnRequest &Request, const Response &Result);
  void addViolation(const std::string &Description);

  PlatformSite &Site;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Threads;
  std::mutex Lock;
  std::vector<CompletedTurn> CompletedTurns;
  std::set<std::string> Refused;
  std::vector<std::string> Violations;
};

} // namespace tanagerlanding::test

#endif
