/// \file
/// Request handler of one server thread.
#ifndef TANAGERLANDING_GATEWAY_GATEWAYHANDLER_H
#define TANAGERLANDING_GATEWAY_GATEWAYHANDLER_H

#include "Mailbox.h"
#include "tanagerlanding/gateway/HttpGateway.h"

#include <pistache/endpoint.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace tanagerlanding {

/// State shared by all threads of a server.
class GatewaySharedState {
public:
  explicit GatewaySharedState(HttpGateway::Listener &Callbacks)
      : Callbacks(Callbacks) {}
  GatewaySharedState(const GatewaySharedState &) = delete;
  GatewaySharedState &operator=(const GatewaySharedState &) = delete;

  /// Registers a new request, whose deliveries go to Owner, and returns its id.
  RequestId admit(const std::shared_ptr<Mailbox> &Owner);

  /// Removes a request; later deliveries for it are dropped.
  void release(RequestId Request);

  /// Passes a delivery to the thread that owns the request, if any.
  void deliver(RequestId Request, Delivery Item);

  HttpGateway::Listener &Callbacks;
  /// Number of answers that are not yet completely written to the sockets.
  std::atomic<std::size_t> UnsentCount{0};

private:
  std::mutex Lock;
  std::uint64_t NextRequest = 1;
  std::map<RequestId, std::shared_ptr<Mailbox>> Owners;
};

/// Reads requests and writes responses on one thread. Pistache copies the
/// handler for each thread; every copy has its own requests and mailbox.
class GatewayHandler : public Pistache::Http::Handler {
public:
  HTTP_PROTOTYPE(GatewayHandler)

  explicit GatewayHandler(std::shared_ptr<GatewaySharedState> Shared);
  GatewayHandler(const GatewayHandler &Other);

  void onRequest(const Pistache::Http::Request &Request,
                 Pistache::Http::ResponseWriter Response) override;
  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override;

private:
  /// A streamed response. Pistache's ResponseStream loses its buffer when it is
  /// moved, so it is constructed in place and never moved.
  struct OpenStream {
    explicit OpenStream(Pistache::Http::ResponseWriter &Response)
        : Stream(Response.stream(Pistache::Http::Code::Ok)) {}

    /// Writes Text as one chunk and flushes it.
    void write(const std::string &Text);

    Pistache::Http::ResponseStream Stream;
  };

  /// A call whose answer is pending.
  struct PendingCall {
    Pistache::Http::ResponseWriter Response;
    std::unique_ptr<OpenStream> Stream;
    std::size_t PeerId = 0;
    bool IsStreaming = false;
  };

  void armWakeTimer();
  void handleWake();
  void deliver(const FinalAnswer &Item);
  void deliver(const AnswerPiece &Item);
  bool handleLocalRequest(const Pistache::Http::Request &Request,
                          Pistache::Http::ResponseWriter &Response);
  void openStream(PendingCall &Pending);
  void endStream(PendingCall &Pending, const CallAnswer &Answer);
  void sendAnswer(Pistache::Http::ResponseWriter &Response,
                  const CallAnswer &Answer);
  void send(Pistache::Http::ResponseWriter &Response, std::uint16_t Status,
            const std::string &Body, const std::string &ContentType);

  std::shared_ptr<GatewaySharedState> Shared;
  std::shared_ptr<Mailbox> Box;
  bool IsArmed = false;
  std::map<RequestId, PendingCall> PendingCalls;
};

} // namespace tanagerlanding

#endif
