#include "tanagerlanding/decision/SidecarReducer.h"

#include "SidecarPrefixes.h"

#include <algorithm>
#include <tuple>

namespace tanagerlanding {

namespace {

/// Handles the events of a sidecar, one overload for each.
class SidecarHandler {
public:
  SidecarHandler(SidecarState &State, std::vector<SidecarEffect> &Effects)
      : State(State), Effects(Effects), Prefixes(State, Effects) {}

  void operator()(const SidecarTick &Event) {
    this->State.Now = Event.Now;
    this->dropExpired();
    this->cancelOrphans();
    this->Prefixes.releaseExpired();
    this->refuseExpired();
    this->cancelAtUnresponsiveTarget();
    this->startNext();
    this->reportIfDue();
    this->exitIfDone();
  }

  void operator()(const OwnerConnected &Event) {
    this->State.Owners[Event.Connection] = Event.Greeting.Host;
    this->send(Event.Connection, this->report());
  }

  void operator()(const OwnerDisconnected &Event) {
    this->State.Owners.erase(Event.Connection);
    for (auto &[Id, Attempt] : this->State.Attempts) {
      if (Attempt.Owner == Event.Connection)
        Attempt.OrphanedAt = this->State.Now;
    }
    this->Prefixes.leaseAllOf(Event.Connection);
  }

  void operator()(const OwnerMessageReceived &Event) {
    std::visit([&](const auto &Body) { this->handle(Event.Connection, Body); },
               Event.Body);
  }

  void operator()(const TargetChunk &Event) {
    SidecarAttempt *Attempt = this->find(Event.Attempt);
    if (Attempt && !Attempt->OrphanedAt)
      this->send(Attempt->Owner, AttemptChunk{Event.Attempt, Event.Bytes});
  }

  void operator()(const TargetAnswered &Event) {
    this->finish(AttemptFinished{Event.Attempt, Execution::Ran, Event.Answer,
                                 Event.Generated, Event.HistoryMessage, false});
  }

  void operator()(const TargetUnreachable &Event) {
    const SidecarAttempt *Attempt = this->find(Event.Attempt);
    if (!Attempt)
      return;
    this->State.IsHealthy = false;
    this->probe();
    this->refuse(Attempt->Owner, Event.Attempt, CallError::TargetFailed);
    this->Prefixes.leaseIfNew(*Attempt);
    this->State.Attempts.erase(Event.Attempt);
    this->startNext();
  }

  void operator()(const TargetConnectionLost &Event) {
    SidecarAttempt *Attempt = this->find(Event.Attempt);
    if (!Attempt)
      return;
    if (Attempt->IsCancelled) {
      this->finishUnknown(Event.Attempt, false);
      return;
    }
    Attempt->Broken = true;
    this->probe();
  }

  void operator()(const TargetProbed &Event) {
    this->State.IsProbeRunning = false;
    if (this->isInconclusive(Event)) {
      this->probe();
      return;
    }
    const bool Changed = this->State.IsHealthy != Event.IsAlive;
    if (this->State.IsHealthy && !Event.IsAlive)
      this->State.UnhealthySince = this->State.Now;
    this->State.IsHealthy = Event.IsAlive;
    this->finishBroken(!Event.IsAlive);
    if (Event.IsAlive)
      this->Prefixes.leaseUntracked(Event.HeldPrefixes);
    if (Changed)
      this->reportToAll();
    this->startNext();
  }

  void operator()(const SidecarShutdownRequested &) {
    if (this->State.IsLeaving)
      return;
    this->State.IsLeaving = true;
    this->State.LeavingSince = this->State.Now;
    this->refuseQueued(CallError::Draining);
    this->reportToAll();
    this->exitIfDone();
  }

private:
  void handle(ConnectionId Connection, const DispatchAttempt &Work) {
    const CallError Reason = this->reasonToRefuse(Work);
    if (Reason != CallError::None) {
      this->refuse(Connection, Work.Attempt, Reason);
      return;
    }
    this->State.Fences[Work.Attempt.Shard] = Work.Attempt.OwnerEpoch;
    SidecarAttempt Attempt;
    Attempt.Work = Work;
    Attempt.Owner = Connection;
    Attempt.Arrived = this->State.Now;
    Attempt.Deadline = this->State.Now + Work.Deadline;
    this->State.Attempts.emplace(Work.Attempt, Attempt);
    this->startNext();
  }

  CallError reasonToRefuse(const DispatchAttempt &Work) const {
    const AttemptId &Id = Work.Attempt;
    const auto Fence = this->State.Fences.find(Id.Shard);
    if (Fence != this->State.Fences.end() && Id.OwnerEpoch < Fence->second)
      return CallError::NotOwner;
    if (this->State.Refused.count(Id) > 0)
      return CallError::NotOwner;
    if (this->State.Attempts.count(Id) > 0 ||
        this->State.Outcomes.count(Id) > 0)
      return CallError::KeyReused;
    if (this->State.IsLeaving)
      return CallError::Draining;
    if (!this->State.IsHealthy)
      return CallError::TargetFailed;
    if (this->queuedCount() >= this->State.Options.QueueLimit)
      return CallError::QueueFull;
    return CallError::None;
  }

  void handle(ConnectionId Connection, const QueryAttempt &Request) {
    Epoch &Fence = this->State.Fences[Request.Attempt.Shard];
    if (Fence < Request.AskingEpoch)
      Fence = Request.AskingEpoch;

    const auto Kept = this->State.Outcomes.find(Request.Attempt);
    if (Kept != this->State.Outcomes.end()) {
      this->send(Connection, Kept->second.Outcome);
      return;
    }
    SidecarAttempt *Attempt = this->find(Request.Attempt);
    if (Attempt && Attempt->IsRunning) {
      Attempt->Owner = Connection;
      Attempt->OrphanedAt.reset();
      this->send(Connection, AttemptRunning{Request.Attempt});
      return;
    }
    if (Attempt)
      this->State.Attempts.erase(Request.Attempt);
    if (this->mayHaveDropped(Request.Attempt)) {
      AttemptFinished Unknown;
      Unknown.Attempt = Request.Attempt;
      this->send(Connection, Unknown);
      return;
    }
    // A dispatch of this attempt may still arrive and must not run.
    this->State.Refused[Request.Attempt] =
        this->State.Now + this->State.Options.OutcomeRetention;
    this->refuse(Connection, Request.Attempt, CallError::OwnerLost);
  }

  bool mayHaveDropped(const AttemptId &Id) const {
    const auto Dropped = this->State.DroppedOutcomes.find(Id.Shard);
    return Dropped != this->State.DroppedOutcomes.end() &&
           !(Dropped->second < Id.OwnerEpoch);
  }

  void handle(ConnectionId, const ForgetAttempt &Request) {
    this->State.Outcomes.erase(Request.Attempt);
    this->exitIfDone();
  }

  void handle(ConnectionId Connection, const CancelAttempt &Request) {
    SidecarAttempt *Attempt = this->find(Request.Attempt);
    if (!Attempt)
      return;
    if (!Attempt->IsRunning) {
      this->State.Attempts.erase(Request.Attempt);
      this->refuse(Connection, Request.Attempt, CallError::DeadlinePassed);
      return;
    }
    this->cancel(Request.Attempt, *Attempt);
  }

  void handle(ConnectionId Connection, const KeepPrefixes &Request) {
    this->Prefixes.keep(Connection, Request.Prefixes);
  }

  void handle(ConnectionId, const ReleasePrefixes &Request) {
    this->Prefixes.release(Request.Prefixes);
  }

  void handle(ConnectionId Connection, const Heartbeat &Beat) {
    if (Beat.Version < this->State.Version)
      this->send(Connection,
                 ConfigOffer{this->State.Version, this->State.Document});
  }

  void handle(ConnectionId, const ConfigOffer &Offer) {
    if (!(this->State.Version < Offer.Version))
      return;
    this->State.Version = Offer.Version;
    this->State.Document = Offer.Document;
    this->reportToAll();
  }

  /// Ignores messages that are not addressed to a sidecar.
  template <typename Other> void handle(ConnectionId, const Other &) {}

  void startNext() {
    while (this->State.IsHealthy) {
      SidecarAttempt *Next = this->chooseNext();
      if (!Next)
        return;
      Next->IsRunning = true;
      if (Next->Work.Kind == CallKind::Chat)
        this->Prefixes.hold(*Next);
      this->Effects.push_back(CallTarget{Next->Work});
    }
  }

  /// Returns the queued attempt that may start now, or null.
  SidecarAttempt *chooseNext() {
    std::uint32_t Running = 0;
    bool IsolatedRuns = false;
    SidecarAttempt *Best = nullptr;
    for (auto &[Id, Attempt] : this->State.Attempts) {
      if (Attempt.IsRunning) {
        ++Running;
        IsolatedRuns = IsolatedRuns || Attempt.Work.IsIsolated;
      } else if (!Best || this->rank(Attempt) < this->rank(*Best)) {
        Best = &Attempt;
      }
    }
    if (!Best || IsolatedRuns || Running >= this->State.Options.Capacity)
      return nullptr;
    if (Best->Work.IsIsolated && Running > 0)
      return nullptr;
    return Best;
  }

  /// Returns the scheduling rank of a queued attempt; the lowest starts first.
  /// The program with the least attained service has priority, waiting lowers
  /// the rank to prevent starvation, and the arrival time breaks ties.
  std::tuple<double, Milliseconds> rank(const SidecarAttempt &Attempt) const {
    const SidecarOptions &Options = this->State.Options;
    const Milliseconds Waited = this->State.Now - Attempt.Arrived;
    const double Aged = static_cast<double>(Waited.count()) /
                        static_cast<double>(Options.AgingStep.count()) *
                        static_cast<double>(Options.AgingTokens.Value);
    const double Attained = static_cast<double>(Attempt.Work.Attained.Value);
    return {Attained - Aged, Attempt.Arrived.SinceStart};
  }

  void finish(const AttemptFinished &Outcome) {
    const SidecarAttempt *Attempt = this->find(Outcome.Attempt);
    if (!Attempt)
      return;
    this->State.Outcomes[Outcome.Attempt] = KeptOutcome{
        Outcome, this->State.Now + this->State.Options.OutcomeRetention};
    if (!Attempt->OrphanedAt)
      this->send(Attempt->Owner, Outcome);
    if (Outcome.ExecutionStatus != Execution::Ran)
      this->Prefixes.leaseIfNew(*Attempt);
    this->State.Attempts.erase(Outcome.Attempt);
    this->startNext();
    this->exitIfDone();
  }

  void finishUnknown(const AttemptId &Id, bool TargetCrashed) {
    AttemptFinished Outcome;
    Outcome.Attempt = Id;
    Outcome.ExecutionStatus = Execution::Unknown;
    Outcome.HasTargetCrashed = TargetCrashed;
    this->finish(Outcome);
  }

  /// Finishes the attempts whose connection to the target was lost. If the
  /// target has crashed, the queued attempts are refused as well.
  void finishBroken(bool TargetCrashed) {
    std::vector<AttemptId> Interrupted;
    for (const auto &[Id, Attempt] : this->State.Attempts) {
      if (Attempt.Broken)
        Interrupted.push_back(Id);
    }
    for (const AttemptId &Id : Interrupted)
      this->finishUnknown(Id, TargetCrashed);
    if (TargetCrashed)
      this->refuseQueued(CallError::TargetFailed);
  }

  void refuseQueued(CallError Reason) {
    std::vector<std::pair<ConnectionId, AttemptId>> Waiting;
    for (const auto &[Id, Attempt] : this->State.Attempts) {
      if (!Attempt.IsRunning)
        Waiting.emplace_back(Attempt.Owner, Id);
    }
    for (const auto &[Owner, Id] : Waiting) {
      this->State.Attempts.erase(Id);
      this->refuse(Owner, Id, Reason);
    }
  }

  /// Refuses queued attempts whose deadline has passed, and cancels running
  /// ones if they are idempotent.
  void refuseExpired() {
    std::vector<std::pair<ConnectionId, AttemptId>> Late;
    for (auto &[Id, Attempt] : this->State.Attempts) {
      if (this->State.Now < Attempt.Deadline)
        continue;
      if (!Attempt.IsRunning)
        Late.emplace_back(Attempt.Owner, Id);
      else if (Attempt.Work.IsIdempotent)
        this->cancel(Id, Attempt);
    }
    for (const auto &[Owner, Id] : Late) {
      this->State.Attempts.erase(Id);
      this->refuse(Owner, Id, CallError::DeadlinePassed);
    }
  }

  /// Cancels the running idempotent attempts of a target that has been
  /// unhealthy for UnresponsiveTimeout, so that they can be retried elsewhere.
  /// A hung target keeps connections open without answering.
  void cancelAtUnresponsiveTarget() {
    const bool IsSilent = !this->State.IsHealthy &&
                          this->State.Options.UnresponsiveTimeout <=
                              this->State.Now - this->State.UnhealthySince;
    if (!IsSilent)
      return;
    for (auto &[Id, Attempt] : this->State.Attempts) {
      if (Attempt.IsRunning && Attempt.Work.IsIdempotent)
        this->cancel(Id, Attempt);
    }
  }

  void cancelOrphans() {
    std::vector<AttemptId> Waiting;
    for (auto &[Id, Attempt] : this->State.Attempts) {
      if (!Attempt.OrphanedAt)
        continue;
      const Instant Until =
          *Attempt.OrphanedAt + this->State.Options.OrphanTimeout;
      if (this->State.Now < Until)
        continue;
      if (!Attempt.IsRunning)
        Waiting.push_back(Id);
      else if (Attempt.Work.IsIdempotent)
        this->cancel(Id, Attempt);
    }
    for (const AttemptId &Id : Waiting) {
      this->State.Attempts.erase(Id);
      this->refuse(ConnectionId(), Id, CallError::OwnerLost);
    }
  }

  void cancel(const AttemptId &Id, SidecarAttempt &Attempt) {
    if (Attempt.IsCancelled)
      return;
    Attempt.IsCancelled = true;
    this->Effects.push_back(CancelTargetCall{Id});
  }

  void dropExpired() {
    for (auto Item = this->State.Outcomes.begin();
         Item != this->State.Outcomes.end();) {
      if (!(Item->second.Until < this->State.Now)) {
        ++Item;
        continue;
      }
      Epoch &Dropped = this->State.DroppedOutcomes[Item->first.Shard];
      Dropped = std::max(Dropped, Item->first.OwnerEpoch);
      Item = this->State.Outcomes.erase(Item);
    }
    for (auto Item = this->State.Refused.begin();
         Item != this->State.Refused.end();) {
      const bool IsExpired = Item->second < this->State.Now;
      Item = IsExpired ? this->State.Refused.erase(Item) : std::next(Item);
    }
  }

  void refuse(ConnectionId Connection, const AttemptId &Id, CallError Reason) {
    this->send(Connection, AttemptRefused{Id, Reason, Milliseconds(0)});
  }

  /// Counts consecutive unanswered probes. Returns whether the probe was
  /// unanswered, but too few were to consider the target unhealthy.
  bool isInconclusive(const TargetProbed &Event) {
    if (!Event.IsUnanswered) {
      this->State.UnansweredProbes = 0;
      return false;
    }
    ++this->State.UnansweredProbes;
    return this->State.UnansweredProbes <=
           this->State.Options.UnansweredProbesAllowed;
  }

  void probe() {
    if (this->State.IsProbeRunning)
      return;
    this->State.IsProbeRunning = true;
    this->Effects.push_back(ProbeTarget{});
  }

  LoadReport report() const {
    LoadReport Report;
    for (const auto &[Id, Attempt] : this->State.Attempts)
      ++(Attempt.IsRunning ? Report.Running : Report.Queued);
    Report.Capacity = this->State.Options.Capacity;
    Report.IsHealthy = this->State.IsHealthy;
    Report.IsLeaving = this->State.IsLeaving;
    Report.Version = this->State.Version;
    return Report;
  }

  void reportToAll() {
    this->State.LastReport = this->State.Now;
    const LoadReport Report = this->report();
    for (const auto &[Connection, Host] : this->State.Owners)
      this->send(Connection, Report);
  }

  void reportIfDue() {
    if (this->State.Now <
        this->State.LastReport + this->State.Options.ReportInterval)
      return;
    this->reportToAll();
    this->probe();
  }

  void exitIfDone() {
    const bool HasLingered = this->State.Options.ShutdownGracePeriod <=
                             this->State.Now - this->State.LeavingSince;
    const bool OwesNothing = this->State.Owners.empty() ||
                             (HasLingered && this->State.Outcomes.empty());
    const bool IsDone =
        this->State.IsLeaving && this->State.Attempts.empty() && OwesNothing;
    if (!IsDone || this->State.IsExitRequested)
      return;
    this->State.IsExitRequested = true;
    this->Effects.push_back(ExitSidecar{});
  }

  std::uint32_t queuedCount() const {
    return static_cast<std::uint32_t>(
        std::count_if(this->State.Attempts.begin(), this->State.Attempts.end(),
                      [](const auto &Item) { return !Item.second.IsRunning; }));
  }

  SidecarAttempt *find(const AttemptId &Id) {
    const auto Found = this->State.Attempts.find(Id);
    return Found == this->State.Attempts.end() ? nullptr : &Found->second;
  }

  void send(ConnectionId Connection, Message Body) {
    if (this->State.Owners.count(Connection) > 0)
      this->Effects.push_back(SendOwner{Connection, std::move(Body)});
  }

  SidecarState &State;
  std::vector<SidecarEffect> &Effects;
  SidecarPrefixes Prefixes;
};

} // namespace

std::vector<SidecarEffect> reduce(SidecarState &State,
                                  const SidecarEvent &Event) {
  std::vector<SidecarEffect> Effects;
  std::visit(SidecarHandler(State, Effects), Event);
  return Effects;
}

} // namespace tanagerlanding
