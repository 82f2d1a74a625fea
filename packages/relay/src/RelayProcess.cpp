#include "tanagerlanding/relay/RelayProcess.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Precision of deadlines and limits, which are hundreds of milliseconds.
constexpr Milliseconds TickInterval{25};
/// Short enough for several heartbeats within PeerIdleTimeout.
constexpr Milliseconds HeartbeatInterval{400};
constexpr Milliseconds MetricsInterval{2000};
/// Delay between a watch response from the key-value service and the next
/// request. Ledger replicas usually push changes sooner; without a connection
/// to any of them, this is half of the time within which a configuration has to
/// be in force.
constexpr Milliseconds WatchDelay{1000};
/// How long a watch may wait for a change.
constexpr Milliseconds WatchTimeout{15000};
/// The part of the time for a removed key that is left for an attempt to reach
/// its target once it was decided on, and for the precision of the clock.
constexpr Milliseconds RevocationMargin{250};
constexpr Milliseconds FlushPollInterval{5};
/// Bounds the time spent on the sum over all calls.
constexpr Milliseconds AccountInterval{100};
/// Targets cut off unread answers after seconds, so a quarter of a second is
/// soon enough to decide again whether to read from a paused one.
constexpr Milliseconds PauseReviewInterval{250};
/// Part of the grace period that is reserved for the shutdown itself.
constexpr Milliseconds StopMargin{700};

/// The part of the memory that may hold what callers send.
constexpr std::size_t ReceivePartOfMemory = 4;
/// The parts for histories that are held with their calls, and for those that
/// are read while they are sent.
constexpr std::size_t HeldHistoryPartOfMemory = 8;
constexpr std::size_t LongHistoryPartOfMemory = 16;
/// What may be queued for one replica. More than all closes that may be
/// pending, which are queued at once when a replica connects.
constexpr std::size_t QueuePartOfMemory = 2;

/// The part of the memory that is for callers' connections themselves, and what
/// one of them occupies besides its request: its own state, that of its call
/// and of a connection to a target.
constexpr std::size_t ConnectionPartOfMemory = 8;
constexpr std::size_t ConnectionBytes = 8 * 1024;
/// Sockets for listening, the ledger and the key-value service.
constexpr std::size_t OtherSockets = 64;

std::size_t memoryOf(const RelaySettings &Settings) {
  return Settings.MemoryBytes.value_or(hostMemoryBytes());
}

/// Returns what callers may occupy. Each connection may need a second socket,
/// to a target.
CallerServer::Capacity callerCapacityFor(const RelaySettings &Settings) {
  const std::size_t Memory = memoryOf(Settings);
  const std::size_t Sockets =
      std::min(Settings.Sockets.value_or(descriptorLimit()), descriptorLimit());
  const std::size_t CallerSockets =
      (Sockets - std::min(Sockets, OtherSockets)) / 2;
  const std::size_t ConnectionsInMemory =
      Memory / ConnectionPartOfMemory / ConnectionBytes;
  CallerServer::Capacity Limits;
  Limits.RequestBytes = Memory / ReceivePartOfMemory;
  Limits.Connections =
      std::max<std::size_t>(1, std::min(CallerSockets, ConnectionsInMemory));
  return Limits;
}

Milliseconds maxProofAge(const RelaySettings &Settings) {
  return Settings.RevocationTime - RevocationMargin;
}

WatchTiming watchTimingFor(const RelaySettings &Settings) {
  const WatchTiming Longest{WatchTimeout, WatchDelay};
  return Settings.IsRevocationStrict
             ? boundWatchTiming(maxProofAge(Settings), Longest)
             : Longest;
}

} // namespace

/// Performs the effects of the relay's reducer, one overload for each.
class RelayProcess::EffectPerformer {
public:
  explicit EffectPerformer(RelayProcess &Owner) : Owner(Owner) {}

  void operator()(const RefuseCaller &Effect) {
    this->Owner.Callers.refuse(Effect.Request, Effect.Refusal);
  }
  void operator()(const BeginAnswer &Effect) {
    this->Owner.Callers.beginResponse(Effect.Request, Effect.Head,
                                      Effect.BodyBytes);
  }
  void operator()(const ContinueAnswer &Effect) {
    this->Owner.Callers.sendBody(Effect.Request, Effect.Bytes);
    if (this->Owner.isCallerBehind(Effect.Request))
      this->Owner.setTargetPaused(Effect.Request, true);
  }
  void operator()(const FinishAnswer &Effect) {
    this->Owner.Callers.finishResponse(Effect.Request);
  }
  void operator()(const AbortAnswer &Effect) {
    this->Owner.Callers.abort(Effect.Request);
  }
  void operator()(const SendAttempt &Effect) {
    const auto Call = this->Owner.State.Calls.find(Effect.Request);
    if (Call == this->Owner.State.Calls.end())
      return;
    const CallerRequest &Original = Call->second.InboundRequest;
    AttemptClient::Request Request;
    Request.Attempt = Effect.Attempt;
    Request.Address = Effect.Target.Address;
    Request.Port = Effect.Target.Port;
    Request.Method = Original.Method;
    Request.Target = Original.RequestTarget;
    Request.Headers =
        this->Owner.Protocols.Relay.EncodeAttempt(Original, Effect);
    Request.Start = Effect.History;
    Request.PartBytes = Effect.LongHistoryBytes;
    Request.Body = Original.Body;
    Request.ExpectedId = Original.Id;
    Request.IdleLimit = Effect.IdleLimit;
    Request.SendBefore = Effect.SendBefore;
    this->Owner.Targets.send(std::move(Request));
  }
  void operator()(const SendAttemptPart &Effect) {
    this->Owner.Targets.sendPart(Effect.Attempt, Effect.Bytes);
  }
  void operator()(const CancelTargetAttempt &Effect) {
    this->Owner.Targets.cancel(Effect.Attempt);
  }
  void operator()(const ProbeTargetConnection &Effect) {
    this->Owner.Targets.probe(Effect);
  }
  void operator()(const SendToReplica &Effect) {
    const auto Connection = this->Owner.ReplicaConnections.find(Effect.Holder);
    if (Connection == this->Owner.ReplicaConnections.end())
      return;
    const auto *Close = std::get_if<CloseTurn>(&Effect.Body);
    if (!Close)
      this->Owner.Hub.send(Connection->second, Effect.Body);
    else
      this->Owner.Hub.send(Connection->second, this->encodedClose(*Close));
  }
  void operator()(const ConnectReplicas &Effect) {
    std::vector<ListenAddress> Addresses;
    for (const LedgerMember &Each : Effect.Members)
      Addresses.push_back(ListenAddress{Each.Address, Each.Port});
    this->Owner.connectReplicas(Addresses);
  }
  void operator()(const ConfirmDirectory &) { this->Owner.Keys.confirmNow(); }
  void operator()(const StopAccepting &) {
    this->Owner.Callers.stopAccepting();
  }
  void operator()(const ExitRelay &) { this->Owner.stopWhenFlushed(); }
  void operator()(const LogLine &Effect) {
    logEvent(Effect.Event, Effect.Fields);
  }
  void operator()(const CountMetric &Effect) {
    this->Owner.ProcessMetrics.count(Effect.Name, Effect.Cause, Effect.Amount);
  }

private:
  /// Returns the frame of a close. All replicas get the same one, as it may be
  /// large.
  const ConnectionHub::Frame &encodedClose(const CloseTurn &Close) {
    const std::pair Key(Close.Operation, Close.View);
    if (!this->LastClose || !(this->LastClose->first == Key))
      this->LastClose.emplace(Key, ConnectionHub::encode(Close));
    return this->LastClose->second;
  }

  RelayProcess &Owner;
  std::optional<std::pair<std::pair<LedgerOperationId, ViewVersion>,
                          ConnectionHub::Frame>>
      LastClose;
};

RelayProcess::RelayProcess(const RelaySettings &Settings,
                           DeploymentProtocols Protocols)
    : Settings(Settings), Protocols(std::move(Protocols)), Timers(Loop),
      Hub(Loop, *this, PeerIdleTimeout),
      Service(Loop, Settings.ServiceUrl, this->Protocols.KeyValue),
      Keys(Loop, Service, {{}, watchTimingFor(Settings).Timeout}, *this),
      Buffers(Settings.BufferBytes),
      Callers(Loop, this->Protocols.Relay, Buffers, callerCapacityFor(Settings),
              *this),
      Targets(Loop, this->Protocols.Relay, Buffers, *this),
      Status(Settings.Status.Address, Settings.Status.Port,
             {[this] { return this->IsReady.load(); },
              [this] { return this->ProcessMetrics.render(); }}),
      Instance(makeUniqueId()) {
  this->State.Self = Settings.Host;
  this->State.Zone = Settings.Zone;
  this->State.Random.seed(makeSeed());
  // A random start keeps late answers to an earlier run of this process from
  // matching an operation of this run.
  this->State.NextOperation = makeSeed() / 2;
  // Room for the sum with any time of this process.
  this->State.HeartbeatOffset =
      Milliseconds(static_cast<std::int64_t>(makeSeed() / 4));
  const std::size_t Memory = memoryOf(Settings);
  this->Hub.setMaxQueuedBytes(Memory / QueuePartOfMemory);
  this->State.HeldHistories = ByteBudget(Memory / HeldHistoryPartOfMemory);
  this->State.HistoryParts = ByteBudget(Memory / LongHistoryPartOfMemory);
  this->State.Options.IsRevocationStrict = Settings.IsRevocationStrict;
  this->State.Options.MaxProofAge = maxProofAge(Settings);
  this->State.Options.IsLoadShared = Settings.IsLoadShared;
  this->State.Options.DrainTimeout = Settings.StopGracePeriod - StopMargin;
  this->State.Options.HedgeShare = Settings.HedgeShare;
  this->State.Options.HedgeMaxLoad = Settings.HedgeMaxLoad;
}

RelayProcess::~RelayProcess() = default;

Result<void, SystemError> RelayProcess::run() {
  logEvent("relay_started", {{"host", this->Settings.Host.Value},
                             {"zone", this->Settings.Zone.Value},
                             {"instance", this->Instance.Value}});
  // None of this role's settings can change at run time.
  this->Loop.onReload([this] {
    logEvent("settings_reload_ignored", {{"host", this->Settings.Host.Value}});
  });
  this->Loop.onTermination([this] { this->apply(RelayShutdownRequested{}); });
  if (auto Listening = this->Callers.listen(this->Settings.Callers.Address,
                                            this->Settings.Callers.Port);
      !Listening)
    return Listening;
  if (auto Serving = this->Status.start(); !Serving)
    return Serving;
  this->Timers.subscribe(TickInterval, [this](Instant Now) {
    this->apply(RelayTick{Now});
    this->enforceBufferBudget();
  });
  this->Timers.subscribe(AccountInterval,
                         [this](Instant) { this->accountTurns(); });
  if (this->Buffers.isLimited()) {
    this->Timers.subscribe(AccountInterval,
                           [this](Instant) { this->accountCalls(); });
    this->Timers.subscribe(PauseReviewInterval,
                           [this](Instant) { this->reviewPausedTargets(); });
  }
  this->Timers.subscribe(HeartbeatInterval, [this](Instant Now) {
    for (const auto &[Holder, Connection] : this->ReplicaConnections)
      this->Hub.send(Connection, heartbeatOf(this->State, Now));
  });
  this->Timers.subscribe(MetricsInterval,
                         [this](Instant) { this->publishMetrics(); });
  this->connectReplicas(this->Settings.Seeds);
  this->Keys.setWatchDelay(watchTimingFor(this->Settings).Delay);
  this->Keys.start();
  this->Loop.run();
  logEvent("relay_ended", {{"host", this->Settings.Host.Value}});
  return success();
}

void RelayProcess::apply(const RelayEvent &Event) {
  // Deadlines are computed from the time of the event, not from the last tick.
  this->State.Now = this->Loop.now();
  EffectPerformer Perform(*this);
  for (const RelayEffect &Effect : reduce(this->State, Event))
    std::visit(Perform, Effect);
  const bool IsReadyNow = isRelayReady(this->State);
  this->IsReady = IsReadyNow;
  // Closing the connections makes callers reconnect through the load balancer,
  // which routes them to another relay.
  this->Callers.setDraining(!IsReadyNow);
}

void RelayProcess::onCallerRequest(RequestId Id, CallerRequest Request) {
  if (this->Buffers.isFull()) {
    this->refuseForMemory(Id, Request);
    return;
  }
  this->apply(CallerRequestReceived{Id, std::move(Request)});
}

void RelayProcess::onCallerDisconnected(RequestId Id) {
  this->apply(RelayCallerDisconnected{Id});
}

void RelayProcess::onCallerWritable(RequestId Id) {
  this->setTargetPaused(Id, false);
}

void RelayProcess::refuseForMemory(RequestId Id, const CallerRequest &Request) {
  const RelayRefusal Refusal{RelayRefusalReason::Overloaded, Execution::NotRun,
                             this->State.Options.RetryAfter};
  logEvent("request_refused",
           {{"request", Request.Id.Value},
            {"reason", toString(Refusal.Reason)},
            {"cause", "memory"},
            {"buffered_bytes", std::to_string(this->Buffers.total())}});
  this->ProcessMetrics.count("relay_refusals_total", toString(Refusal.Reason));
  this->Callers.refuse(Id, Refusal);
}

bool RelayProcess::isCallerBehind(RequestId Request) const {
  return this->Buffers.queueAllowance(this->Callers.unreadAge(Request)) <
         this->Callers.queuedBytes(Request);
}

void RelayProcess::reviewPausedTargets() {
  for (const RequestId Request : this->Callers.requestsInProgress()) {
    if (this->Callers.queuedBytes(Request) > 0)
      this->setTargetPaused(Request, this->isCallerBehind(Request));
  }
}

void RelayProcess::accountTurns() {
  std::size_t Bytes = 0;
  for (const auto &[Request, Call] : this->State.Calls)
    Bytes += Call.Output.size() + Call.BufferedBody.size() +
             Call.Splitter.partialBytes();
  for (const auto &[Operation, Close] : this->State.PendingCloses) {
    Bytes += Close.Message.Output.size();
    // The input of a call in progress counts with its request.
    if (!Close.WaitingCall)
      Bytes += Close.Message.Input.size();
  }
  // Replicas share the frames of closes, which are most of what is queued.
  std::size_t LongestQueue = 0;
  for (const auto &[Holder, Connection] : this->ReplicaConnections)
    LongestQueue = std::max(LongestQueue, this->Hub.queuedBytes(Connection));
  this->Callers.setOtherBytes(Bytes + LongestQueue);
}

void RelayProcess::accountCalls() {
  std::size_t Histories = 0;
  std::size_t Answers = 0;
  for (const auto &[Request, Call] : this->State.Calls) {
    Histories += Call.Ledger.History.size();
    Answers += Call.BufferedBody.size() + Call.Splitter.partialBytes() +
               Call.Output.size();
  }
  for (const auto &[Operation, Close] : this->State.PendingCloses)
    Histories += Close.Message.Input.size() + Close.Message.Output.size();
  this->Buffers.resize(BufferKind::Histories, this->CountedHistories,
                       Histories);
  this->Buffers.resize(BufferKind::TargetAnswers, this->CountedAnswers,
                       Answers);
  this->CountedHistories = Histories;
  this->CountedAnswers = Answers;
}

void RelayProcess::enforceBufferBudget() {
  if (!this->Buffers.isLimited())
    return;
  const bool WasFull = this->Buffers.isFull();
  const std::size_t Total = this->Buffers.total();
  if (WasFull && !this->IsFullLogged)
    logEvent("buffer_budget_full",
             {{"buffered_bytes", std::to_string(Total)},
              {"limit_bytes", std::to_string(*this->Settings.BufferBytes)}});
  const auto EndedConnections = this->Callers.endOldestUnread();
  for (const auto &Each : EndedConnections) {
    const Milliseconds Age = this->Loop.now() - Each.Queue.Since;
    logEvent("connection_ended_for_memory",
             {{"request", Each.Attempt.Value},
              {"connection", std::to_string(Each.Queue.Connection.Value)},
              {"queued_bytes", std::to_string(Each.Queue.Bytes)},
              {"unread_ms", std::to_string(Age.count())}});
    this->ProcessMetrics.count("relay_connections_ended_total", "memory");
  }
  if (!EndedConnections.empty())
    this->accountCalls();
  this->IsFullLogged = this->IsFullLogged || WasFull;
  if (!this->IsFullLogged || this->Buffers.isFull())
    return;
  this->IsFullLogged = false;
  logEvent("buffer_budget_free",
           {{"buffered_bytes", std::to_string(this->Buffers.total())}});
}

void RelayProcess::setTargetPaused(RequestId Request, bool ShouldPause) {
  const auto Call = this->State.Calls.find(Request);
  if (Call != this->State.Calls.end())
    this->Targets.setPaused(Call->second.Attempt, ShouldPause);
}

void RelayProcess::onAttemptHead(RelayAttemptId Attempt,
                                 const TargetAnswerHead &Head) {
  this->apply(AttemptHeadReceived{Attempt, Head});
}

void RelayProcess::onAttemptBytes(RelayAttemptId Attempt, std::string Bytes) {
  this->apply(AttemptBytesReceived{Attempt, std::move(Bytes)});
  // Targets can send more than the rest of the budget within one tick. If
  // nothing could be ended, the next ticks try again.
  if (this->Buffers.isFull() && !this->IsFullLogged)
    this->enforceBufferBudget();
}

void RelayProcess::onAttemptPartWritten(RelayAttemptId Attempt,
                                        std::size_t Bytes) {
  this->apply(AttemptPartWritten{Attempt, Bytes});
}

void RelayProcess::onAttemptEnd(RelayAttemptId Attempt,
                                AttemptEnded::Kind Outcome) {
  this->apply(AttemptEnded{Attempt, Outcome});
}

void RelayProcess::onTargetProbed(const TargetConnectionProbed &Result) {
  this->apply(Result);
}

void RelayProcess::connectReplicas(
    const std::vector<ListenAddress> &Addresses) {
  ConnectionHub::Addresses Endpoints;
  for (const ListenAddress &Each : Addresses)
    Endpoints.emplace(Each.Address, Each.Port);
  this->Hub.setPeers(Endpoints);
}

void RelayProcess::onOpened(ConnectionId Id) {
  Hello HelloMessage;
  HelloMessage.Host = this->Settings.Host;
  HelloMessage.Instance = this->Instance;
  this->Hub.send(Id, HelloMessage);
}

void RelayProcess::onMessage(ConnectionId Id, Message Body) {
  if (const auto *HelloMessage = std::get_if<Hello>(&Body)) {
    if (!HelloMessage->Holder)
      return;
    this->ReplicaConnections[*HelloMessage->Holder] = Id;
    this->ConnectedReplicas[Id] = *HelloMessage->Holder;
    this->apply(ReplicaConnected{*HelloMessage->Holder});
    // Sent at once, so that the replica's next query already proves something.
    this->Hub.send(Id, heartbeatOf(this->State, this->Loop.now()));
    return;
  }
  if (const auto *Update = std::get_if<DirectoryChanges>(&Body)) {
    const auto Sender = this->ConnectedReplicas.find(Id);
    if (Sender != this->ConnectedReplicas.end())
      this->apply(
          ReplicaReachabilityReported{Sender->second, Update->IsServiceLost});
    std::vector<KeyChange> Changes;
    for (const DirectoryItem &Each : Update->Items)
      Changes.push_back(KeyChange{
          KeyValue{Each.Key, Each.Value, Each.ModRevision}, Each.IsDeleted});
    this->Keys.applyChanges(Changes);
    return;
  }
  const auto Holder = this->ConnectedReplicas.find(Id);
  if (Holder != this->ConnectedReplicas.end())
    this->apply(ReplicaMessageReceived{Holder->second, std::move(Body)});
}

void RelayProcess::onClosed(ConnectionId Id) {
  const auto Found = this->ConnectedReplicas.find(Id);
  if (Found == this->ConnectedReplicas.end())
    return;
  const HolderId Holder = Found->second;
  this->ConnectedReplicas.erase(Found);
  const auto Connection = this->ReplicaConnections.find(Holder);
  // A newer connection to the same replica may be open already.
  if (Connection == this->ReplicaConnections.end() ||
      !(Connection->second == Id))
    return;
  this->ReplicaConnections.erase(Connection);
  this->apply(ReplicaDisconnected{Holder});
}

void RelayProcess::onKeysChanged(const std::vector<KeyChange> &Changes) {
  const DirectoryProtocol &Directory = this->Protocols.Directory;
  for (const KeyChange &Each : Changes) {
    if (Directory.isTargetKey(Each.Item.Key))
      this->handleTargetChange(Each);
    else if (Each.Item.Key == Directory.ConfigurationKey)
      this->handleConfigurationChange(Each);
    else if (Each.Item.Key == ledgerViewKey())
      this->handleLedgerViewChange(Each);
  }
}

void RelayProcess::handleConfigurationChange(const KeyChange &Change) {
  this->adoptConfiguration(Change);
  // After the configuration, since a vouch may be waiting for this change.
  this->apply(ConfigurationKeyObserved{Change.Item.ModRevision});
}

void RelayProcess::adoptConfiguration(const KeyChange &Change) {
  if (Change.IsDeleted)
    return;
  const auto Decoded =
      this->Protocols.Directory.DecodeConfiguration(Change.Item.Value);
  if (!Decoded) {
    this->ProcessMetrics.count("relay_odd_entries_total", "configuration");
    for (const SettingsFault &Fault : Decoded.error())
      logEvent("configuration_invalid",
               {{"path", Fault.Path}, {"expected", Fault.Expected}});
    return;
  }
  this->Callers.setLimits(Decoded.value().Limits);
  this->apply(RelayConfigured{Decoded.value()});
}

void RelayProcess::handleTargetChange(const KeyChange &Change) {
  const TargetId Id(
      Change.Item.Key.substr(this->Protocols.Directory.TargetPrefix.size()));
  if (Change.IsDeleted) {
    this->apply(TargetUnregistered{Id});
    return;
  }
  const auto Decoded =
      this->Protocols.Directory.DecodeTarget(Id, Change.Item.Value);
  if (Decoded) {
    this->apply(TargetRegistered{Decoded.value()});
    return;
  }
  // An invalid entry was written by something else and describes no usable
  // target, so a target known under this id counts as unregistered. Every
  // change of a key arrives here once, so there is one line for each key and
  // revision.
  this->ProcessMetrics.count("relay_odd_entries_total", "target");
  std::string Faults;
  for (const SettingsFault &Fault : Decoded.error())
    Faults += (Faults.empty() ? "" : ", ") + Fault.Path + ": " + Fault.Expected;
  logEvent("target_entry_invalid",
           {{"target", Id.Value},
            {"revision", std::to_string(Change.Item.ModRevision.Value)},
            {"faults", Faults}});
  this->apply(TargetUnregistered{Id});
}

void RelayProcess::handleLedgerViewChange(const KeyChange &Change) {
  if (Change.IsDeleted)
    return;
  const auto View = decodeLedgerView(Change.Item.Value);
  if (View)
    this->apply(RelayLedgerViewObserved{*View});
  else {
    this->ProcessMetrics.count("relay_odd_entries_total", "view");
    logEvent("entry_invalid",
             {{"key", Change.Item.Key},
              {"revision", std::to_string(Change.Item.ModRevision.Value)},
              {"expected", "view"}});
  }
}

void RelayProcess::onServiceAvailable() { this->apply(DirectoryRegained{}); }

void RelayProcess::onServiceUnavailable() { this->apply(DirectoryLost{}); }

void RelayProcess::onContentConfirmed(Instant AskedAt) {
  this->apply(DirectoryConfirmed{AskedAt});
}

void RelayProcess::onConfirmationFailed() {
  this->apply(DirectoryNotConfirmed{});
}

void RelayProcess::onHistoryLost() { this->apply(DirectoryHistoryLost{}); }

void RelayProcess::onOutdatedChange(const KeyChange &Change) {
  const DirectoryProtocol &Directory = this->Protocols.Directory;
  // The newer state may be one that can't be used; its own version keeps an
  // older configuration from replacing one that is in force.
  if (Change.Item.Key == Directory.ConfigurationKey &&
      !this->State.Configuration)
    this->adoptConfiguration(Change);
  if (!Directory.isTargetKey(Change.Item.Key))
    return;
  const TargetId Id(Change.Item.Key.substr(Directory.TargetPrefix.size()));
  if (const auto Decoded = Directory.DecodeTarget(Id, Change.Item.Value))
    this->apply(OutdatedTargetObserved{Decoded.value()});
}

void RelayProcess::publishBufferMetrics() {
  std::map<std::string, double> ByKind;
  for (const BufferKind Kind :
       {BufferKind::RequestBodies, BufferKind::Histories,
        BufferKind::TargetAnswers, BufferKind::QueuedAnswers})
    ByKind[toString(Kind)] = static_cast<double>(this->Buffers.bytes(Kind));
  this->ProcessMetrics.replaceSeries("relay_buffered_bytes", "kind", ByKind);
}

void RelayProcess::publishMetrics() {
  if (this->Buffers.isLimited())
    this->publishBufferMetrics();
  if (this->Settings.IsRevocationStrict)
    this->ProcessMetrics.set(
        "relay_configuration_proof_age_ms",
        static_cast<double>(configurationProofAge(this->State).count()));
  this->ProcessMetrics.replaceSeries(
      "relay_history_bytes", "kind",
      {{"held", static_cast<double>(this->State.HeldHistories.used())},
       {"parts", static_cast<double>(this->State.HistoryParts.used())}});
  this->ProcessMetrics.set("relay_received_bytes",
                           static_cast<double>(this->Callers.receivedBytes()));
  this->ProcessMetrics.set("relay_calls",
                           static_cast<double>(this->State.Calls.size()));
  this->ProcessMetrics.set("relay_targets",
                           static_cast<double>(this->State.Targets.size()));
  this->ProcessMetrics.set(
      "relay_limited_targets",
      static_cast<double>(
          allNotices(this->State.Limits, this->State.Now).size()));
  std::size_t HeldPermits = 0;
  std::size_t HeldTeamPermits = 0;
  for (const auto &[Subject, Stock] : this->State.Permits) {
    const bool IsOfTeam = std::holds_alternative<TeamId>(Subject);
    (IsOfTeam ? HeldTeamPermits : HeldPermits) += Stock.ValidUntil.size();
  }
  this->ProcessMetrics.set("relay_permits_held",
                           static_cast<double>(HeldPermits));
  this->ProcessMetrics.set("relay_team_permits_held",
                           static_cast<double>(HeldTeamPermits));
  if (this->State.Loads.ViewReceivedAt)
    this->ProcessMetrics.set(
        "relay_load_view_age_ms",
        static_cast<double>(
            (this->State.Now - *this->State.Loads.ViewReceivedAt).count()));
  this->ProcessMetrics.set("relay_load_rows",
                           static_cast<double>(countKnownLoads(this->State)));
  this->ProcessMetrics.set("platform_calls",
                           static_cast<double>(this->Service.callCount()));
  this->ProcessMetrics.set("control_sent_bytes",
                           static_cast<double>(this->Hub.sentBytes()));
}

void RelayProcess::stopWhenFlushed() {
  if (this->Callers.isFlushed()) {
    this->Hub.flush(StopMargin / 2, [this] { this->Loop.stop(); });
    return;
  }
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(this->Loop.context());
  Timer->expires_after(FlushPollInterval);
  Timer->async_wait([this, Timer](const auto &) { this->stopWhenFlushed(); });
}

} // namespace tanagerlanding
