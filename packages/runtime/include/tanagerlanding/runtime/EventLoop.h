/// \file
/// The event loop on which a process makes all its decisions.
#ifndef TANAGERLANDING_RUNTIME_EVENTLOOP_H
#define TANAGERLANDING_RUNTIME_EVENTLOOP_H

#include "tanagerlanding/basics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <functional>

namespace tanagerlanding {

/// Runs tasks sequentially on the thread that calls run().
///
/// Other threads submit tasks with post(). See TimerService for periodic
/// tasks.
class EventLoop {
public:
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs tasks until stop() is called. May be called again after it returns.
  void run();

  /// Makes run() return after the current task. May be called by any thread.
  void stop();

  /// Queues Task to run on the loop. May be called by any thread.
  void post(std::function<void()> Task);

  /// Runs Task on the loop whenever SIGTERM or SIGINT is received.
  void onTermination(std::function<void()> Task);

  /// Runs Task on the loop whenever SIGHUP is received.
  void onReload(std::function<void()> Task);

  /// Returns the time since the loop was constructed, on a monotonic clock that
  /// includes the time for which the host was suspended. Timers of the loop
  /// exclude that time.
  Instant now() const;

  /// Returns the Asio context, for sockets and timers that run on this loop.
  boost::asio::io_context &context() { return this->Context; }

private:
  void awaitSignal();
  void awaitReload();

  boost::asio::io_context Context;
  boost::asio::signal_set Signals;
  boost::asio::signal_set ReloadSignal;
  std::function<void()> TerminationTask;
  std::function<void()> ReloadTask;
  std::chrono::nanoseconds StartedAt;
};

} // namespace tanagerlanding

#endif
