#include "tanagerlanding/gateway/HttpGateway.h"

#include "GatewayHandler.h"

#include <pistache/endpoint.h>

#include <cerrno>
#include <csignal>

namespace tanagerlanding {

namespace {

namespace Http = Pistache::Http;

constexpr std::size_t MaxResponseBytes = 256 * 1024 * 1024;
/// Pistache responds with 408 once this time has passed since the start of the
/// request, even while the answer is pending. It must therefore exceed the
/// longest deadline that a caller may set.
constexpr std::chrono::seconds RequestTimeout{3700};
constexpr std::chrono::seconds KeepAliveTimeout{3700};

} // namespace

/// The Pistache endpoint and the state shared by its threads.
struct HttpGateway::Server {
  Server(const HttpGateway::Options &Limits, Listener &Callbacks)
      : Limits(Limits), Shared(std::make_shared<GatewaySharedState>(Callbacks)),
        Endpoint(Pistache::Address(Limits.Address, Limits.Port)) {}

  const HttpGateway::Options Limits;
  std::shared_ptr<GatewaySharedState> Shared;
  Http::Endpoint Endpoint;
  bool IsStopped = false;
};

HttpGateway::HttpGateway(const Options &Limits, Listener &Callbacks)
    : Impl(std::make_unique<Server>(Limits, Callbacks)) {}

HttpGateway::~HttpGateway() { this->stop(); }

Result<void, SystemError> HttpGateway::start() {
  std::signal(SIGPIPE, SIG_IGN);
  const Options &Limits = this->Impl->Limits;
  try {
    this->Impl->Endpoint.init(Http::Endpoint::options()
                                  .threads(static_cast<int>(Limits.Threads))
                                  .flags(Pistache::Tcp::Options::ReuseAddr |
                                         Pistache::Tcp::Options::NoDelay)
                                  .maxRequestSize(Limits.MaxRequestBytes)
                                  .maxResponseSize(MaxResponseBytes)
                                  .headerTimeout(RequestTimeout)
                                  .bodyTimeout(RequestTimeout)
                                  .keepaliveTimeout(KeepAliveTimeout));
    this->Impl->Endpoint.setHandler(
        Http::make_handler<GatewayHandler>(this->Impl->Shared));
    this->Impl->Endpoint.serveThreaded();
  } catch (const std::runtime_error &) {
    return SystemError{"serve HTTP on " + Limits.Address + ":" +
                           std::to_string(Limits.Port),
                       errno};
  }
  return success();
}

std::uint16_t HttpGateway::port() const {
  return this->Impl->Endpoint.getPort();
}

void HttpGateway::answer(RequestId Request, const CallAnswer &Answer) {
  this->Impl->Shared->deliver(Request, FinalAnswer{Request, Answer});
}

void HttpGateway::stream(RequestId Request, const std::string &Events) {
  this->Impl->Shared->deliver(Request, AnswerPiece{Request, Events});
}

std::size_t HttpGateway::unsentCount() const {
  return this->Impl->Shared->UnsentCount;
}

void HttpGateway::stop() {
  if (this->Impl->IsStopped)
    return;
  this->Impl->IsStopped = true;
  this->Impl->Endpoint.shutdown();
}

} // namespace tanagerlanding
