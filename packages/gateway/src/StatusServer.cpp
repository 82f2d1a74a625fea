#include "tanagerlanding/gateway/StatusServer.h"

#include <pistache/endpoint.h>

#include <cerrno>
#include <csignal>

namespace tanagerlanding {

namespace {

namespace Http = Pistache::Http;

/// Serves /ready and /metrics. Pistache copies the handler for each thread.
class StatusHandler : public Http::Handler {
public:
  HTTP_PROTOTYPE(StatusHandler)

  explicit StatusHandler(std::shared_ptr<StatusServer::Sources> Sources)
      : Sources(std::move(Sources)) {}

  void onRequest(const Http::Request &Request,
                 Http::ResponseWriter Response) override {
    if (Request.resource() == "/ready") {
      Response.send(this->Sources->IsReady() ? Http::Code::Ok
                                             : Http::Code::Service_Unavailable);
      return;
    }
    if (Request.resource() == "/metrics") {
      Response.send(Http::Code::Ok, this->Sources->MetricsText());
      return;
    }
    Response.send(Http::Code::Not_Found);
  }

private:
  std::shared_ptr<StatusServer::Sources> Sources;
};

} // namespace

/// The Pistache endpoint and the functions that it serves.
struct StatusServer::Server {
  Server(const std::string &Address, std::uint16_t Port, Sources Callbacks)
      : Where(Address + ":" + std::to_string(Port)),
        Shared(std::make_shared<Sources>(std::move(Callbacks))),
        Endpoint(Pistache::Address(Address, Port)) {}

  const std::string Where;
  std::shared_ptr<Sources> Shared;
  Http::Endpoint Endpoint;
};

StatusServer::StatusServer(const std::string &Address, std::uint16_t Port,
                           Sources Callbacks)
    : Impl(std::make_unique<Server>(Address, Port, std::move(Callbacks))) {}

StatusServer::~StatusServer() { this->Impl->Endpoint.shutdown(); }

Result<void, SystemError> StatusServer::start() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    this->Impl->Endpoint.init(Http::Endpoint::options().threads(1).flags(
        Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay));
    this->Impl->Endpoint.setHandler(
        Http::make_handler<StatusHandler>(this->Impl->Shared));
    this->Impl->Endpoint.serveThreaded();
  } catch (const std::runtime_error &) {
    return SystemError{"serve status on " + this->Impl->Where, errno};
  }
  return success();
}

} // namespace tanagerlanding
