#include "StandinServer.h"

#include <csignal>

namespace tanagerlanding::standin {

namespace {

namespace Http = Pistache::Http;

constexpr std::size_t MaxBytes = 256 * 1024 * 1024;

/// Adapts a RequestHandler to the Pistache handler interface.
class FunctionHandler : public Http::Handler {
public:
  HTTP_PROTOTYPE(FunctionHandler)

  explicit FunctionHandler(RequestHandler Handle) : Handle(std::move(Handle)) {}

  void onRequest(const Http::Request &Request,
                 Http::ResponseWriter Response) override {
    this->Handle(Request, Response);
  }

private:
  RequestHandler Handle;
};

} // namespace

void serve(std::uint16_t Port, int Threads, RequestHandler Handle) {
  std::signal(SIGPIPE, SIG_IGN);
  Http::Endpoint Server(Pistache::Address("127.0.0.1", Port));
  Server.init(Http::Endpoint::options()
                  .threads(Threads)
                  .flags(Pistache::Tcp::Options::ReuseAddr |
                         Pistache::Tcp::Options::NoDelay)
                  .maxRequestSize(MaxBytes)
                  .maxResponseSize(MaxBytes));
  Server.setHandler(Http::make_handler<FunctionHandler>(std::move(Handle)));
  Server.serve();
}

void sendJson(Http::ResponseWriter &Response, int Status,
              const std::string &Body) {
  Response.send(static_cast<Http::Code>(Status), Body,
                Http::Mime::MediaType::fromString("application/json"));
}

} // namespace tanagerlanding::standin
