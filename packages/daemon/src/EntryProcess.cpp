#include "tanagerlanding/daemon/EntryProcess.h"

#include "StatusReport.h"

#include <future>

namespace tanagerlanding {

namespace {

constexpr Milliseconds TickInterval{10};
constexpr Milliseconds PollInterval{500};
constexpr Milliseconds StatusInterval{200};
constexpr Milliseconds FlushLimit{2000};
constexpr Milliseconds FlushPollInterval{50};
constexpr Milliseconds QueryLimit{1000};

RoutingPolicy parseRoutingPolicy(const std::string &Name) {
  if (Name == "round_robin")
    return RoundRobin{};
  if (Name == "least_requests")
    return LeastRequests{};
  if (Name == "prefix_affinity")
    return PrefixAffinity{};
  return LeastExpectedFinish{};
}

EntryOptions optionsFrom(const NodeSettings &Settings) {
  EntryOptions Options;
  Options.withShardCount(Settings.ShardCount)
      .withPrefixRetention(Settings.PrefixRetention)
      .withProgramIdleTimeout(Settings.ProgramIdleTimeout)
      .withPolicy(parseRoutingPolicy(Settings.RoutingPolicyName));
  Options.DrainTimeout = Settings.DrainTimeout;
  return Options;
}

} // namespace

/// Performs the effects of the entry's reducer, one overload for each.
class EntryProcess::EffectPerformer {
public:
  explicit EffectPerformer(EntryProcess &Process) : Process(Process) {}

  void operator()(const SendHost &Effect) {
    this->Process.sendTo(Effect.Host, Effect.Body);
  }

  void operator()(const AnswerCaller &Effect) {
    this->recordRequestSpan(Effect.Request);
    this->Process.Gateway.answer(Effect.Request, Effect.Answer);
  }

  void operator()(const StreamToCaller &Effect) {
    this->Process.Gateway.stream(Effect.Request, Effect.Bytes);
  }

  void operator()(const WriteShardEntry &Effect) {
    this->Process.writeShardEntry(Effect);
  }

  void operator()(const LogLine &Effect) {
    logEvent(Effect.Event, Effect.Fields);
  }

  void operator()(const CountMetric &Effect) {
    this->Process.ProcessMetrics.count(Effect.Name, Effect.Cause,
                                       Effect.Amount);
  }

  void operator()(const RecordSpan &Effect) {
    this->Process.ProcessMetrics.observe(
        "owner_call_ms", static_cast<double>(Effect.Duration.count()));
    this->Process.Traces.write(Effect.TraceParent, Effect.Name, Effect.Duration,
                               Effect.Attributes);
  }

  void operator()(const ExitEntry &) {
    this->Process.Gateway.stopAccepting();
    this->Process.stopWhenFlushed();
  }

private:
  void recordRequestSpan(RequestId Request) {
    const auto Found = this->Process.RequestStarts.find(Request);
    if (Found == this->Process.RequestStarts.end())
      return;
    const auto &[TraceParent, Start] = Found->second;
    const Milliseconds Elapsed = this->Process.Loop.now() - Start;
    this->Process.ProcessMetrics.observe("request_ms",
                                         static_cast<double>(Elapsed.count()));
    this->Process.Traces.write(TraceParent, "entry.request", Elapsed, {});
    this->Process.RequestStarts.erase(Found);
  }

  EntryProcess &Process;
};

EntryProcess::EntryProcess(const NodeSettings &Settings)
    : Settings(Settings), Timers(Loop), Hub(Loop, *this),
      Traces(Settings.TraceFile, Settings.Host.Value),
      Platform(Loop, Settings.PlatformUrl),
      Gateway(HttpGateway::Options()
                  .withAddress(Settings.Http.Address)
                  .withPort(Settings.Http.Port)
                  .withMaxHeaderBytes(Settings.MaxHeaderBytes)
                  .withMaxRequestBytes(Settings.MaxRequestBytes)
                  .withAllRequestsBytes(Settings.AllRequestsBytes),
              *this) {
  this->State.Options = optionsFrom(Settings);
  this->State.Self = Settings.Host;
  this->State.Instance = InstanceId(makeUniqueId());
  this->State.Random.seed(makeSeed());
}

EntryProcess::~EntryProcess() = default;

Result<void, SystemError> EntryProcess::run() {
  if (auto Opened = this->openJournal(); !Opened)
    return Opened.error();
  if (auto Listening = this->Hub.listen(this->Settings.Listen.Address,
                                        this->Settings.Listen.Port);
      !Listening)
    return Listening.error();
  if (auto Serving = this->Gateway.start(); !Serving)
    return Serving.error();

  this->apply(EntryTick{this->Loop.now()});
  this->apply(InventoryObserved{this->Settings.InitialInventory});
  this->connectHosts();
  this->pollPlatform();
  this->Timers.subscribe(TickInterval,
                         [this](Instant Now) { this->apply(EntryTick{Now}); });
  this->Timers.subscribe(PollInterval,
                         [this](Instant) { this->pollPlatform(); });
  this->Timers.subscribe(StatusInterval,
                         [this](Instant) { this->publishStatus(); });
  this->Loop.onTermination([this] { this->apply(EntryShutdownRequested{}); });
  logEvent("entry_started",
           {{"host", this->Settings.Host.Value},
            {"http_port", std::to_string(this->Gateway.port())},
            {"instance", this->State.Instance.Value}});
  this->Loop.run();
  this->Gateway.stop();
  logEvent("entry_stopped", {{"host", this->Settings.Host.Value}});
  return success();
}

Result<void, SystemError> EntryProcess::openJournal() {
  if (this->Settings.DataFolder.empty())
    return success();
  this->Folder = std::make_unique<JournalFolder>(this->Settings.DataFolder);
  auto Opened = this->Folder->open();
  if (!Opened)
    return Opened.error();
  if (const auto &Damage = this->Folder->damage())
    logEvent("data_folder_damaged", Damage->logFields());
  logEvent("data_folder_opened", this->Folder->recovery().logFields());
  this->Holder = Opened.value();
  this->State.Holder = this->Holder->Self;
  this->Writer = std::make_unique<JournalWriter>(
      *this->Folder,
      [this](HolderEvent Event) {
        this->Loop.post(
            [this, Event = std::move(Event)] { this->applyHolder(Event); });
      },
      [this](HostId Host, Message Body) {
        this->Loop.post([this, Host = std::move(Host), Body = std::move(Body)] {
          this->performHolder(SendFromHolder{Host, Body});
        });
      });
  return success();
}

Hello EntryProcess::makeHello() const {
  return Hello{this->State.Self, this->State.Instance, this->State.Holder,
               this->State.Accepted.Version};
}

void EntryProcess::onOpened(ConnectionId Id) {
  this->Hub.send(Id, this->makeHello());
}

void EntryProcess::onMessage(ConnectionId Id, Message Body) {
  if (const auto *HelloMessage = std::get_if<Hello>(&Body)) {
    this->handleHello(Id, *HelloMessage);
    return;
  }
  const auto Found = this->ConnectedHosts.find(Id);
  if (Found == this->ConnectedHosts.end()) {
    logEvent("message_before_hello",
             {{"connection", std::to_string(Id.Value)}});
    this->Hub.close(Id);
    return;
  }
  const HostId Host = Found->second;
  if (Host.Value.empty()) {
    this->handleOperator(Id, Body);
    return;
  }
  if (const auto *Offer = std::get_if<ConfigOffer>(&Body)) {
    this->handleConfigOffer(*Offer);
    return;
  }
  if (!this->handleHolderMessage(Host, Body))
    this->apply(PeerMessageReceived{Host, std::move(Body)});
}

void EntryProcess::handleOperator(ConnectionId Id, const Message &Body) {
  if (const auto *Offer = std::get_if<ConfigOffer>(&Body))
    this->handleConfigOffer(*Offer);
  else
    this->Hub.close(Id);
}

void EntryProcess::handleHello(ConnectionId Id, const Hello &HelloMessage) {
  if (HelloMessage.Host.Value.empty()) {
    // A connection without a host name is an operator's program, not a peer.
    this->ConnectedHosts[Id] = HelloMessage.Host;
    return;
  }
  const auto Previous = this->PeerConnections.find(HelloMessage.Host);
  if (Previous != this->PeerConnections.end() && Previous->second != Id) {
    const ConnectionId Old = Previous->second;
    this->Hub.close(Old);
  }
  this->PeerConnections[HelloMessage.Host] = Id;
  this->ConnectedHosts[Id] = HelloMessage.Host;
  this->apply(PeerConnected{HelloMessage});
}

void EntryProcess::onClosed(ConnectionId Id) {
  const auto Found = this->ConnectedHosts.find(Id);
  if (Found == this->ConnectedHosts.end())
    return;
  const HostId Host = Found->second;
  this->ConnectedHosts.erase(Found);
  const auto Connection = this->PeerConnections.find(Host);
  if (Connection == this->PeerConnections.end() || Connection->second != Id)
    return;
  this->PeerConnections.erase(Connection);
  this->apply(PeerDisconnected{Host});
}

void EntryProcess::handleConfigOffer(const ConfigOffer &Offer) {
  if (!(this->State.Accepted.Version < Offer.Version))
    return;
  CheckedInventory Read = parseInventory(Offer.Document, "offered");
  if (!Read) {
    logEvent("configuration_invalid",
             {{"version", std::to_string(Offer.Version.Value)}});
    return;
  }
  Inventory Accepted = std::move(Read.value());
  Accepted.Version = Offer.Version;
  this->apply(InventoryObserved{std::move(Accepted)});
  this->connectHosts();
}

void EntryProcess::connectHosts() {
  for (const auto &[Name, Host] : this->State.Accepted.Hosts) {
    const bool IsEntry = Host.Role == HostRole::Entry;
    // Of two entries, the one with the lower name opens the connection.
    if (Name == this->State.Self || (IsEntry && Name < this->State.Self))
      continue;
    this->Hub.keepConnected(Host.Address, Host.Port);
  }
}

void EntryProcess::sendTo(const HostId &Host, Message Body) {
  if (Host == this->State.Self) {
    this->handleHolderMessage(Host, Body);
    return;
  }
  const auto Connection = this->PeerConnections.find(Host);
  if (Connection != this->PeerConnections.end())
    this->Hub.send(Connection->second, Body);
}

bool EntryProcess::handleHolderMessage(const HostId &Host,
                                       const Message &Body) {
  HolderRequestReceived Event;
  Event.Peer = Host;
  if (const auto *Append = std::get_if<AppendRecords>(&Body))
    Event.Request = *Append;
  else if (const auto *Seal = std::get_if<SealLog>(&Body))
    Event.Request = *Seal;
  else if (const auto *Release = std::get_if<ReleaseLog>(&Body))
    Event.Request = *Release;
  else
    return false;
  this->applyHolder(Event);
  return true;
}

void EntryProcess::apply(const EntryEvent &Event) {
  EffectPerformer Perform(*this);
  for (const EntryEffect &Effect : reduce(this->State, Event))
    std::visit(Perform, Effect);
}

void EntryProcess::applyHolder(const HolderEvent &Event) {
  if (!this->Holder)
    return;
  if (std::holds_alternative<DataFolderFailed>(Event))
    logEvent("data_folder_failed", {{"folder", this->Settings.DataFolder}});
  for (const HolderEffect &Effect : reduce(*this->Holder, Event))
    this->performHolder(Effect);
}

void EntryProcess::performHolder(const HolderEffect &Effect) {
  const auto *Send = std::get_if<SendFromHolder>(&Effect);
  if (!Send) {
    this->Writer->submit(Effect);
    return;
  }
  if (Send->Peer != this->State.Self) {
    this->sendTo(Send->Peer, Send->Body);
    return;
  }
  this->Loop.post([this, Body = Send->Body] {
    this->apply(PeerMessageReceived{this->State.Self, Body});
  });
}

void EntryProcess::onCall(RequestId Request, Call NewCall) {
  this->Loop.post([this, Request, NewCall = std::move(NewCall)]() mutable {
    // A call without an idempotency key can't be repeated; it gets a unique
    // one.
    if (NewCall.Key.Value.empty())
      NewCall.Key = CallKey("unkeyed:" + this->State.Instance.Value + ":" +
                            std::to_string(Request.Value));
    this->RequestStarts[Request] = {NewCall.TraceParent, this->Loop.now()};
    this->apply(CallArrived{Request, std::move(NewCall)});
  });
}

void EntryProcess::onCallerDisconnected(RequestId Request) {
  this->Loop.post([this, Request] {
    this->RequestStarts.erase(Request);
    this->ProcessMetrics.count("callers_vanished_total", "closed");
    this->apply(CallerDisconnected{Request});
  });
}

std::string EntryProcess::metricsText() {
  return this->ProcessMetrics.render();
}

std::string EntryProcess::statusText() {
  const std::lock_guard<std::mutex> Guard(this->StatusLock);
  return this->Status;
}

std::string EntryProcess::programsText() {
  const auto Answer = std::make_shared<std::promise<std::string>>();
  std::future<std::string> Text = Answer->get_future();
  this->Loop.post(
      [this, Answer] { Answer->set_value(describePrograms(this->State)); });
  if (Text.wait_for(QueryLimit) != std::future_status::ready)
    return "[]";
  return Text.get();
}

bool EntryProcess::isReady() {
  const std::lock_guard<std::mutex> Guard(this->StatusLock);
  return this->IsReadyNow;
}

void EntryProcess::publishStatus() {
  const std::string NewStatus =
      describeStatus(this->State, ProcessCounts{this->Platform.callCount(),
                                                this->Hub.sentBytes()});
  this->ProcessMetrics.set("platform_calls",
                           static_cast<double>(this->Platform.callCount()));
  this->ProcessMetrics.set("control_sent_bytes",
                           static_cast<double>(this->Hub.sentBytes()));
  const std::lock_guard<std::mutex> Guard(this->StatusLock);
  this->Status = NewStatus;
  this->IsReadyNow =
      !this->State.IsDraining && countUnservedShards(this->State) == 0;
}

void EntryProcess::pollPlatform() {
  if (this->IsPolling)
    return;
  this->IsPolling = true;
  this->Platform.readPrefix(this->Settings.PlatformPrefix, [this](auto Read) {
    this->IsPolling = false;
    if (Read)
      this->handlePlatformValues(Read.value());
    else
      this->ProcessMetrics.count("platform_errors_total", "read");
  });
}

void EntryProcess::handlePlatformValues(const std::vector<KeyValue> &Values) {
  TableObserved Table;
  Table.IsWhole = true;
  for (const KeyValue &Each : Values) {
    if (const auto Id = shardOfKey(this->Settings.PlatformPrefix, Each.Key)) {
      if (const auto Entry = decodeShardEntry(Each.Value))
        Table.Rows.emplace_back(*Id,
                                VersionedShardEntry{*Entry, Each.ModRevision});
      continue;
    }
    if (Each.Key != configurationKey(this->Settings.PlatformPrefix))
      continue;
    if (const auto Stored = decodeConfiguration(Each.Value))
      this->handleConfigOffer(ConfigOffer{Stored->Version, Stored->Document});
  }
  this->apply(Table);
}

void EntryProcess::writeShardEntry(const WriteShardEntry &Effect) {
  const ShardId Id = Effect.Shard;
  const ShardEntry Entry = Effect.Entry;
  this->Platform.writeIfUnchanged(
      shardKey(this->Settings.PlatformPrefix, Id), encodeShardEntry(Entry),
      Effect.Expected, [this, Id, Entry](auto Answer) {
        if (!Answer) {
          // The next poll shows whether the write took effect.
          this->ProcessMetrics.count("platform_errors_total", "write");
          return;
        }
        TableObserved Table;
        if (Answer.value().HasSucceeded) {
          Table.Rows.emplace_back(
              Id, VersionedShardEntry{Entry, Answer.value().ServiceRevision});
        } else if (const auto &Conflicting = Answer.value().ConflictingItem) {
          if (const auto Row = decodeShardEntry(Conflicting->Value))
            Table.Rows.emplace_back(
                Id, VersionedShardEntry{*Row, Conflicting->ModRevision});
        }
        this->apply(Table);
      });
}

void EntryProcess::stopWhenFlushed() {
  if (this->Gateway.unsentCount() > 0) {
    auto Timer =
        std::make_shared<boost::asio::steady_timer>(this->Loop.context());
    Timer->expires_after(FlushPollInterval);
    Timer->async_wait([this, Timer](const auto &) { this->stopWhenFlushed(); });
    return;
  }
  this->Hub.flush(FlushLimit, [this] { this->Loop.stop(); });
}

} // namespace tanagerlanding
