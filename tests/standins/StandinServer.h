/// \file
/// A small HTTP server for stand-ins.
#ifndef TANAGERLANDING_TESTS_STANDINSERVER_H
#define TANAGERLANDING_TESTS_STANDINSERVER_H

#include <pistache/endpoint.h>

#include <functional>
#include <string>

namespace tanagerlanding::standin {

/// Answers one request; called on one of the server's threads, which it may
/// block.
using RequestHandler = std::function<void(const Pistache::Http::Request &,
                                          Pistache::Http::ResponseWriter &)>;

/// Serves on 127.0.0.1 until the process is ended.
void serve(std::uint16_t Port, int Threads, RequestHandler Handle);

/// Sends a JSON body.
void sendJson(Pistache::Http::ResponseWriter &Response, int Status,
              const std::string &Body);

} // namespace tanagerlanding::standin

#endif
