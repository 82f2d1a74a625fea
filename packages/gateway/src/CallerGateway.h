/// \file
/// The calls of callers on the thread that serves them.
#ifndef TANAGERLANDING_GATEWAY_CALLERGATEWAY_H
#define TANAGERLANDING_GATEWAY_CALLERGATEWAY_H

#include "tanagerlanding/gateway/HttpGateway.h"
#include "tanagerlanding/http.h"
#include "tanagerlanding/runtime.h"

#include <atomic>
#include <map>

namespace tanagerlanding {

/// Turns requests into calls and answers into responses.
///
/// Used on the thread of its event loop, except for unsentCount(). See
/// HttpGateway, which owns that thread.
class CallerGateway : private CallerServer::Listener {
public:
  CallerGateway(EventLoop &Loop, const HttpGateway::Options &Options,
                HttpGateway::Listener &Callbacks);

  Result<void, SystemError> listen(const std::string &Address,
                                   std::uint16_t Port) {
    return this->Callers.listen(Address, Port);
  }
  std::uint16_t port() const { return this->Callers.port(); }
  /// Refuses new connections and closes each open one after its response.
  void stopAccepting();

  void answer(RequestId Request, const CallAnswer &Answer);
  void stream(RequestId Request, const std::string &Events);

  /// Returns the number of calls without a complete answer, and 1 more while
  /// bytes wait for the sockets. May be called by any thread.
  std::size_t unsentCount() const { return this->UnsentCount; }

private:
  /// A call whose answer is pending.
  struct PendingCall {
    bool IsStreaming = false;
    bool HasBegun = false;
  };

  void onCallerRequest(RequestId Id, CallerRequest Request) override;
  void onCallerDisconnected(RequestId Id) override;
  void onCallerWritable(RequestId) override {}

  /// Answers requests for the status pages. Returns false for all others.
  bool answerLocally(RequestId Id, const CallerRequest &Request);
  void beginStream(RequestId Id, PendingCall &Pending);
  void endStream(RequestId Id, const CallAnswer &Answer);
  void send(RequestId Id, const CallAnswer &Answer);
  void send(RequestId Id, std::uint16_t Status, const std::string &Body,
            HeaderFields Headers);
  void updateUnsentCount();

  HttpGateway::Listener &Callbacks;
  TimerService Timers;
  const CallerProtocol Protocol;
  BufferBudget Buffers{std::nullopt};
  CallerServer Callers;
  std::map<RequestId, PendingCall> PendingCalls;
  std::atomic<std::size_t> UnsentCount{0};
};

} // namespace tanagerlanding

#endif
