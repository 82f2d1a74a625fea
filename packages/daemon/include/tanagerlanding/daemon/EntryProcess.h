/// \file
/// The entry role.
#ifndef TANAGERLANDING_DAEMON_ENTRYPROCESS_H
#define TANAGERLANDING_DAEMON_ENTRYPROCESS_H

#include "tanagerlanding/decision.h"
#include "tanagerlanding/gateway.h"
#include "tanagerlanding/journal.h"
#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/runtime.h"
#include "tanagerlanding/settings.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace tanagerlanding {

/// Serves callers, owns shards and, if its settings name a data folder, stores
/// journal segments.
///
/// Create one and call run(), which returns after SIGTERM once no call is in
/// flight.
class EntryProcess : private ConnectionHub::Listener,
                     private HttpGateway::Listener {
public:
  explicit EntryProcess(const NodeSettings &Settings);
  ~EntryProcess() override;
  EntryProcess(const EntryProcess &) = delete;
  EntryProcess &operator=(const EntryProcess &) = delete;

  /// Serves until the process receives SIGTERM. Fails if an address can't be
  /// bound or the data folder can't be opened.
  Result<void, SystemError> run();

private:
  class EffectPerformer;

  // Connections.
  void onOpened(ConnectionId Id) override;
  void onMessage(ConnectionId Id, Message Body) override;
  void onClosed(ConnectionId Id) override;
  /// Handles a message from an operator's program.
  void handleOperator(ConnectionId Id, const Message &Body);
  void handleHello(ConnectionId Id, const Hello &HelloMessage);
  void handleConfigOffer(const ConfigOffer &Offer);
  void sendTo(const HostId &Host, Message Body);
  void connectHosts();
  Hello makeHello() const;

  // Callers; called on the gateway's threads.
  void onCall(RequestId Request, Call NewCall) override;
  void onCallerDisconnected(RequestId Request) override;
  std::string metricsText() override;
  std::string statusText() override;
  std::string programsText() override;
  bool isReady() override;

  // Decisions.
  void apply(const EntryEvent &Event);
  void applyHolder(const HolderEvent &Event);
  bool handleHolderMessage(const HostId &Host, const Message &Body);
  void performHolder(const HolderEffect &Effect);

  // The platform.
  void pollPlatform();
  void handlePlatformValues(const std::vector<KeyValue> &Values);
  void writeShardEntry(const WriteShardEntry &Effect);

  // Start and stop.
  Result<void, SystemError> openJournal();
  void publishStatus();
  void stopWhenFlushed();

  const NodeSettings Settings;
  EventLoop Loop;
  TimerService Timers;
  ConnectionHub Hub;
  Metrics ProcessMetrics;
  TraceWriter Traces;
  KeyValueClient Platform;
  HttpGateway Gateway;
  EntryState State;
  std::unique_ptr<JournalFolder> Folder;
  std::unique_ptr<JournalWriter> Writer;
  std::optional<HolderState> Holder;
  std::map<HostId, ConnectionId> PeerConnections;
  std::map<ConnectionId, HostId> ConnectedHosts;
  std::map<RequestId, std::pair<std::string, Instant>> RequestStarts;
  bool IsPolling = false;
  std::mutex StatusLock;
  std::string Status;
  bool IsReadyNow = false;
};

} // namespace tanagerlanding

#endif
