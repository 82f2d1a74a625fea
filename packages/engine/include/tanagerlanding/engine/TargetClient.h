/// \file
/// A sidecar's way to its target.
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

/// Performs a sidecar's effects at its target and reports events.
///
/// Engines are called by the chat completions protocol, services by plain
/// HTTP. See docs/PROTOCOL.md for health and prefix orders.
class TargetClient {
public:
  using EventSink = std::function<void(SidecarEvent)>;

  TargetClient(EventLoop &Loop, std::string Url, ServiceName Service,
               TargetKind Kind, EventSink Sink);
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Runs an attempt; its end is reported as one event.
  void call(const DispatchAttempt &Work);

  /// Stops an attempt; it is reported as broken.
  void cancel(const AttemptId &Attempt);

  /// Asks for the target's health.
  void probe();

  /// Orders the target to free prefixes.
  void releasePrefixes(const std::vector<std::string> &Prefixes);

private:
  struct Running {
    HttpClient::Handle Handle = 0;
    std::unique_ptr<ChatStream> Stream;
  };

  HttpRequest chatRequest(const DispatchAttempt &Work) const;
  HttpRequest serviceRequest(const DispatchAttempt &Work) const;
  void handlePiece(const AttemptId &Attempt, const std::string &Piece);
  void handleDone(const DispatchAttempt &Work, const HttpOutcome &Outcome);
  SidecarEvent eventFor(const DispatchAttempt &Work, const ChatStream *Stream,
                        const HttpOutcome &Outcome) const;

  HttpClient Client;
  const std::string Url;
  const ServiceName Service;
  const TargetKind Kind;
  const EventSink Sink;
  std::map<AttemptId, Running> Calls;
};

} // namespace tanagerlanding

#endif
