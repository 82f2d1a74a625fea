/// \file
/// HTTP requests with libcurl.
#ifndef TANAGERLANDING_ENGINE_HTTPCLIENT_H
#define TANAGERLANDING_ENGINE_HTTPCLIENT_H

#include "tanagerlanding/runtime/EventLoop.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// One request.
struct HttpRequest {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers;
  std::string Body;
  Milliseconds Timeout{10000};
  Milliseconds ConnectTimeout{1000};
  /// Whether a connection used before may be used again. Over one that was
  /// closed in the meantime libcurl sends the request a second time, so that
  /// a request that must run at most once needs a fresh connection.
  bool MayReuseConnection = true;

  HttpRequest &withHeader(std::string Header) {
    this->Headers.push_back(std::move(Header));
    return *this;
  }
};

/// How a request ended.
struct HttpOutcome {
  enum class Kind {
    /// A whole response came.
    Answered,
    /// No connection could be made; nothing was sent.
    NeverSent,
    /// The connection broke, or the time was up, after sending began.
    Broken,
  };

  Kind Ended = Kind::Broken;
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Empty where the pieces were handed out as they came.
  std::string Body;
};

/// Runs HTTP requests on a thread of its own and reports on the loop.
class HttpClient {
public:
  using Handle = std::uint64_t;
  /// Called on the loop with each piece of a response's body.
  using PieceCallback = std::function<void(const std::string &)>;
  /// Called on the loop once, at the end.
  using DoneCallback = std::function<void(const HttpOutcome &)>;

  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a request. OnPiece may be empty; the body then comes whole.
  Handle start(HttpRequest Request, PieceCallback OnPiece, DoneCallback OnDone);

  /// Stops a request; it ends as Broken unless it is over already.
  void cancel(Handle Request);

private:
  struct Transfer;

  void work();
  void startQueued();
  void startTransfer(std::unique_ptr<Transfer> Fresh);
  void cancelQueued();
  void collectDone();
  void finish(void *Easy, int Code);
  static std::size_t onBody(char *Bytes, std::size_t Size, std::size_t Count,
                            void *Owner);

  EventLoop &Loop;
  void *Multi = nullptr;
  std::mutex Lock;
  Handle NextHandle = 1;
  std::vector<std::unique_ptr<Transfer>> Queued;
  std::vector<Handle> Cancelled;
  std::map<void *, std::unique_ptr<Transfer>> Running;
  std::atomic<bool> IsStopping{false};
  std::thread Worker;
};

} // namespace tanagerlanding

#endif
