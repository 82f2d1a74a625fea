/// \file
/// Asynchronous HTTP client on libcurl.
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
#include <tuple>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// An HTTP request.
struct HttpRequest {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers;
  std::string Body;
  Milliseconds Timeout{10000};
  Milliseconds ConnectTimeout{1000};
  /// Whether an existing connection may be reused. If a reused connection turns
  /// out to be closed, libcurl sends the request again, so a request that must
  /// run at most once needs a new connection.
  bool MayReuseConnection = true;

  HttpRequest &withHeader(std::string Header) {
    this->Headers.push_back(std::move(Header));
    return *this;
  }
};

/// How a request ended.
struct HttpOutcome {
  enum class Kind {
    /// A complete response was received.
    Answered,
    /// No connection could be established; nothing was sent.
    NeverSent,
    /// The connection broke, or the request timed out, after sending began.
    Broken,
  };

  Kind Ended = Kind::Broken;
  /// 0 if the head of the response was not received whole.
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Empty if the body was passed to a PieceCallback.
  std::string Body;
};

/// Runs HTTP requests on its own thread; callbacks run on the event loop.
class HttpClient {
public:
  using Handle = std::uint64_t;
  /// Called on the loop with each received piece of a response body.
  using PieceCallback = std::function<void(const std::string &)>;
  /// Called on the loop once, when the request has ended.
  using DoneCallback = std::function<void(const HttpOutcome &)>;

  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a request. If OnPiece is empty, the body is in HttpOutcome::Body.
  Handle start(HttpRequest Request, PieceCallback OnPiece, DoneCallback OnDone);

  /// Aborts a request, which ends as Broken unless it has already ended.
  void cancel(Handle Request);

private:
  struct Transfer;
  /// Remote address, remote port and local port of a connection.
  using ConnectionName = std::tuple<std::string, long, long>;

  void runWorker();
  void startQueued();
  void startTransfer(std::unique_ptr<Transfer> NewTransfer);
  void cancelQueued();
  void collectFinished();
  void finish(void *Easy, int Code);
  /// Rejects a connection on which bytes precede the request, as they can't be
  /// its response.
  static int onConnected(void *Owner, char *RemoteIp, char *, int RemotePort,
                         int LocalPort);
  /// Remembers the socket of an ended transfer, as libcurl doesn't tell it to
  /// onConnected().
  void rememberSocket(void *Easy);
  static int onClose(void *Owner, int Socket);
  static std::size_t onHeadLine(char *Bytes, std::size_t Size,
                                std::size_t Count, void *Owner);
  static std::size_t onBody(char *Bytes, std::size_t Size, std::size_t Count,
                            void *Owner);

  EventLoop &Loop;
  void *Multi = nullptr;
  std::mutex Lock;
  Handle NextHandle = 1;
  std::vector<std::unique_ptr<Transfer>> Queued;
  std::vector<Handle> Cancelled;
  std::map<void *, std::unique_ptr<Transfer>> Running;
  /// Sockets of the connections that libcurl has kept.
  std::map<ConnectionName, int> Kept;
  std::atomic<bool> IsStopping{false};
  std::thread Worker;
};

} // namespace tanagerlanding

#endif
