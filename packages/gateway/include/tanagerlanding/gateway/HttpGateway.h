/// \file
/// The HTTP server for callers.
#ifndef TANAGERLANDING_GATEWAY_HTTPGATEWAY_H
#define TANAGERLANDING_GATEWAY_HTTPGATEWAY_H

#include "tanagerlanding/decision/Calls.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerlanding {

/// Receives callers' calls and sends the answers.
///
/// answer() and stream() may be called from any thread; the server's thread
/// writes the responses. The listener is called on the server's thread.
class HttpGateway {
public:
  /// Receives calls and disconnections, and provides the status pages.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onCall(RequestId Request, Call NewCall) = 0;
    /// Called when a caller closes its connection before it has received its
    /// complete answer.
    virtual void onCallerDisconnected(RequestId Request) = 0;
    /// Returns the response body for GET /metrics.
    virtual std::string metricsText() = 0;
    /// Returns the response body for GET /v1/status.
    virtual std::string statusText() = 0;
    /// Returns the response body for GET /v1/programs.
    virtual std::string programsText() = 0;
    /// Returns whether new calls are accepted, for GET /readyz.
    virtual bool isReady() = 0;
  };

  /// Address and limits of the server.
  struct Options {
    std::string Address = "127.0.0.1";
    std::uint16_t Port = 0;
    /// Largest head, and largest first line of a chunk or trailer.
    std::size_t MaxHeaderBytes = 64 * 1024;
    /// Largest body.
    std::size_t MaxRequestBytes = 8 * 1024 * 1024;
    /// What the requests of all callers may occupy, see ReceiveBudget.
    std::size_t AllRequestsBytes = 128 * 1024 * 1024;
    /// Time to receive a head, from its first byte.
    Milliseconds HeaderTimeout{60000};
    /// Time to receive a request, and time that a connection may stay open
    /// without one.
    Milliseconds IdleTimeout{3700000};

    Options &withAddress(std::string Value) {
      this->Address = std::move(Value);
      return *this;
    }
    Options &withPort(std::uint16_t Value) {
      this->Port = Value;
      return *this;
    }
    Options &withMaxHeaderBytes(std::size_t Value) {
      this->MaxHeaderBytes = Value;
      return *this;
    }
    Options &withAllRequestsBytes(std::size_t Value) {
      this->AllRequestsBytes = Value;
      return *this;
    }
    Options &withMaxRequestBytes(std::size_t Value) {
      this->MaxRequestBytes = Value;
      return *this;
    }
  };

  HttpGateway(const Options &Limits, Listener &Callbacks);
  ~HttpGateway();
  HttpGateway(const HttpGateway &) = delete;
  HttpGateway &operator=(const HttpGateway &) = delete;

  /// Starts serving. Fails if the address can't be bound.
  Result<void, SystemError> start();

  /// Returns the port on which callers are served.
  std::uint16_t port() const;

  /// Sends a caller its final answer.
  void answer(RequestId Request, const CallAnswer &Answer);

  /// Sends a caller part of its streamed answer. Events must be complete.
  void stream(RequestId Request, const std::string &Events);

  /// Refuses new connections and closes each open one after its response.
  void stopAccepting();

  /// Returns the number of answers that are not yet written to the sockets.
  std::size_t unsentCount() const;

  /// Stops the server; pending answers are aborted.
  void stop();

private:
  struct Server;
  std::unique_ptr<Server> Impl;
};

} // namespace tanagerlanding

#endif
