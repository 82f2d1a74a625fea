/// \file
/// The sidecar role.
#ifndef TANAGERLANDING_DAEMON_SIDECARPROCESS_H
#define TANAGERLANDING_DAEMON_SIDECARPROCESS_H

#include "tanagerlanding/decision.h"
#include "tanagerlanding/engine.h"
#include "tanagerlanding/runtime.h"
#include "tanagerlanding/settings.h"

#include <map>
#include <string>

namespace tanagerlanding {

/// Runs next to a target; every call to the target passes through it.
///
/// Create one and call run(), which returns after SIGTERM once no call is in
/// flight.
class SidecarProcess : private ConnectionHub::Listener {
public:
  explicit SidecarProcess(const NodeSettings &Settings);
  SidecarProcess(const SidecarProcess &) = delete;
  SidecarProcess &operator=(const SidecarProcess &) = delete;

  /// Serves until the process receives SIGTERM. Fails if the address can't be
  /// bound.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;

  void apply(const SidecarEvent &Event);
  void recordAttemptSpan(const SidecarEvent &Event);

  const NodeSettings Settings;
  const HostSpec Spec;
  EventLoop Loop;
  TimerService Timers;
  ConnectionHub Hub;
  TraceWriter Traces;
  TargetClient Target;
  SidecarState State;
  std::map<AttemptId, std::pair<std::string, Instant>> AttemptStarts;
};

} // namespace tanagerlanding

#endif
