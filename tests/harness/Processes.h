/// \file
/// Child processes, free ports and polling for tests.
#ifndef TANAGERLANDING_TESTS_PROCESSES_H
#define TANAGERLANDING_TESTS_PROCESSES_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/types.h>
#include <vector>

namespace tanagerlanding::test {

/// A child process that is killed on destruction.
class ChildProcess {
public:
  ChildProcess() = default;
  /// Starts Program from the build's bin folder. Standard output and standard
  /// error are appended to LogFile.
  ChildProcess(const std::string &Program,
               const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess &operator=(ChildProcess &&Other) noexcept;

  void signal(int Number) const;
  /// Sends SIGKILL and waits for the process to exit.
  void kill();
  /// Returns the exit status, or 128 plus the signal number, if the process
  /// ends within Limit; otherwise -1.
  int awaitExit(std::chrono::milliseconds Limit);
  bool isRunning() const { return this->Pid > 0; }
  pid_t pid() const { return this->Pid; }

private:
  pid_t Pid = -1;
};

/// Returns a process's largest use of memory in KiB, or 0 if it has ended.
long peakKilobytes(pid_t Pid);

/// Returns the number of a process's open descriptors, or 0 if it has ended.
long openDescriptors(pid_t Pid);

/// Sets this process's soft limit of open descriptors, which child processes
/// inherit, until destruction; 0 changes nothing.
class ScopedDescriptorLimit {
public:
  explicit ScopedDescriptorLimit(unsigned Descriptors);
  ~ScopedDescriptorLimit();
  ScopedDescriptorLimit(const ScopedDescriptorLimit &) = delete;
  ScopedDescriptorLimit &operator=(const ScopedDescriptorLimit &) = delete;

private:
  rlimit Before{};
};

/// Returns a port on 127.0.0.1 that is free and was not returned before.
std::uint16_t freePort();

/// Polls Condition until it holds. Returns false if it does not within Limit.
bool waitFor(const std::function<bool()> &Condition,
             std::chrono::milliseconds Limit = std::chrono::seconds(30));

} // namespace tanagerlanding::test

#endif
