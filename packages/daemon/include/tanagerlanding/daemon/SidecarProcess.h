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

/// Stands beside a target and is the only way to it.
///
/// Make one, call run(); it returns after SIGTERM once nothing is under way.
class SidecarProcess : private ConnectionHub::Listener {
public:
  explicit SidecarProcess(const NodeSettings &Settings);
  SidecarProcess(const SidecarProcess &) = delete;
  SidecarProcess &operator=(const SidecarProcess &) = delete;

  /// Serves until the process is asked to stop. Fails where the address can't
  /// be had.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;

  void apply(const SidecarEvent &Event);
  void recordEnd(const SidecarEvent &Event);

  const NodeSettings Settings;
  const HostSpec Spec;
  EventLoop Loop;
  TimerService Timers;
  ConnectionHub Hub;
  TraceWriter Traces;
  TargetClient Target;
  SidecarState State;
  std::map<AttemptId, std::pair<std::string, Instant>> Started;
};

} // namespace tanagerlanding

#endif
