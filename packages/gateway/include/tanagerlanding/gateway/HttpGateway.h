/// \file
/// The server that callers talk to.
#ifndef TANAGERLANDING_GATEWAY_HTTPGATEWAY_H
#define TANAGERLANDING_GATEWAY_HTTPGATEWAY_H

#include "tanagerlanding/decision/Calls.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tanagerlanding {

/// Takes callers' requests and gives them their answers.
///
/// Answers may be handed in from any thread; the server's own threads write
/// them. Its listener is called on those threads.
class HttpGateway {
public:
  /// Hears of callers.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onCall(RequestId Request, Call Asked) = 0;
    /// The caller closed its connection before it had its whole answer.
    virtual void onCallerVanished(RequestId Request) = 0;
    /// Returns the answer to GET /metrics.
    virtual std::string metricsText() = 0;
    /// Returns the answer to GET /v1/status.
    virtual std::string statusText() = 0;
    /// Returns the answer to GET /v1/programs.
    virtual std::string programsText() = 0;
    /// Returns whether new calls are taken.
    virtual bool isReady() = 0;
  };

  /// Limits of the server.
  struct Options {
    std::string Address = "127.0.0.1";
    std::uint16_t Port = 0;
    unsigned Threads = 2;
    std::size_t MaxRequestBytes = 8 * 1024 * 1024;

    Options &withAddress(std::string Value) {
      this->Address = std::move(Value);
      return *this;
    }
    Options &withPort(std::uint16_t Value) {
      this->Port = Value;
      return *this;
    }
    Options &withThreads(unsigned Value) {
      this->Threads = Value;
      return *this;
    }
    Options &withMaxRequestBytes(std::size_t Value) {
      this->MaxRequestBytes = Value;
      return *this;
    }
  };

  HttpGateway(const Options &Limits, Listener &Heard);
  ~HttpGateway();
  HttpGateway(const HttpGateway &) = delete;
  HttpGateway &operator=(const HttpGateway &) = delete;

  /// Begins to serve. Fails if the address can't be had.
  Result<void, SystemError> start();

  /// Returns the port that is served.
  std::uint16_t port() const;

  /// Gives a caller its final answer.
  void answer(RequestId Request, const CallAnswer &Answer);

  /// Gives a caller a piece of its streamed answer: whole events.
  void stream(RequestId Request, const std::string &Events);

  /// Returns the answers that are not yet handed to the system.
  std::size_t unsentCount() const;

  /// Ends the server; answers still to come are cut off.
  void stop();

private:
  struct Server;
  std::unique_ptr<Server> Running;
};

} // namespace tanagerlanding

#endif
