/// \file
/// What one of the server's threads does.
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

/// What all threads of a server share.
class GatewayShared {
public:
  explicit GatewayShared(HttpGateway::Listener &Heard) : Heard(Heard) {}
  GatewayShared(const GatewayShared &) = delete;
  GatewayShared &operator=(const GatewayShared &) = delete;

  /// Returns a new request's id, whose deliveries go to Owner.
  RequestId admit(const std::shared_ptr<Mailbox> &Owner);

  /// Forgets a request.
  void release(RequestId Request);

  /// Hands a delivery to the thread that has the request, if there is one.
  void deliver(RequestId Request, Delivery Item);

  HttpGateway::Listener &Heard;
  /// Answers whose bytes are not all handed to the system yet.
  std::atomic<std::size_t> Unsent{0};

private:
  std::mutex Lock;
  std::uint64_t NextRequest = 1;
  std::map<RequestId, std::shared_ptr<Mailbox>> Owners;
};

/// Reads requests and writes answers on one thread. Copies belong to other
/// threads and have their own requests.
class GatewayHandler : public Pistache::Http::Handler {
public:
  HTTP_PROTOTYPE(GatewayHandler)

  explicit GatewayHandler(std::shared_ptr<GatewayShared> Shared);
  GatewayHandler(const GatewayHandler &Other);

  void onRequest(const Pistache::Http::Request &Request,
                 Pistache::Http::ResponseWriter Response) override;
  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override;

private:
  /// A streamed response. The library's streams lose their buffer when they
  /// are moved, so that each stays where it was made.
  struct OpenStream {
    explicit OpenStream(Pistache::Http::ResponseWriter &Response)
        : Stream(Response.stream(Pistache::Http::Code::Ok)) {}

    /// Writes Text as one chunk and hands it to the system.
    void write(const std::string &Text);

    Pistache::Http::ResponseStream Stream;
  };

  /// A caller that waits for its answer.
  struct Waiting {
    Pistache::Http::ResponseWriter Response;
    std::unique_ptr<OpenStream> Open;
    std::size_t PeerId = 0;
    bool WantsStream = false;
  };

  void arm();
  void handleWake();
  void deliver(const FinalAnswer &Item);
  void deliver(const AnswerPiece &Item);
  bool answerLocally(const Pistache::Http::Request &Request,
                     Pistache::Http::ResponseWriter &Response);
  void openStream(Waiting &Caller);
  void endStream(Waiting &Caller, const CallAnswer &Answer);
  void sendWhole(Pistache::Http::ResponseWriter &Response,
                 const CallAnswer &Answer);
  void send(Pistache::Http::ResponseWriter &Response, std::uint16_t Status,
            const std::string &Body, const std::string &ContentType);

  std::shared_ptr<GatewayShared> Shared;
  std::shared_ptr<Mailbox> Box;
  bool IsArmed = false;
  std::map<RequestId, Waiting> Callers;
};

} // namespace tanagerlanding

#endif
