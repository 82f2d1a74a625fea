/// \file
/// The relay role.
#ifndef TANAGERLANDING_RELAY_RELAYPROCESS_H
#define TANAGERLANDING_RELAY_RELAYPROCESS_H

#include "tanagerlanding/gateway.h"
#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/relay/AttemptClient.h"
#include "tanagerlanding/relay/CallerServer.h"
#include "tanagerlanding/runtime.h"
#include "tanagerlanding/settings.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerlanding {

/// What a relay is told at its start.
struct RelaySettings {
  HostId Host;
  ZoneId Zone;
  /// Where callers come in.
  ListenAddress Callers;
  /// Where readiness and metrics are served.
  ListenAddress Status;
  /// URL of the key-value service.
  std::string ServiceUrl;
  /// Replicas of the ledger to ask while the view is unknown; may be out of
  /// date.
  std::vector<ListenAddress> Seeds;
  /// Time from a request to stop to the kill.
  Milliseconds StopGrace{8000};
};

/// The dialects of a deployment.
struct DeploymentProtocols {
  RelayProtocol Relay;
  DirectoryProtocol Directory;
  KeyValueDialect KeyValue;
};

/// Passes callers' requests on to targets. Keeps nothing that matters: turns
/// and budgets are in the ledger.
///
/// Make one, call run(); it returns after SIGTERM once nothing is under way.
/// See LedgerProcess for the other role of a deployment.
class RelayProcess : private CallerServer::Listener,
                     private AttemptClient::Listener,
                     private ConnectionHub::Listener,
                     private KeyWatcher::Listener {
public:
  RelayProcess(const RelaySettings &Settings, DeploymentProtocols Protocols);
  ~RelayProcess() override;
  RelayProcess(const RelayProcess &) = delete;
  RelayProcess &operator=(const RelayProcess &) = delete;

  /// Serves until the process is asked to stop. Fails where an address can't
  /// be had.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  // Callers and targets.
  void onCallerRequest(RequestId Request, CallerRequest Asked) override;
  void onCallerGone(RequestId Request) override;
  void onAttemptHead(RelayAttemptId Attempt,
                     const TargetAnswerHead &Head) override;
  void onAttemptBytes(RelayAttemptId Attempt, std::string Bytes) override;
  void onAttemptEnd(RelayAttemptId Attempt, AttemptEnded::Kind Ended) override;

  // Replicas of the ledger.
  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;
  void connectReplicas(const std::vector<ListenAddress> &Wanted);

  // The key-value service.
  void onKeysChanged(const std::vector<KeyChange> &Changes) override;
  void onServiceRegained() override;
  void onServiceLost() override;
  void takeConfiguration(const KeyChange &Change);
  void takeTarget(const KeyChange &Change);
  void takeLedgerKey(const KeyChange &Change);

  void apply(const RelayEvent &Event);
  void publishMetrics();
  void finishWhenFlushed();

  const RelaySettings Settings;
  const DeploymentProtocols Protocols;
  EventLoop Loop;
  TimerService Timers;
  Metrics Measured;
  ConnectionHub Hub;
  KeyValueClient Service;
  KeyWatcher Keys;
  CallerServer Callers;
  AttemptClient Targets;
  std::atomic<bool> IsReady{false};
  StatusServer Status;
  RelayState State;
  const InstanceId Instance;
  std::map<HolderId, ConnectionId> Links;
  std::map<ConnectionId, HolderId> Holders;
};

} // namespace tanagerlanding

#endif
