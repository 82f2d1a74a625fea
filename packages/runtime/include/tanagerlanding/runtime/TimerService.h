/// \file
/// Periodic timers on the event loop.
#ifndef TANAGERLANDING_RUNTIME_TIMERSERVICE_H
#define TANAGERLANDING_RUNTIME_TIMERSERVICE_H

#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace tanagerlanding {

/// Calls its subscribers with the current time at regular intervals, on the
/// event loop's thread.
class TimerService {
public:
  /// Called with the current time of EventLoop::now().
  using Subscriber = std::function<void(Instant)>;

  explicit TimerService(EventLoop &Loop);
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// Calls Notify every Interval, for the first time after one Interval.
  void subscribe(Milliseconds Interval, Subscriber Notify);

private:
  struct Subscription {
    Milliseconds Interval;
    Subscriber Notify;
    boost::asio::steady_timer Timer;
  };

  void arm(std::size_t Index);

  EventLoop &Loop;
  std::vector<std::unique_ptr<Subscription>> Subscriptions;
};

} // namespace tanagerlanding

#endif
