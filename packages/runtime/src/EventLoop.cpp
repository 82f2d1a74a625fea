#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace tanagerlanding {

EventLoop::EventLoop()
    : Signals(Context), ReloadSignal(Context),
      StartedAt(std::chrono::steady_clock::now()) {}

void EventLoop::run() {
  this->Context.restart();
  const auto Guard = boost::asio::make_work_guard(this->Context);
  this->Context.run();
}

void EventLoop::stop() { this->Context.stop(); }

void EventLoop::post(std::function<void()> Task) {
  boost::asio::post(this->Context, std::move(Task));
}

void EventLoop::onTermination(std::function<void()> Task) {
  this->TerminationTask = std::move(Task);
  this->Signals.add(SIGTERM);
  this->Signals.add(SIGINT);
  this->awaitSignal();
}

void EventLoop::onReload(std::function<void()> Task) {
  this->ReloadTask = std::move(Task);
  this->ReloadSignal.add(SIGHUP);
  this->awaitReload();
}

Instant EventLoop::now() const {
  const auto Passed = std::chrono::steady_clock::now() - this->StartedAt;
  return Instant{std::chrono::duration_cast<Milliseconds>(Passed)};
}

void EventLoop::awaitSignal() {
  this->Signals.async_wait([this](const auto &Error, int) {
    if (Error)
      return;
    this->TerminationTask();
    this->awaitSignal();
  });
}

void EventLoop::awaitReload() {
  this->ReloadSignal.async_wait([this](const auto &Error, int) {
    if (Error)
      return;
    this->ReloadTask();
    this->awaitReload();
  });
}

} // namespace tanagerlanding
