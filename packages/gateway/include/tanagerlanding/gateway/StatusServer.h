/// \file
/// Readiness and metrics of a process over HTTP.
#ifndef TANAGERLANDING_GATEWAY_STATUSSERVER_H
#define TANAGERLANDING_GATEWAY_STATUSSERVER_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerlanding {

/// Answers GET /ready with 200 or 503, and GET /metrics in the Prometheus text
/// format, on a thread of its own.
class StatusServer {
public:
  /// Called on the server's thread.
  struct Sources {
    std::function<bool()> IsReady;
    std::function<std::string()> MetricsText;
  };

  StatusServer(const std::string &Address, std::uint16_t Port, Sources Asked);
  ~StatusServer();
  StatusServer(const StatusServer &) = delete;
  StatusServer &operator=(const StatusServer &) = delete;

  /// Begins to serve. Fails if the address can't be had.
  Result<void, SystemError> start();

private:
  struct Server;
  std::unique_ptr<Server> Running;
};

} // namespace tanagerlanding

#endif
