#include "tanagerlanding/daemon/SidecarProcess.h"

namespace tanagerlanding {

namespace {

constexpr Milliseconds TickInterval{10};
constexpr Milliseconds FlushLimit{2000};

} // namespace

/// Performs the effects of the sidecar's reducer, one overload for each.
class SidecarProcess::EffectPerformer {
public:
  explicit EffectPerformer(SidecarProcess &Process) : Process(Process) {}

  void operator()(const SendOwner &Effect) {
    this->Process.Hub.send(Effect.Connection, Effect.Body);
  }

  void operator()(const CallTarget &Effect) {
    this->Process.AttemptStarts[Effect.Work.Attempt] = {
        Effect.Work.TraceParent, this->Process.Loop.now()};
    this->Process.Target.call(Effect.Work);
  }

  void operator()(const CancelTargetCall &Effect) {
    this->Process.Target.cancel(Effect.Attempt);
  }

  void operator()(const ProbeTarget &) { this->Process.Target.probe(); }

  void operator()(const ReleaseTargetPrefixes &Effect) {
    this->Process.Target.releasePrefixes(Effect.Prefixes);
  }

  void operator()(const ExitSidecar &) {
    // The performer is destroyed before the flush ends, so the callback must
    // not capture it.
    SidecarProcess &Stopping = this->Process;
    Stopping.Hub.flush(FlushLimit, [&Stopping] { Stopping.Loop.stop(); });
  }

private:
  SidecarProcess &Process;
};

SidecarProcess::SidecarProcess(const NodeSettings &Settings)
    : Settings(Settings),
      Spec(Settings.InitialInventory.Hosts.at(Settings.Host)), Timers(Loop),
      Hub(Loop, *this), Traces(Settings.TraceFile, Settings.Host.Value),
      Target(Loop, Settings.TargetUrl, Spec.Service, Spec.Kind,
             [this](SidecarEvent Event) { this->apply(Event); }) {
  this->State.Options.withCapacity(this->Spec.Capacity)
      .withKind(this->Spec.Kind);
  this->State.Options.PrefixLease = Settings.PrefixLease;
  this->State.Self = InstanceId(makeUniqueId());
}

Result<void, SystemError> SidecarProcess::run() {
  if (auto Listening = this->Hub.listen(this->Settings.Listen.Address,
                                        this->Settings.Listen.Port);
      !Listening)
    return Listening.error();
  this->Timers.subscribe(
      TickInterval, [this](Instant Now) { this->apply(SidecarTick{Now}); });
  this->Loop.onTermination([this] { this->apply(SidecarShutdownRequested{}); });
  logEvent("sidecar_started", {{"host", this->Settings.Host.Value},
                               {"target", this->Settings.TargetUrl},
                               {"instance", this->State.Self.Value}});
  this->Loop.run();
  logEvent("sidecar_stopped", {{"host", this->Settings.Host.Value}});
  return success();
}

void SidecarProcess::onOpened(ConnectionId Id) {
  this->Hub.send(Id, Hello{this->Settings.Host, this->State.Self, std::nullopt,
                           this->State.Version});
}

void SidecarProcess::onMessage(ConnectionId Id, Message Body) {
  if (const auto *HelloMessage = std::get_if<Hello>(&Body))
    this->apply(OwnerConnected{Id, *HelloMessage});
  else
    this->apply(OwnerMessageReceived{Id, std::move(Body)});
}

void SidecarProcess::onClosed(ConnectionId Id) {
  this->apply(OwnerDisconnected{Id});
}

void SidecarProcess::apply(const SidecarEvent &Event) {
  this->recordAttemptSpan(Event);
  EffectPerformer Perform(*this);
  for (const SidecarEffect &Effect : reduce(this->State, Event))
    std::visit(Perform, Effect);
}

void SidecarProcess::recordAttemptSpan(const SidecarEvent &Event) {
  AttemptId Attempt;
  const char *Outcome = "answered";
  if (const auto *Answered = std::get_if<TargetAnswered>(&Event)) {
    Attempt = Answered->Attempt;
  } else if (const auto *Broke = std::get_if<TargetConnectionLost>(&Event)) {
    Attempt = Broke->Attempt;
    Outcome = "broke";
  } else if (const auto *Unreached = std::get_if<TargetUnreachable>(&Event)) {
    Attempt = Unreached->Attempt;
    Outcome = "unreached";
  } else {
    return;
  }
  const auto Found = this->AttemptStarts.find(Attempt);
  if (Found == this->AttemptStarts.end())
    return;
  const auto &[TraceParent, Start] = Found->second;
  this->Traces.write(TraceParent, "sidecar.target", this->Loop.now() - Start,
                     {{"outcome", Outcome}});
  this->AttemptStarts.erase(Found);
}

} // namespace tanagerlanding
