#include "tanagerlanding/runtime/TimerService.h"

namespace tanagerlanding {

TimerService::TimerService(EventLoop &Loop) : Loop(Loop) {}

void TimerService::subscribe(Milliseconds Interval, Subscriber Notify) {
  this->Subscriptions.push_back(std::make_unique<Subscription>(
      Subscription{Interval, std::move(Notify),
                   boost::asio::steady_timer(this->Loop.context())}));
  this->arm(this->Subscriptions.size() - 1);
}

void TimerService::arm(std::size_t Index) {
  Subscription &Entry = *this->Subscriptions[Index];
  Entry.Timer.expires_after(Entry.Interval);
  Entry.Timer.async_wait([this, Index](const auto &Error) {
    if (Error)
      return;
    this->Subscriptions[Index]->Notify(this->Loop.now());
    this->arm(Index);
  });
}

} // namespace tanagerlanding
