#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <ctime>

namespace tanagerlanding {

namespace {

/// Returns the time since the host was started. Unlike the clock of
/// std::chrono::steady_clock, this one advances while the host is suspended;
/// otherwise what was valid before the suspension would still seem so.
std::chrono::nanoseconds timeSinceBoot() {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::seconds(Time.tv_sec) +
         std::chrono::nanoseconds(Time.tv_nsec);
}

} // namespace

EventLoop::EventLoop()
    : Signals(Context), ReloadSignal(Context), StartedAt(timeSinceBoot()) {}

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
  return Instant{std::chrono::duration_cast<Milliseconds>(timeSinceBoot() -
                                                          this->StartedAt)};
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
