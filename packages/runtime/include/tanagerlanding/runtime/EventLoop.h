/// \file
/// The thread on which all decisions are made.
#ifndef TANAGERLANDING_RUNTIME_EVENTLOOP_H
#define TANAGERLANDING_RUNTIME_EVENTLOOP_H

#include "tanagerlanding/basics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>

namespace tanagerlanding {

/// Runs tasks one after the other on the thread that calls run().
///
/// Other threads hand work in with post(). See TimerService for work at set
/// times.
class EventLoop {
public:
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs tasks until stop() is called. May be called again afterwards.
  void run();

  /// Makes run() return after the present task. May be called by any thread.
  void stop();

  /// Has Task run on the loop. May be called by any thread.
  void post(std::function<void()> Task);

  /// Has Task run on the loop when SIGTERM or SIGINT arrives.
  void onTermination(std::function<void()> Task);

  /// Has Task run on the loop when SIGHUP arrives.
  void onReload(std::function<void()> Task);

  /// Returns the time since the loop was made, on a monotonic clock.
  Instant now() const;

  /// Returns the context for sockets and timers of this package.
  boost::asio::io_context &context() { return this->Context; }

private:
  void awaitSignal();
  void awaitReload();

  boost::asio::io_context Context;
  boost::asio::signal_set Signals;
  boost::asio::signal_set ReloadSignal;
  std::function<void()> TerminationTask;
  std::function<void()> ReloadTask;
  std::chrono::steady_clock::time_point StartedAt;
};

} // namespace tanagerlanding

#endif
