#include "tanagerlanding/gateway/HttpGateway.h"

#include "CallerGateway.h"

#include <atomic>
#include <functional>
#include <thread>

namespace tanagerlanding {

/// The server, its event loop and its thread.
struct HttpGateway::Server {
  Server(const HttpGateway::Options &Limits, Listener &Callbacks)
      : Limits(Limits), Gateway(Loop, Limits, Callbacks) {}

  const HttpGateway::Options Limits;
  EventLoop Loop;
  CallerGateway Gateway;
  std::thread Thread;
  /// Answers, or parts of them, that wait for the thread.
  std::atomic<std::size_t> QueuedAnswers{0};

  /// Runs a task that sends part of an answer on the server's thread.
  void postAnswer(std::function<void()> Task) {
    ++this->QueuedAnswers;
    this->Loop.post([this, Task = std::move(Task)] {
      Task();
      --this->QueuedAnswers;
    });
  }
};

HttpGateway::HttpGateway(const Options &Limits, Listener &Callbacks)
    : Impl(std::make_unique<Server>(Limits, Callbacks)) {}

HttpGateway::~HttpGateway() { this->stop(); }

Result<void, SystemError> HttpGateway::start() {
  const Options &Limits = this->Impl->Limits;
  if (auto Listening = this->Impl->Gateway.listen(Limits.Address, Limits.Port);
      !Listening)
    return Listening;
  this->Impl->Thread = std::thread([this] { this->Impl->Loop.run(); });
  return success();
}

std::uint16_t HttpGateway::port() const { return this->Impl->Gateway.port(); }

void HttpGateway::answer(RequestId Request, const CallAnswer &Answer) {
  this->Impl->postAnswer(
      [this, Request, Answer] { this->Impl->Gateway.answer(Request, Answer); });
}

void HttpGateway::stream(RequestId Request, const std::string &Events) {
  this->Impl->postAnswer(
      [this, Request, Events] { this->Impl->Gateway.stream(Request, Events); });
}

void HttpGateway::stopAccepting() {
  this->Impl->Loop.post([this] { this->Impl->Gateway.stopAccepting(); });
}

std::size_t HttpGateway::unsentCount() const {
  return this->Impl->QueuedAnswers + this->Impl->Gateway.unsentCount();
}

void HttpGateway::stop() {
  if (!this->Impl->Thread.joinable())
    return;
  this->Impl->Loop.post([this] { this->Impl->Loop.stop(); });
  this->Impl->Thread.join();
}

} // namespace tanagerlanding
