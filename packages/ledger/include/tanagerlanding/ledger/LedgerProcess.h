/// \file
/// The ledger role.
#ifndef TANAGERLANDING_LEDGER_LEDGERPROCESS_H
#define TANAGERLANDING_LEDGER_LEDGERPROCESS_H

#include "tanagerlanding/decision.h"
#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/ledger/LedgerFolder.h"
#include "tanagerlanding/ledger/LedgerWriter.h"
#include "tanagerlanding/ledger/ReplicaRegistration.h"
#include "tanagerlanding/runtime.h"
#include "tanagerlanding/settings.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// What a replica is told at its start.
struct LedgerSettings {
  HostId Host;
  ZoneId Zone;
  /// Where relays and other replicas come in.
  ListenAddress Peers;
  std::string DataFolder;
  /// URL of the key-value service.
  std::string ServiceUrl;
  /// Replicas that may be lost at the same time.
  std::uint32_t Tolerated = 1;
};

/// Keeps turns and claims on budgets on disk, and agrees on the ledger's
/// membership through the key-value service.
///
/// Make one, call run(); it returns after SIGTERM. See RelayProcess for the
/// other role of a deployment.
class LedgerProcess : private ConnectionHub::Listener,
                      private KeyWatcher::Listener {
public:
  LedgerProcess(const LedgerSettings &Settings, DirectoryProtocol Directory,
                KeyValueDialect Dialect);
  ~LedgerProcess() override;
  LedgerProcess(const LedgerProcess &) = delete;
  LedgerProcess &operator=(const LedgerProcess &) = delete;

  /// Serves until the process is asked to stop. Fails where an address or the
  /// data folder can't be had.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;
  /// Tells a relay what it may not have learnt from the service.
  void tellRelaysOfOutage();
  void greetRelay(ConnectionId Id);
  void sendTo(const HostId &Host, const Message &Body);

  void onKeysChanged(const std::vector<KeyChange> &Changes) override;
  void onServiceRegained() override;
  void onServiceLost() override;
  /// Keeps a change of the directory and tells it to the relays.
  void spreadDirectory(const std::vector<KeyChange> &Changes);
  void readDirectory();
  void takeLedgerKey(const KeyChange &Change);

  Result<void, SystemError> openFolder();
  void connectPeers();
  void apply(const LedgerEvent &Event);
  void writeView(const WriteLedgerView &Effect);
  void tellRetirement(const TellRetirement &Effect);

  const LedgerSettings Settings;
  const DirectoryProtocol Directory;
  EventLoop Loop;
  TimerService Timers;
  Metrics Measured;
  ConnectionHub Hub;
  KeyValueClient Service;
  KeyWatcher Keys;
  ReplicaRegistration Registration;
  LedgerFolder Folder;
  std::unique_ptr<LedgerWriter> Writer;
  LedgerState State;
  const InstanceId Instance;
  /// Configuration and targets, for relays that can't reach the service.
  std::map<std::string, DirectoryItem> Mirror;
  std::set<ConnectionId> Relays;
  /// Whether the service has stopped answering.
  bool IsServiceLost = false;
  std::map<HostId, ConnectionId> Links;
  std::map<ConnectionId, HostId> Hosts;
};

} // namespace tanagerlanding

#endif
