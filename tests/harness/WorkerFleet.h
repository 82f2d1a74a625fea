/// \file
/// A service of worker stand-ins that crash and come back.
#ifndef TANAGERLANDING_TESTS_WORKERFLEET_H
#define TANAGERLANDING_TESTS_WORKERFLEET_H

#include "PlatformStandins.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tanagerlanding::test {

/// Workers that are registered in the store under the service "app". One that
/// crashes is started again after RestartDelay under a new id and port; its old
/// registration is removed then.
class WorkerFleet {
public:
  struct Options {
    std::size_t Count = 8;
    /// Body or path of the requests that crash the worker that begins to run
    /// them.
    std::string CrashMark = "CRASH";
    std::chrono::milliseconds RestartDelay{1500};
    /// Duration of other requests; see WorkerStandin::setDelay().
    std::chrono::milliseconds Delay{0};
  };

  WorkerFleet(StoreStandin &Store, Options FleetOptions);
  ~WorkerFleet();
  WorkerFleet(const WorkerFleet &) = delete;
  WorkerFleet &operator=(const WorkerFleet &) = delete;

  /// Crashes one of the workers that are up.
  void crashOne(std::size_t Number);
  /// Returns how often a worker began to run a crashing request.
  std::size_t crashingRuns();

private:
  struct Member {
    std::unique_ptr<WorkerStandin> Worker;
    std::chrono::steady_clock::time_point CrashedAt;
    bool IsDown = false;
  };

  void startWorker(Member &Each);
  void supervise();
  std::size_t crashingRunsOf(WorkerStandin &Worker) const;

  StoreStandin &Store;
  const Options FleetOptions;
  std::mutex Lock;
  std::vector<Member> Members;
  std::size_t NextId = 1;
  /// Crashing runs at workers that have been replaced.
  std::size_t EarlierRuns = 0;
  std::atomic<bool> IsStopping{false};
  std::thread Supervisor;
};

} // namespace tanagerlanding::test

#endif
