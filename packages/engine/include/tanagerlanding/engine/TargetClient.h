/// \file
/// A sidecar's client for its target.
#ifndef TANAGERLANDING_ENGINE_TARGETCLIENT_H
#define TANAGERLANDING_ENGINE_TARGETCLIENT_H

#include "tanagerlanding/decision/SidecarReducer.h"
#include "tanagerlanding/engine/ChatProtocol.h"
#include "tanagerlanding/engine/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace tanagerlanding {

/// Performs a sidecar's effects on its target and reports the resulting events.
///
/// Engines are called through the chat completions protocol, services through
/// plain HTTP. See docs/PROTOCOL.md for health checks and prefix requests.
class TargetClient {
public:
  using EventSink = std::function<void(SidecarEvent)>;

  TargetClient(EventLoop &Loop, std::string Url, ServiceName Service,
               TargetKind Kind, EventSink Sink);
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Runs an attempt; its end is reported by a single event.
  void call(const DispatchAttempt &Dispatch);

  /// Aborts an attempt, which is reported as broken.
  void cancel(const AttemptId &Attempt);

  /// Sends a health check to the target.
  void probe();

  /// Requests that an engine release cached prefixes; services have none.
  void releasePrefixes(const std::vector<std::string> &Prefixes);

private:
  struct ActiveCall {
    HttpClient::Handle Handle = 0;
    std::unique_ptr<ChatStream> Stream;
  };

  HttpRequest chatRequest(const DispatchAttempt &Dispatch) const;
  HttpRequest serviceRequest(const DispatchAttempt &Dispatch) const;
  void handlePiece(const AttemptId &Attempt, const std::string &Piece);
  void handleDone(const DispatchAttempt &Dispatch, const HttpOutcome &Outcome);
  SidecarEvent eventFor(const DispatchAttempt &Dispatch,
                        const ChatStream *Stream,
                        const HttpOutcome &Outcome) const;

  HttpClient Client;
  const std::string Url;
  const ServiceName Service;
  const TargetKind Kind;
  const EventSink Sink;
  std::map<AttemptId, ActiveCall> Calls;
};

} // namespace tanagerlanding

#endif
