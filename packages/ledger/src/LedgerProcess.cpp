#include "tanagerlanding/ledger/LedgerProcess.h"

#include "tanagerlanding/decision/ledger/QuotaUse.h"

#include <algorithm>
#include <utility>

namespace tanagerlanding {

namespace {

constexpr Milliseconds TickInterval{100};
/// Several heartbeats fit into PeerIdleTimeout.
constexpr Milliseconds HeartbeatInterval{400};
constexpr Milliseconds FlushTimeout{300};
constexpr Milliseconds MetricsInterval{2000};
/// Bounds the series of the gauge of teams' quotas.
constexpr std::size_t MaxTeamsInMetrics = 50;
/// How long a watch request may stay open. Configurations have to be in force
/// two seconds after they are accepted. A request that is open while the
/// service loses its history may miss changes, so the next one has to start
/// well within that time.
constexpr Milliseconds WatchTimeout{1200};

/// The parts of the memory for what is received and not stored yet, and for
/// answers that wait to be sent.
constexpr std::size_t IntakePartOfMemory = 4;
constexpr std::size_t AnswerPartOfMemory = 8;
/// What one connection may have queued before it gets another part of a
/// history. Small, as other answers wait behind it.
constexpr std::size_t MaxQueuedPartBytes = 512 * 1024;

std::size_t memoryOf(const LedgerSettings &Settings) {
  return Settings.MemoryBytes.value_or(hostMemoryBytes());
}

} // namespace

/// Performs effects, with one overload for each type.
class LedgerProcess::EffectPerformer {
public:
  explicit EffectPerformer(LedgerProcess &Owner) : Owner(Owner) {}

  void operator()(const PersistLedgerBatch &Effect) {
    this->Owner.Intake.addUnstored(Effect.Ticket, Effect.Batch.textBytes());
    this->Owner.Writer->submit(Effect);
  }

  void operator()(const PersistLedgerView &Effect) {
    const auto Written = this->Owner.Folder.writeView(Effect.View);
    if (!Written) {
      // After a restart this replica might serve under an outdated view, so
      // the process ends and leaves the work to the other replicas.
      logEvent("ledger_view_write_failed",
               {{"operation", Written.error().Operation},
                {"errno", std::to_string(Written.error().ErrorNumber)}});
      this->Owner.Loop.stop();
      return;
    }
    this->Owner.connectPeers();
  }

  void operator()(const PersistSuspects &Effect) {
    this->Owner.Writer->submitSuspects(Effect.Suspects);
  }

  void operator()(const NotifyRelays &Effect) {
    this->Owner.notifyRelays(Effect.Body);
  }

  void operator()(const SendHistory &Effect) {
    const auto History = this->Owner.Folder.readHistory(Effect.Turns);
    TurnOpened Reply = Effect.Reply;
    if (History)
      Reply.History = History.value();
    else
      this->logReadFailure(History.error());
    this->Owner.sendTo(Effect.Peer, Reply);
  }

  void operator()(const SendHistoryPart &Effect) {
    auto Data = this->Owner.Histories.read(Effect.Pieces);
    HistoryPart Part = Effect.Header;
    if (Data)
      Part.Data = std::move(Data.value());
    else
      this->logReadFailure(Data.error());
    this->Owner.sendTo(Effect.Peer, Part);
  }

  void operator()(const SendRecords &Effect) {
    RecordsPage Page = Effect.Header;
    for (const BatchLocation &At : Effect.Batches) {
      auto Batch = this->Owner.Folder.readBatch(At);
      if (!Batch) {
        this->logReadFailure(Batch.error());
        return;
      }
      Page.Batches.push_back(std::move(Batch.value()));
    }
    this->Owner.sendTo(Effect.Peer, Page);
  }

  void operator()(const SendTurns &Effect) {
    TurnsFound Reply = Effect.Header;
    for (const BatchLocation &At : Effect.Batches) {
      auto Batch = this->Owner.Folder.readBatch(At);
      if (Batch)
        Reply.Batches.push_back(std::move(Batch.value()));
      else
        this->logReadFailure(Batch.error());
    }
    this->Owner.sendTo(Effect.Peer, Reply);
  }

  void operator()(const DropSegment &Effect) {
    this->Owner.Folder.remove(Effect.Segment);
  }
  void operator()(const WriteLedgerView &Effect) {
    this->Owner.writeView(Effect);
  }
  void operator()(const WriteSynced &Effect) {
    this->Owner.Registration.publishSynced(Effect.View);
  }
  void operator()(const ReportRetirement &Effect) {
    this->Owner.reportRetirement(Effect);
  }
  void operator()(const SendHost &Effect) {
    this->Owner.sendTo(Effect.Host, Effect.Body);
  }
  void operator()(const LogLine &Effect) {
    logEvent(Effect.Event, Effect.Fields);
  }
  void operator()(const CountMetric &Effect) {
    this->Owner.ProcessMetrics.count(Effect.Name, Effect.Cause, Effect.Amount);
  }

private:
  void logReadFailure(const SystemError &Error) {
    logEvent("ledger_read_failed",
             {{"operation", Error.Operation},
              {"errno", std::to_string(Error.ErrorNumber)}});
  }

  LedgerProcess &Owner;
};

LedgerProcess::LedgerProcess(const LedgerSettings &Settings,
                             DirectoryProtocol Directory,
                             KeyValueDialect Dialect)
    : Settings(Settings), Directory(std::move(Directory)), Timers(Loop),
      Hub(Loop, *this, PeerIdleTimeout),
      Service(Loop, Settings.ServiceUrl, std::move(Dialect)),
      Keys(Loop, Service, {{}, WatchTimeout}, *this),
      Registration(Loop, Service), Folder(Settings.DataFolder),
      Intake(memoryOf(Settings) / IntakePartOfMemory),
      Instance(makeUniqueId()) {
  this->Hub.setMaxQueuedBytes(memoryOf(Settings) / IntakePartOfMemory);
}

LedgerProcess::~LedgerProcess() = default;

/// Reads the records. A replica whose folder is damaged starts without any and
/// under another holder id, so that the others replace it like one that has
/// lost its disk, and it copies the records from them.
Result<void, SystemError>
LedgerProcess::readFolder(std::int64_t PresentMillis) {
  this->State = LedgerState();
  this->State.Now = this->Loop.now();
  const auto Opened =
      this->Folder.open([&](LedgerBatch Batch, BatchLocation Place) {
        const Milliseconds Age(
            std::max<std::int64_t>(0, PresentMillis - Batch.WrittenAtMillis));
        this->apply(LedgerBatchRecovered{Place, std::move(Batch), Age});
      });
  if (Opened)
    return success();
  const auto *Damage = std::get_if<FolderDamage>(&Opened.error());
  if (!Damage || this->IsFolderReplaced)
    return asSystemError(Opened.error());
  this->IsFolderReplaced = true;
  LogFields Fields = Damage->logFields();
  Fields.emplace_back("holder", this->Folder.holder().Value);
  logEvent("data_folder_damaged", Fields);
  this->ProcessMetrics.count("ledger_folder_replaced_total", "damaged");
  if (auto Moved = this->Folder.setAside(*Damage); !Moved)
    return Moved;
  return this->readFolder(PresentMillis);
}

Result<void, SystemError> LedgerProcess::openFolder() {
  const std::int64_t Present = wallClockMillis();
  if (auto Read = this->readFolder(Present); !Read)
    return Read;
  logEvent("data_folder_opened", this->Folder.recovery().logFields());
  if (const auto &Cut = this->Folder.recovery().TornEnd)
    this->ProcessMetrics.count("ledger_folder_cut_bytes_total", "torn_end",
                               Cut->Bytes);
  // Segments are deleted only after all are read: one that temporarily had no
  // live records may have gained some from a later batch.
  std::set<std::uint64_t> Needed;
  for (const auto &[Segment, Batches] : this->State.BatchesInSegment)
    Needed.insert(Segment);
  this->Folder.removeOthers(Needed);
  this->State.Run = this->Instance;
  this->State.View = this->Folder.view();
  this->State.ToleratedFailures = this->Settings.ToleratedFailures;
  this->State.Self = LedgerMember{
      this->Folder.holder(), this->Settings.Host, this->Settings.Peers.Address,
      this->Settings.Peers.Port, this->Settings.Zone};
  this->recoverSuspects(Present);
  this->Writer = std::make_unique<LedgerWriter>(
      this->Folder, [this](std::vector<LedgerEvent> Events) {
        this->Loop.post([this, Events = std::move(Events)] {
          for (const LedgerEvent &Each : Events)
            this->applyWritten(Each);
          this->resumeReading();
        });
      });
  this->readDirectory();
  return success();
}

void LedgerProcess::applyWritten(const LedgerEvent &Event) {
  this->apply(Event);
  if (const auto *Stored = std::get_if<LedgerBatchStored>(&Event)) {
    this->Folder.release(Stored->Place);
    this->Intake.removeUnstored(Stored->Ticket);
  }
  if (const auto *Failed = std::get_if<LedgerBatchFailed>(&Event))
    this->Intake.removeUnstored(Failed->Ticket);
}

Result<void, SystemError> LedgerProcess::run() {
  // The settings of this role can't change while it runs.
  this->Loop.onReload([this] {
    logEvent("settings_reload_ignored", {{"host", this->Settings.Host.Value}});
  });
  this->Loop.onTermination([this] {
    logEvent("ledger_stopping", {{"host", this->Settings.Host.Value}});
    this->Hub.flush(FlushTimeout, [this] { this->Loop.stop(); });
  });
  if (auto Opened = this->openFolder(); !Opened)
    return Opened;
  logEvent("ledger_started",
           {{"host", this->Settings.Host.Value},
            {"holder", this->State.Self.Holder.Value},
            {"turns", std::to_string(this->State.Turns.size())},
            {"view", std::to_string(this->State.View.Version.Value)}});
  if (auto Listening = this->Hub.listen(this->Settings.Peers.Address,
                                        this->Settings.Peers.Port);
      !Listening)
    return Listening;
  this->connectPeers();
  this->Timers.subscribe(TickInterval, [this](Instant Now) {
    this->apply(LedgerTick{Now});
    this->Keys.setWatchDelay(watchDelay(this->State));
  });
  this->Timers.subscribe(HeartbeatInterval, [this](Instant) {
    for (const auto &[Host, Link] : this->Links)
      this->Hub.send(Link, Heartbeat{});
    if (this->IsServiceLost)
      this->notifyRelaysOfOutage();
  });
  this->Timers.subscribe(MetricsInterval, [this](Instant) {
    this->publishMetrics();
    this->Histories.releaseUnused();
  });
  this->Registration.start(this->State.Self);
  this->Keys.start();
  this->Loop.run();
  this->Writer.reset();
  logEvent("ledger_ended", {{"host", this->Settings.Host.Value}});
  return success();
}

void LedgerProcess::apply(const LedgerEvent &Event) {
  this->State.Now = this->Loop.now();
  EffectPerformer Perform(*this);
  for (const LedgerEffect &Effect : reduce(this->State, Event))
    std::visit(Perform, Effect);
}

/// Connects to all other members, which copy records from each other.
void LedgerProcess::connectPeers() {
  ConnectionHub::Addresses MemberAddresses;
  for (const LedgerMember &Each : this->State.View.allMembers()) {
    if (!(Each.Host == this->Settings.Host))
      MemberAddresses.emplace(Each.Address, Each.Port);
  }
  this->Hub.setPeers(MemberAddresses);
}

void LedgerProcess::onOpened(ConnectionId Id) {
  Hello Greeting;
  Greeting.Host = this->Settings.Host;
  Greeting.Instance = this->Instance;
  Greeting.Holder = this->State.Self.Holder;
  this->Hub.send(Id, Greeting);
}

bool LedgerProcess::mayRead(ConnectionId Id, std::size_t IncompleteBytes) {
  const bool IsAllowed = this->Intake.mayRead(Id, IncompleteBytes);
  if (!IsAllowed && !std::exchange(this->IsReadingHeldBack, true))
    logEvent("ledger_reading_held_back",
             {{"connection", std::to_string(Id.Value)},
              {"message_bytes", std::to_string(IncompleteBytes)},
              {"intake_bytes", std::to_string(this->Intake.total())}});
  return IsAllowed;
}

void LedgerProcess::resumeReading() {
  if (!this->Intake.takeWaiting())
    return;
  this->Hub.resumeReading();
  if (this->Intake.isAnyWaiting())
    return;
  this->IsReadingHeldBack = false;
  logEvent("ledger_reading_resumed",
           {{"intake_bytes", std::to_string(this->Intake.total())}});
}

bool LedgerProcess::hasRoomForPart(ConnectionId Id) const {
  return this->Hub.queuedBytes(Id) < MaxQueuedPartBytes &&
         this->Hub.queuedBytes() <
             memoryOf(this->Settings) / AnswerPartOfMemory;
}

void LedgerProcess::onSent(ConnectionId) { this->answerWaitingQueries(); }

void LedgerProcess::answerWaitingQueries() {
  std::deque<std::pair<ConnectionId, HistoryQuery>> Waiting;
  Waiting.swap(this->WaitingQueries);
  for (auto &[Id, Query] : Waiting) {
    const auto Host = this->Hosts.find(Id);
    if (Host == this->Hosts.end())
      continue;
    if (this->hasRoomForPart(Id))
      this->apply(LedgerMessageReceived{Host->second, std::move(Query)});
    else
      this->WaitingQueries.emplace_back(Id, std::move(Query));
  }
}

void LedgerProcess::onMessage(ConnectionId Id, Message Body) {
  this->Intake.finishRead(Id);
  // Later, as the hub is reading.
  if (this->Intake.isAnyWaiting())
    this->Loop.post([this] { this->resumeReading(); });
  this->handleMessage(Id, std::move(Body));
}

void LedgerProcess::handleMessage(ConnectionId Id, Message Body) {
  if (const auto *Greeting = std::get_if<Hello>(&Body)) {
    this->Hosts[Id] = Greeting->Host;
    this->Links[Greeting->Host] = Id;
    if (!Greeting->Holder) {
      this->sendInitialState(Id);
      return;
    }
    if (this->State.View.Version.Value > 0)
      this->Hub.send(Id, ViewOffer{this->State.View});
    this->apply(ReplicaHelloReceived{Greeting->Host, *Greeting->Holder});
    return;
  }
  const auto Host = this->Hosts.find(Id);
  if (Host == this->Hosts.end())
    return;
  // Replies are sent over the connection on which the request arrived.
  this->Links[Host->second] = Id;
  const auto *Query = std::get_if<HistoryQuery>(&Body);
  if (Query && !this->hasRoomForPart(Id)) {
    this->WaitingQueries.emplace_back(Id, *Query);
    return;
  }
  this->apply(LedgerMessageReceived{Host->second, std::move(Body)});
}

void LedgerProcess::sendInitialState(ConnectionId Id) {
  this->Relays.insert(Id);
  this->Hub.send(Id, ViewOffer{this->State.View});
  DirectoryChanges Known = this->knownDirectory();
  Known.IsServiceLost = this->IsServiceLost;
  this->Hub.send(Id, Known);
  for (const SuspectNotice &Each :
       allNotices(this->State.Suspects, this->Loop.now()))
    this->Hub.send(Id, Each);
}

void LedgerProcess::onClosed(ConnectionId Id) {
  this->Intake.finishRead(Id);
  this->Loop.post([this] { this->resumeReading(); });
  this->Relays.erase(Id);
  const auto Found = this->Hosts.find(Id);
  if (Found == this->Hosts.end())
    return;
  const auto Link = this->Links.find(Found->second);
  if (Link != this->Links.end() && Link->second == Id)
    this->Links.erase(Link);
  this->Hosts.erase(Found);
}

void LedgerProcess::sendTo(const HostId &Host, const Message &Body) {
  const auto Link = this->Links.find(Host);
  if (Link != this->Links.end())
    this->Hub.send(Link->second, Body);
}

void LedgerProcess::onKeysChanged(const std::vector<KeyChange> &Changes) {
  std::vector<KeyChange> DirectoryKeys;
  for (const KeyChange &Each : Changes) {
    const std::string &Key = Each.Item.Key;
    if (Key == this->Directory.ConfigurationKey) {
      this->apply(LedgerConfigurationObserved{Each.Item.ModRevision});
      this->applyConfiguration(Each);
    }
    if (this->Directory.isTargetKey(Key) ||
        Key == this->Directory.ConfigurationKey)
      DirectoryKeys.push_back(Each);
    else if (this->Directory.isRetirementKey(Key))
      this->apply(RetirementRequested{
          HostId(Key.substr(this->Directory.RetirementPrefix.size())),
          !Each.IsDeleted});
    else
      this->applyLedgerKey(Each);
  }
  if (!DirectoryKeys.empty())
    this->publishDirectory(DirectoryKeys);
}

void LedgerProcess::applyConfiguration(const KeyChange &Change) {
  if (Change.IsDeleted)
    return;
  const auto Decoded = this->Directory.DecodeConfiguration(Change.Item.Value);
  if (!Decoded) {
    // The quotas that are known stay in force, as at the relays.
    this->ProcessMetrics.count("ledger_odd_entries_total", "configuration");
    for (const SettingsFault &Fault : Decoded.error())
      logEvent("configuration_invalid",
               {{"path", Fault.Path}, {"expected", Fault.Expected}});
    return;
  }
  TeamQuotasConfigured Quotas;
  Quotas.Version = Decoded.value().Version;
  for (const auto &[Team, Each] : Decoded.value().Teams) {
    const bool HasQuota = Each.Quota && Each.Quota->Rate.PerSecond > 0;
    Quotas.Quotas[Team] = HasQuota ? Each.Quota : std::nullopt;
  }
  this->apply(Quotas);
}

void LedgerProcess::publishDirectory(const std::vector<KeyChange> &Changes) {
  DirectoryChanges Notice;
  Notice.IsServiceLost = this->IsServiceLost;
  for (const KeyChange &Each : Changes) {
    DirectoryItem Item{Each.Item.Key, Each.Item.Value, Each.Item.ModRevision,
                       Each.IsDeleted};
    if (Item.Key == this->Directory.ConfigurationKey && !Item.IsDeleted)
      Item.Value = this->Directory.RedactConfiguration(Item.Value);
    if (Item.Key == this->Directory.ConfigurationKey)
      this->keepUsableConfiguration(Item);
    Notice.Items.push_back(Item);
    if (Each.IsDeleted)
      this->CachedDirectory.erase(Item.Key);
    else
      this->CachedDirectory[Item.Key] = Item;
  }
  this->notifyRelays(Notice);
  this->Writer->submitDirectory(this->knownDirectory());
}

DirectoryChanges LedgerProcess::knownDirectory() const {
  DirectoryChanges Known;
  if (this->UsableConfiguration)
    Known.Items.push_back(*this->UsableConfiguration);
  for (const auto &[Key, Item] : this->CachedDirectory)
    Known.Items.push_back(Item);
  return Known;
}

void LedgerProcess::keepUsableConfiguration(const DirectoryItem &Next) {
  const bool IsUsable =
      !Next.IsDeleted && this->Directory.DecodeConfiguration(Next.Value);
  if (IsUsable) {
    this->UsableConfiguration.reset();
    return;
  }
  const auto Cached = this->CachedDirectory.find(Next.Key);
  if (!this->UsableConfiguration && Cached != this->CachedDirectory.end())
    this->UsableConfiguration = Cached->second;
}

void LedgerProcess::readDirectory() {
  std::vector<KeyChange> Changes;
  for (const DirectoryItem &Each : this->Folder.readDirectory().Items)
    Changes.push_back(KeyChange{
        KeyValue{Each.Key, Each.Value, Each.ModRevision}, Each.IsDeleted});
  // The watcher replaces entries that have changed since then.
  this->Keys.applyChanges(Changes);
}

void LedgerProcess::recoverSuspects(std::int64_t PresentMillis) {
  SuspectList Stored = this->Folder.readSuspects();
  const Milliseconds Age(
      std::max<std::int64_t>(0, PresentMillis - Stored.WrittenAtMillis));
  this->apply(SuspectsRecovered{std::move(Stored), Age});
}

void LedgerProcess::applyLedgerKey(const KeyChange &Change) {
  const std::string &Key = Change.Item.Key;
  if (Key == ledgerViewKey()) {
    const auto View = decodeLedgerView(Change.Item.Value);
    if (View) {
      this->apply(LedgerViewObserved{*View, Change.Item.ModRevision});
      return;
    }
    this->reportOddEntry(Change, "view");
    // The view that is known stays in force. The next one replaces this entry,
    // which takes its revision.
    if (!Change.IsDeleted && this->State.View.Version.Value > 0)
      this->apply(
          LedgerViewObserved{this->State.View, Change.Item.ModRevision});
    return;
  }
  if (const auto Host = hostOfReplicaKey(Key)) {
    this->applyReplicaKey(*Host, Change);
    return;
  }
  const auto Holder = holderOfSyncedKey(Key);
  if (!Holder || Change.IsDeleted)
    return;
  if (const auto Synced = decodeSynced(Change.Item.Value))
    this->apply(ReplicaSynced{*Holder, *Synced});
  else
    this->reportOddEntry(Change, "synced");
}

void LedgerProcess::applyReplicaKey(const HostId &Host,
                                    const KeyChange &Change) {
  const auto Member = decodeLedgerMember(Change.Item.Value);
  if (!Change.IsDeleted && Member && Member->Host == Host) {
    this->apply(ReplicaRegistered{*Member});
    return;
  }
  if (!Change.IsDeleted)
    this->reportOddEntry(Change, "replica");
  this->apply(ReplicaUnregistered{Host});
}

void LedgerProcess::reportOddEntry(const KeyChange &Change, const char *Kind) {
  this->ProcessMetrics.count("ledger_odd_entries_total", Kind);
  logEvent(Change.Item.Key == ledgerViewKey() ? "ledger_view_invalid"
                                              : "entry_invalid",
           {{"key", Change.Item.Key},
            {"revision", std::to_string(Change.Item.ModRevision.Value)},
            {"expected", Kind}});
}

/// Relays act on the outage only as long as the notice is repeated.
void LedgerProcess::notifyRelaysOfOutage() {
  DirectoryChanges Notice;
  Notice.IsServiceLost = true;
  this->notifyRelays(Notice);
}

void LedgerProcess::notifyRelays(const Message &Body) {
  const ConnectionHub::Frame Encoded = ConnectionHub::encode(Body);
  for (const ConnectionId Relay : this->Relays)
    this->Hub.send(Relay, Encoded);
}

void LedgerProcess::publishMetrics() {
  std::map<std::string, double> UseByTeam;
  for (const TeamQuotaUse &Each : busiestTeams(this->State, MaxTeamsInMetrics))
    UseByTeam[Each.Team.Value] = Each.UsedShare;
  this->ProcessMetrics.replaceSeries("ledger_quota_use", "team", UseByTeam);
}

void LedgerProcess::onServiceAvailable() {
  logEvent("directory_regained", {});
  this->IsServiceLost = false;
  this->apply(LedgerServiceSnapshotRead{});
}

void LedgerProcess::onServiceUnavailable() {
  logEvent("directory_lost", {});
  this->IsServiceLost = true;
}

void LedgerProcess::onQueryStarted() {
  this->apply(LedgerServiceQueryStarted{});
}

void LedgerProcess::onContentConfirmed(Instant) {
  this->apply(LedgerServiceContentConfirmed{});
}

void LedgerProcess::writeView(const WriteLedgerView &Effect) {
  const LedgerView View = Effect.View;
  this->Service.writeIfUnchanged(
      ledgerViewKey(), encodeLedgerView(View), Effect.Expected,
      [this, View](auto Answer) {
        // If the answer is lost or another replica's write came first, the
        // watch reports the view that is stored.
        if (Answer && Answer.value().HasSucceeded)
          this->apply(LedgerViewObserved{View, Answer.value().ServiceRevision});
      });
}

void LedgerProcess::reportRetirement(const ReportRetirement &Effect) {
  const std::string Key =
      this->Directory.RetirementStatusPrefix + Effect.Host.Value;
  ConditionalWrite Write;
  // The service may carry out a call late if its answer was lost, so the report
  // of the start is written only if the key does not exist. It must not replace
  // the report of the completion.
  if (!Effect.IsCompleted)
    Write.Conditions.push_back({Key, Revision()});
  Write.Writes.push_back(
      {Key, this->Directory.EncodeRetirement(Effect.IsCompleted), LeaseId()});
  this->Service.write(std::move(Write), [this, Effect](auto Answer) {
    const bool IsReportedAlready = Answer && !Effect.IsCompleted;
    if (IsReportedAlready || (Answer && Answer.value().HasSucceeded))
      return;
    logEvent("retirement_report_failed",
             {{"host", Effect.Host.Value},
              {"completed", Effect.IsCompleted ? "yes" : "no"}});
    this->apply(RetirementReportFailed{Effect.Host, Effect.IsCompleted});
  });
}

} // namespace tanagerlanding
