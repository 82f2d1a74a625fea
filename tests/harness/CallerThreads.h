/// \file
/// Threads that send requests until they are stopped.
#ifndef TANAGERLANDING_TESTS_CALLERTHREADS_H
#define TANAGERLANDING_TESTS_CALLERTHREADS_H

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace tanagerlanding::test {

/// Calls a function again and again in several threads, with the number of the
/// thread and that of the call, until it is stopped or destroyed. Declare it
/// after everything that the function uses.
class CallerThreads {
public:
  using Step = std::function<void(unsigned Thread, unsigned Number)>;

  CallerThreads(unsigned Count, Step Each) : Each(std::move(Each)) {
    for (unsigned Thread = 0; Thread < Count; ++Thread)
      this->Threads.emplace_back([this, Thread] { this->run(Thread); });
  }
  ~CallerThreads() { this->stop(); }
  CallerThreads(const CallerThreads &) = delete;
  CallerThreads &operator=(const CallerThreads &) = delete;

  /// Waits until the calls in progress have returned.
  void stop() {
    this->IsStopping = true;
    for (std::thread &Thread : this->Threads) {
      if (Thread.joinable())
        Thread.join();
    }
  }

private:
  void run(unsigned Thread) {
    for (unsigned Number = 0; !this->IsStopping; ++Number)
      this->Each(Thread, Number);
  }

  const Step Each;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Threads;
};

} // namespace tanagerlanding::test

#endif
