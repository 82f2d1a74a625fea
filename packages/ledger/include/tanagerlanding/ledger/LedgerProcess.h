/// \file
/// The process of the ledger role.
#ifndef TANAGERLANDING_LEDGER_LEDGERPROCESS_H
#define TANAGERLANDING_LEDGER_LEDGERPROCESS_H

#include "tanagerlanding/decision.h"
#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/ledger/HistoryReader.h"
#include "tanagerlanding/ledger/IntakeBudget.h"
#include "tanagerlanding/ledger/LedgerFolder.h"
#include "tanagerlanding/ledger/LedgerWriter.h"
#include "tanagerlanding/ledger/ReplicaRegistration.h"
#include "tanagerlanding/runtime.h"
#include "tanagerlanding/settings.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Settings of a replica, fixed while it runs.
struct LedgerSettings {
  HostId Host;
  ZoneId Zone;
  /// Address on which relays and other replicas connect.
  ListenAddress Peers;
  std::string DataFolder;
  /// URL of the key-value service.
  std::string ServiceUrl;
  /// Number of replicas that may be lost at the same time.
  std::uint32_t ToleratedFailures = 1;
  /// Memory that the process may use, in bytes; absent: that of the host.
  std::optional<std::size_t> MemoryBytes;
};

/// Stores turns and budget claims on disk, and agrees on the ledger's
/// membership with the other replicas through the key-value service.
///
/// run() returns after SIGTERM. See RelayProcess for the other role of a
/// deployment.
class LedgerProcess : private ConnectionHub::Listener,
                      private KeyWatcher::Listener {
public:
  LedgerProcess(const LedgerSettings &Settings, DirectoryProtocol Directory,
                KeyValueDialect Dialect);
  ~LedgerProcess() override;
  LedgerProcess(const LedgerProcess &) = delete;
  LedgerProcess &operator=(const LedgerProcess &) = delete;

  /// Serves until the process is asked to stop. Fails if it can't listen on its
  /// address or open the data folder.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;
  void handleMessage(ConnectionId Id, Message Body);
  void onSent(ConnectionId Id) override;
  bool mayRead(ConnectionId Id, std::size_t IncompleteBytes) override;
  /// Reads on from connections that had to wait.
  void resumeReading();
  /// Returns whether a part of a history may be queued on a connection.
  bool hasRoomForPart(ConnectionId Id) const;
  /// Answers the queries for parts of histories that have waited for room.
  void answerWaitingQueries();
  /// Tells all relays that the key-value service can't be reached.
  void notifyRelaysOfOutage();
  void notifyRelays(const Message &Body);
  /// Reads the stored evidence against contents.
  void recoverSuspects(std::int64_t PresentMillis);
  /// Sends a relay the view and the directory, which it may not have read from
  /// the key-value service.
  void sendInitialState(ConnectionId Id);
  void sendTo(const HostId &Host, const Message &Body);

  void onKeysChanged(const std::vector<KeyChange> &Changes) override;
  void onServiceAvailable() override;
  void onServiceUnavailable() override;
  void onQueryStarted() override;
  void onContentConfirmed(Instant AskedAt) override;
  /// Stores changes of the directory and forwards them to the relays.
  void publishDirectory(const std::vector<KeyChange> &Changes);
  /// Reads the teams' quotas from the configuration.
  void applyConfiguration(const KeyChange &Change);
  void publishMetrics();
  void readDirectory();
  /// Returns all items for relays and for the data folder, in the order in
  /// which they are to be read.
  DirectoryChanges knownDirectory() const;
  /// Keeps the configuration that Next replaces if Next can't be used.
  void keepUsableConfiguration(const DirectoryItem &Next);
  void applyLedgerKey(const KeyChange &Change);
  void applyReplicaKey(const HostId &Host, const KeyChange &Change);
  void reportOddEntry(const KeyChange &Change, const char *Kind);

  Result<void, SystemError> openFolder();
  Result<void, SystemError> readFolder(std::int64_t PresentMillis);
  void connectPeers();
  void apply(const LedgerEvent &Event);
  /// Applies an event of the writer.
  void applyWritten(const LedgerEvent &Event);
  void writeView(const WriteLedgerView &Effect);
  void reportRetirement(const ReportRetirement &Effect);

  const LedgerSettings Settings;
  const DirectoryProtocol Directory;
  EventLoop Loop;
  TimerService Timers;
  Metrics ProcessMetrics;
  ConnectionHub Hub;
  KeyValueClient Service;
  KeyWatcher Keys;
  ReplicaRegistration Registration;
  LedgerFolder Folder;
  HistoryReader Histories{Folder};
  IntakeBudget Intake;
  bool IsReadingHeldBack = false;
  /// Queries that wait until their answers can be queued, the oldest first.
  std::deque<std::pair<ConnectionId, HistoryQuery>> WaitingQueries;
  /// Whether this start has set a damaged folder aside, which it does once.
  bool IsFolderReplaced = false;
  std::unique_ptr<LedgerWriter> Writer;
  LedgerState State;
  const InstanceId Instance;
  /// Last known configuration and targets, for relays that can't reach the
  /// key-value service.
  std::map<std::string, DirectoryItem> CachedDirectory;
  /// The last configuration that could be used, if the newest can't. A process
  /// that starts has no other.
  std::optional<DirectoryItem> UsableConfiguration;
  std::set<ConnectionId> Relays;
  /// Whether the key-value service can't be reached at present.
  bool IsServiceLost = false;
  std::map<HostId, ConnectionId> Links;
  std::map<ConnectionId, HostId> Hosts;
};

} // namespace tanagerlanding

#endif
