#include "tanagerlanding/decision/ledger/LedgerReducer.h"

#include "ConfigurationVouching.h"
#include "LedgerContext.h"
#include "LedgerMembership.h"
#include "LedgerRecords.h"
#include "MissingTurns.h"
#include "PermitIssuing.h"
#include "QuotaIssuing.h"
#include "StartDecisions.h"
#include "StartedStreams.h"
#include "StreamOutputs.h"
#include "SuspectReplication.h"
#include "TargetLoadGathering.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Replies to OpenTurn, with the history if it was requested and the previous
/// turn is in the index.
void sendOpened(LedgerContext &Context, const HostId &Peer,
                const OpenTurn &Request) {
  LedgerState &State = Context.State;
  TurnOpened Reply;
  Reply.Operation = Request.Operation;
  Reply.Holder = State.Self.Holder;
  // In one step with the reply: the stream may have become known only while the
  // claim was written.
  recordContinuation(State, Request);
  Reply.Claims = claimsOf(State, Request.Program);
  Reply.ResumedOrigin = originOf(State, Request);
  Reply.StreamsKeptFor = streamsKeptFor(State);
  Reply.Resumed = resumedOutputOf(State, Request);
  if (Request.Previous) {
    const auto Previous = State.Turns.find(*Request.Previous);
    Reply.HasPrevious = Previous != State.Turns.end();
    if (Reply.HasPrevious)
      Reply.PreviousTarget = Previous->second.Target;
  }
  if (!Reply.HasPrevious || !Request.IsHistoryRequested) {
    Context.send(Peer, std::move(Reply));
    return;
  }
  TurnChain Chain = chainOf(State, *Request.Previous);
  Reply.HistoryEnd = Request.Previous;
  Reply.MissingTurn = Chain.MissingTurn;
  if (Request.MaxHistoryBytes < Chain.TextBytes) {
    Reply.LongHistoryBytes = Chain.TextBytes;
    Context.send(Peer, std::move(Reply));
    return;
  }
  Context.add(SendHistory{Peer, std::move(Reply), std::move(Chain.Turns)});
}

void sendHistoryPart(LedgerContext &Context, const HostId &Peer,
                     const HistoryQuery &Query) {
  HistoryPart Part{Query.Operation, Context.State.Self.Holder, std::nullopt};
  auto Pieces = piecesOf(Context.State, Query);
  if (Pieces)
    Context.add(SendHistoryPart{Peer, std::move(Part), std::move(*Pieces)});
  else
    Context.send(Peer, std::move(Part));
}

/// Sends the reply to an operation whose batch is durable.
class ReplySender {
public:
  ReplySender(LedgerContext &Context, const HostId &Peer)
      : Context(Context), Peer(Peer) {}

  void operator()(const std::monostate &) {}
  void operator()(const OpenTurn &Request) {
    sendOpened(this->Context, this->Peer, Request);
  }
  void operator()(const CloseTurn &Request) {
    const LedgerState &State = this->Context.State;
    const auto Missing =
        Request.IsKept ? missingTurnOf(State, Request.Turn) : std::nullopt;
    confirmOrAwait(this->Context,
                   UnconfirmedClose{this->Peer, Request.Operation}, Missing);
    requestMissingTurns(this->Context);
  }

private:
  LedgerContext &Context;
  const HostId &Peer;
};

LedgerOperationId operationOf(const PendingBatch &Pending) {
  if (const auto *Open = std::get_if<OpenTurn>(&Pending.Operation))
    return Open->Operation;
  if (const auto *Close = std::get_if<CloseTurn>(&Pending.Operation))
    return Close->Operation;
  return LedgerOperationId();
}

/// Handles messages, with one overload for each type that a replica accepts.
class PeerMessageHandler {
public:
  PeerMessageHandler(LedgerContext &Context, const HostId &Peer)
      : Context(Context), Peer(Peer) {}

  void operator()(const OpenTurn &Request) {
    if (this->refuseForView(Request.View, Request.Operation))
      return;
    if (!Request.Claimed) {
      sendOpened(this->Context, this->Peer, Request);
      return;
    }
    const TokenClaimRecord Record{
        Request.Program,
        TokenClaim{fingerprintOf(Request.Turn), *Request.Claimed, false}};
    addPendingClaim(this->Context.State, Record, Request.Retention);
    this->persist(Request, Request.View, Request.Retention, {Record});
  }

  void operator()(const CloseTurn &Request) {
    if (this->refuseForView(Request.View, Request.Operation))
      return;
    std::vector<LedgerRecord> Records;
    if (Request.Used)
      Records.push_back(TokenClaimRecord{
          Request.Program,
          TokenClaim{fingerprintOf(Request.Turn), *Request.Used, true}});
    if (Request.IsKept) {
      Records.push_back(TurnRecord{Request.Turn, Request.Previous,
                                   Request.Input, Request.Output,
                                   Request.Target});
      endStreamOutput(this->Context.State, Request.Turn);
    }
    this->persist(Request, Request.View, Request.Retention, std::move(Records));
  }

  void operator()(const HistoryQuery &Query) {
    sendHistoryPart(this->Context, this->Peer, Query);
  }
  void operator()(const StreamStarted &Started) {
    recordStartedStream(this->Context, Started);
  }
  void operator()(const StreamOutputs &Reported) {
    recordStreamOutputs(this->Context, Reported);
  }
  void operator()(const ContinuationFailed &Failed) {
    forgetContinuation(this->Context.State, Failed);
  }
  void operator()(const Heartbeat &Beat) {
    recordRelayClock(this->Context, this->Peer, Beat);
  }
  void operator()(const ViewOffer &Offer) {
    adoptView(this->Context, Offer.View);
  }
  void operator()(const SuspectNotice &Notice) {
    handleSuspectNotice(this->Context, Notice);
  }
  void operator()(const TargetLimitNotice &Notice) {
    handleLimitNotice(this->Context, this->Peer, Notice);
  }
  void operator()(const TargetLimitQuery &) {
    sendLimitsTo(this->Context, this->Peer);
  }
  void operator()(const PermitRequest &Request) {
    handlePermitRequest(this->Context, this->Peer, Request);
  }
  void operator()(const ProgramStartRequest &Request) {
    handleStartRequest(this->Context, this->Peer, Request);
  }
  void operator()(const TargetLoadReport &Report) {
    handleTargetLoadReport(this->Context, this->Peer, Report);
  }
  void operator()(const PullRecords &Request) {
    handlePull(this->Context, this->Peer, Request);
  }
  void operator()(const RecordsPage &Page) {
    handleRecordsPage(this->Context, this->Peer, Page);
  }
  void operator()(const TurnsQuery &Query) {
    sendTurns(this->Context, this->Peer, Query);
  }
  void operator()(const TurnsFound &Reply) {
    handleTurnsFound(this->Context, Reply);
  }
  /// Ignores messages that are not meant for a replica.
  template <typename Other> void operator()(const Other &) {}

private:
  /// Refuses an operation if its view is older than this replica's, or if this
  /// replica is not a member. A record accepted under an older view could be
  /// missed, since this replica's records may already have been copied for the
  /// newer one.
  bool refuseForView(ViewVersion RequestView, LedgerOperationId Operation) {
    const LedgerState &State = this->Context.State;
    const bool IsMember =
        containsHolder(State.View.allMembers(), State.Self.Holder);
    if (!(RequestView < State.View.Version) && IsMember)
      return false;
    this->Context.count("ledger_refusals_total", "view");
    this->Context.send(this->Peer,
                       LedgerRefused{Operation, State.Self.Holder, State.View});
    return true;
  }

  template <typename Operation>
  void persist(const Operation &Request, ViewVersion View,
               Milliseconds Retention, std::vector<LedgerRecord> Records) {
    LedgerState &State = this->Context.State;
    LedgerBatch Batch;
    Batch.Retention = Retention;
    Batch.Records = std::move(Records);
    const std::uint64_t Ticket = State.NextTicket++;
    State.PendingBatches[Ticket] =
        PendingBatch{this->Peer, Request, View, Batch};
    this->Context.add(PersistLedgerBatch{Ticket, std::move(Batch)});
  }

  LedgerContext &Context;
  const HostId &Peer;
};

/// Handles events, with one overload for each type.
class LedgerEventHandler {
public:
  explicit LedgerEventHandler(LedgerContext &Context)
      : Context(Context), State(Context.State) {}

  void operator()(const LedgerTick &Event) {
    this->State.Now = Event.Now;
    beginKeepingStreams(this->State);
    sweepRecords(this->Context);
    continuePull(this->Context);
    requestMissingTurns(this->Context);
    issueWaitingPermits(this->Context);
    sendTargetLoadViews(this->Context);
    expireStartReports(this->State);
    reconcileMembership(this->Context);
  }

  void operator()(const LedgerMessageReceived &Event) {
    recordMemberContact(this->Context, Event.Peer);
    std::visit(PeerMessageHandler(this->Context, Event.Peer), Event.Body);
  }

  void operator()(const LedgerBatchStored &Event) {
    const auto Found = this->State.PendingBatches.find(Event.Ticket);
    if (Found == this->State.PendingBatches.end())
      return;
    const PendingBatch Pending = std::move(Found->second);
    this->State.PendingBatches.erase(Found);
    indexBatch(this->Context, Pending.Batch, Event.Place, Milliseconds(0));
    if (Pending.Peer)
      std::visit(ReplySender(this->Context, *Pending.Peer), Pending.Operation);
    if (this->State.Pull &&
        this->State.Pull->PendingTickets.erase(Event.Ticket) > 0)
      completePull(this->Context);
  }

  void operator()(const LedgerBatchFailed &Event) {
    const auto Found = this->State.PendingBatches.find(Event.Ticket);
    if (Found == this->State.PendingBatches.end())
      return;
    const PendingBatch Pending = std::move(Found->second);
    this->State.PendingBatches.erase(Found);
    this->Context.count("ledger_refusals_total", "disk");
    failPull(this->State, Event.Ticket);
    if (Pending.Peer)
      this->Context.send(*Pending.Peer, LedgerRefused{operationOf(Pending),
                                                      this->State.Self.Holder,
                                                      this->State.View});
  }

  void operator()(const LedgerBatchRecovered &Event) {
    indexBatch(this->Context, Event.Batch, Event.Place, Event.Age);
  }

  void operator()(const SuspectsRecovered &Event) {
    recoverEvidence(this->Context, Event);
  }

  void operator()(const LedgerViewObserved &Event) {
    if (this->State.ViewRevision < Event.ModRevision)
      this->State.ViewRevision = Event.ModRevision;
    adoptView(this->Context, Event.View);
    reconcileMembership(this->Context);
  }

  void operator()(const ReplicaRegistered &Event) {
    this->State.RegisteredReplicas[Event.Member.Host] = Event.Member;
    reconcileMembership(this->Context);
  }

  void operator()(const ReplicaUnregistered &Event) {
    this->State.RegisteredReplicas.erase(Event.Host);
    reconcileMembership(this->Context);
  }

  void operator()(const ReplicaHelloReceived &Event) {
    HolderId &Known = this->State.AnnouncedHolders[Event.Host];
    if (!Known.Value.empty() && !(Known == Event.Holder))
      this->Context.log("replica_replaced", {{"host", Event.Host.Value},
                                             {"before", Known.Value},
                                             {"now", Event.Holder.Value}});
    Known = Event.Holder;
    sendEvidenceTo(this->Context, Event.Host);
    reconcileMembership(this->Context);
  }

  void operator()(const ReplicaSynced &Event) {
    // The key-value service may carry out a write whose answer was lost after
    // a later one, so an older version must not replace a newer one.
    ViewVersion &Known = this->State.SyncedViews[Event.Holder];
    Known = std::max(Known, Event.View);
    reconcileMembership(this->Context);
  }

  void operator()(const RetirementRequested &Event) {
    if (Event.IsRequested)
      this->State.RetiringHosts.insert(Event.Host);
    else
      this->forgetRetirement(Event.Host);
    reconcileMembership(this->Context);
  }

  void operator()(const RetirementReportFailed &Event) {
    // The next reconcileMembership() reports it again.
    if (!(Event.Host == this->State.Self.Host))
      this->State.ReportedLostHosts.erase(Event.Host);
    else if (Event.IsCompleted)
      this->State.HasReportedCompletion = false;
    else
      this->State.HasReportedStart = false;
  }

  void operator()(const LedgerServiceSnapshotRead &) {
    if (!this->State.HasServiceSnapshot)
      this->State.ServiceSnapshotAt = this->State.Now;
    this->State.HasServiceSnapshot = true;
    // Replicas whose leases expired while the service was unavailable get time
    // to register again.
    for (auto &[Holder, Since] : this->State.MissingSince)
      Since = this->State.Now;
    reconcileMembership(this->Context);
  }

  void operator()(const LedgerConfigurationObserved &Event) {
    this->State.ConfigurationKeyRevision =
        std::max(this->State.ConfigurationKeyRevision, Event.KeyRevision);
  }

  void operator()(const LedgerServiceQueryStarted &) {
    beginVouching(this->Context);
  }

  void operator()(const LedgerServiceContentConfirmed &) {
    vouchToRelays(this->Context);
  }

  void operator()(const TeamQuotasConfigured &Event) {
    adoptQuotas(this->Context, Event);
  }

private:
  void forgetRetirement(const HostId &Host) {
    this->State.RetiringHosts.erase(Host);
    this->State.RetiringMissingSince.erase(Host);
    this->State.ReportedLostHosts.erase(Host);
    if (!(Host == this->State.Self.Host))
      return;
    this->State.HasReportedStart = false;
    this->State.HasReportedCompletion = false;
  }

  LedgerContext &Context;
  LedgerState &State;
};

} // namespace

std::vector<LedgerEffect> reduce(LedgerState &State, const LedgerEvent &Event) {
  std::vector<LedgerEffect> Effects;
  LedgerContext Context(State, Effects);
  std::visit(LedgerEventHandler(Context), Event);
  return Effects;
}

} // namespace tanagerlanding
