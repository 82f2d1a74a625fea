/// \file
/// HTTP server for a process's readiness and metrics.
#ifndef TANAGERLANDING_GATEWAY_STATUSSERVER_H
#define TANAGERLANDING_GATEWAY_STATUSSERVER_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerlanding {

/// Serves GET /ready with status 200 or 503, and GET /metrics in the Prometheus
/// text format, on its own thread.
class StatusServer {
public:
  /// Functions that provide the responses; called on the server's thread.
  struct Sources {
    std::function<bool()> IsReady;
    std::function<std::string()> MetricsText;
  };

  StatusServer(const std::string &Address, std::uint16_t Port,
               Sources Callbacks);
  ~StatusServer();
  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;

  /// Starts serving. Fails if the address can't be bound.
  Result<void, SystemError> start();

private:
  struct Server;
  std::unique_ptr<Server> Impl;
};

} // namespace tanagerlanding

#endif
