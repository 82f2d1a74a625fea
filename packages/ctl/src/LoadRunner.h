/// \file
/// Load generator that runs programs through entries.
#ifndef TANAGERLANDING_CTL_LOADRUNNER_H
#define TANAGERLANDING_CTL_LOADRUNNER_H

#include "Workload.h"
#include "tanagerlanding/engine.h"
#include "tanagerlanding/runtime.h"

#include <map>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Measurements of a load run.
struct LoadResult {
  std::vector<double> ProgramMillis;
  std::vector<double> FirstTokenMillis;
  std::vector<double> TokenGapMillis;
  std::map<std::string, std::uint64_t> Refusals;
  std::uint32_t Finished = 0;
  /// Programs that passed their deadline or ended with a non-retryable error.
  std::uint32_t Failed = 0;
  /// Programs still running when the workload's time limit passed.
  std::uint32_t Unfinished = 0;
  double TookSeconds = 0;
};

/// Runs a workload's programs as an open-loop load: each program starts at its
/// planned time, independently of the others, and makes its calls
/// sequentially.
class LoadRunner {
public:
  LoadRunner(const Workload &Load, std::vector<std::string> EntryUrls,
             std::uint64_t Seed);
  LoadRunner(const LoadRunner &) = delete;
  LoadRunner &operator=(const LoadRunner &) = delete;

  /// Runs until all programs have ended or the workload's time limit passes.
  LoadResult run();

private:
  struct RunningProgram {
    PlannedProgram Plan;
    std::string Id;
    std::size_t NextCall = 0;
    Instant StartedAt;
    Instant CallStartedAt;
    Instant LastChunkAt;
    bool HasFirstChunk = false;
    bool HasStarted = false;
    bool IsFinished = false;
  };

  void handleTick(Instant Now);
  void startCall(std::size_t Index);
  HttpRequest requestFor(const RunningProgram &Program) const;
  void handleChunk(std::size_t Index);
  void handleAnswer(std::size_t Index, const HttpOutcome &Outcome);
  void handleRefusal(std::size_t Index, const HttpOutcome &Outcome);
  void finish(std::size_t Index, bool IsGood);
  void scheduleCall(Instant When, std::size_t Index);

  const Workload Load;
  const std::vector<std::string> EntryUrls;
  const std::string RunName;
  EventLoop Loop;
  TimerService Timers;
  HttpClient Client;
  std::vector<RunningProgram> Programs;
  std::multimap<Instant, std::size_t> ScheduledCalls;
  std::uint32_t OpenPrograms = 0;
  LoadResult Result;
};

} // namespace tanagerlanding

#endif
