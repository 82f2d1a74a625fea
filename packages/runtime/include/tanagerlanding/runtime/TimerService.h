/// \file
/// Notices of the time.
#ifndef TANAGERLANDING_RUNTIME_TIMERSERVICE_H
#define TANAGERLANDING_RUNTIME_TIMERSERVICE_H

#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <vector>

namespace tanagerlanding {

/// Tells its subscribers the time at regular intervals, on the loop's thread.
class TimerService {
public:
  /// Called with the present time.
  using Subscriber = std::function<void(Instant)>;

  explicit TimerService(EventLoop &Loop);
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// Calls Notify every Interval, first after one Interval.
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
