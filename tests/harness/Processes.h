/// \file
/// Processes that a test starts and ends.
#ifndef TANAGERLANDING_TESTS_PROCESSES_H
#define TANAGERLANDING_TESTS_PROCESSES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tanagerlanding::test {

/// A child process, killed at the end of its life here.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Starts Program of the build with arguments; output goes to LogFile.
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;

  /// Sends a signal.
  void signal(int Number) const;
  /// Kills the process and waits for its end.
  void kill();
  /// Returns the exit status if the process ended within Limit, else -1.
  int awaitExit(std::chrono::milliseconds Limit);
  bool isRunning() const { return this->Pid > 0; }
  pid_t pid() const { return this->Pid; }

private:
  pid_t Pid = -1;
};

/// Returns a port on 127.0.0.1 that is free now.
std::uint16_t freePort();

/// Waits until Condition holds. Returns false after Limit.
bool waitFor(const std::function<bool()> &Condition,
             std::chrono::milliseconds Limit = std::chrono::seconds(30));

} // namespace tanagerlanding::test

#endif
