/// \file
/// The relay role.
#ifndef TANAGERLANDING_RELAY_RELAYPROCESS_H
#define TANAGERLANDING_RELAY_RELAYPROCESS_H

#include "tanagerlanding/gateway.h"
#include "tanagerlanding/http/CallerServer.h"
#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/relay/AttemptClient.h"
#include "tanagerlanding/runtime.h"
#include "tanagerlanding/settings.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Settings of a relay, fixed for the lifetime of the process.
struct RelaySettings {
  HostId Host;
  ZoneId Zone;
  /// Address on which callers are served.
  ListenAddress Callers;
  /// Address on which readiness and metrics are served.
  ListenAddress Status;
  /// URL of the key-value service.
  std::string ServiceUrl;
  /// Ledger replicas to connect to while the ledger view is unknown; may be out
  /// of date.
  std::vector<ListenAddress> Seeds;
  /// Time between SIGTERM and SIGKILL.
  Milliseconds StopGracePeriod{8000};
  /// Whether the loads and speeds of targets are shared among relays.
  bool IsLoadShared = false;
  /// Whether requests with a key that was removed from the configuration must
  /// not run later than RevocationTime after the removal, also while the
  /// key-value service can't be reached.
  bool IsRevocationStrict = false;
  Milliseconds RevocationTime{5000};
  /// Hedges as a share of a service's requests, and the requests per slot over
  /// the service above which none are sent.
  double HedgeShare = 0;
  double HedgeMaxLoad = 0.7;
  /// Memory that the process may use, in bytes; absent: that of the host.
  std::optional<std::size_t> MemoryBytes;
  /// Sockets that the process may open; absent: the limit of the system.
  std::optional<std::size_t> Sockets;
  /// Bytes that all buffers to callers and from targets may hold together;
  /// absent: no such limit.
  std::optional<std::size_t> BufferBytes;
};

/// Translations between a deployment's wire formats and the product's types.
struct DeploymentProtocols {
  RelayProtocol Relay;
  DirectoryProtocol Directory;
  KeyValueDialect KeyValue;
};

/// Forwards callers' requests to targets. Holds no durable state: turns and
/// budgets are kept in the ledger.
///
/// Create one and call run(), which returns after SIGTERM once no request is in
/// flight. See LedgerProcess for the other role of a deployment.
class RelayProcess : private CallerServer::Listener,
                     private AttemptClient::Listener,
                     private ConnectionHub::Listener,
                     private KeyWatcher::Listener {
public:
  RelayProcess(const RelaySettings &Settings, DeploymentProtocols Protocols);
  ~RelayProcess() override;
  RelayProcess(const RelayProcess &) = delete;
  RelayProcess &operator=(const RelayProcess &) = delete;

  /// Serves until the process receives SIGTERM. Fails if an address can't be
  /// bound.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  // Callers and targets.
  void onCallerRequest(RequestId Id, CallerRequest Request) override;
  void onCallerDisconnected(RequestId Id) override;
  void onCallerWritable(RequestId Id) override;
  void onAttemptHead(RelayAttemptId Attempt,
                     const TargetAnswerHead &Head) override;
  void onAttemptBytes(RelayAttemptId Attempt, std::string Bytes) override;
  void onAttemptPartWritten(RelayAttemptId Attempt, std::size_t Bytes) override;
  void onAttemptEnd(RelayAttemptId Attempt,
                    AttemptEnded::Kind Outcome) override;
  void onTargetProbed(const TargetConnectionProbed &Result) override;

  // Ledger replicas.
  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;
  void connectReplicas(const std::vector<ListenAddress> &Addresses);

  // The key-value service.
  void onKeysChanged(const std::vector<KeyChange> &Changes) override;
  void onServiceAvailable() override;
  void onServiceUnavailable() override;
  void onContentConfirmed(Instant AskedAt) override;
  void onConfirmationFailed() override;
  void onHistoryLost() override;
  void onOutdatedChange(const KeyChange &Change) override;
  void handleConfigurationChange(const KeyChange &Change);
  void adoptConfiguration(const KeyChange &Change);
  void handleTargetChange(const KeyChange &Change);
  void handleLedgerViewChange(const KeyChange &Change);

  void apply(const RelayEvent &Event);
  /// Stops or continues reading from the target whose response is sent to a
  /// caller.
  void setTargetPaused(RequestId Request, bool ShouldPause);
  void refuseForMemory(RequestId Id, const CallerRequest &Request);
  /// Returns whether more is queued for a caller than its allowance.
  bool isCallerBehind(RequestId Request) const;
  /// Ends connections while the budget for buffers is full, and logs when it
  /// becomes full or free.
  void enforceBufferBudget();
  /// Adds what turns hold besides their requests to the budget for requests.
  void accountTurns();
  /// Adds what the calls in progress hold to the budget.
  void accountCalls();
  /// Continues or pauses reading from targets by what their callers have not
  /// read.
  void reviewPausedTargets();
  void publishMetrics();
  void publishBufferMetrics();
  void stopWhenFlushed();

  const RelaySettings Settings;
  const DeploymentProtocols Protocols;
  EventLoop Loop;
  TimerService Timers;
  Metrics ProcessMetrics;
  ConnectionHub Hub;
  KeyValueClient Service;
  KeyWatcher Keys;
  BufferBudget Buffers;
  /// What the budget counts for calls in progress.
  std::size_t CountedHistories = 0;
  std::size_t CountedAnswers = 0;
  bool IsFullLogged = false;
  CallerServer Callers;
  AttemptClient Targets;
  std::atomic<bool> IsReady{false};
  StatusServer Status;
  RelayState State;
  const InstanceId Instance;
  std::map<HolderId, ConnectionId> ReplicaConnections;
  std::map<ConnectionId, HolderId> ConnectedReplicas;
};

} // namespace tanagerlanding

#endif
