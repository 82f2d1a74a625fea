/// \file
/// HTTP server for stand-ins.
#ifndef TANAGERLANDING_TESTS_STANDINSERVER_H
#define TANAGERLANDING_TESTS_STANDINSERVER_H

#include <pistache/endpoint.h>

#include <functional>
#include <string>

namespace tanagerlanding::standin {

/// Responds to one request. Called on one of the server's threads, which it may
/// block.
using RequestHandler = std::function<void(const Pistache::Http::Request &,
                                          Pistache::Http::ResponseWriter &)>;

/// Serves on 127.0.0.1 until the process is terminated.
void serve(std::uint16_t Port, int Threads, RequestHandler Handle);

/// Sends a response with a JSON body.
void sendJson(Pistache::Http::ResponseWriter &Response, int Status,
              const std::string &Body);

} // namespace tanagerlanding::standin

#endif
