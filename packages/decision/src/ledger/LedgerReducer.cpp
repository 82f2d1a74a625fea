#include "tanagerlanding/decision/ledger/LedgerReducer.h"

#include "LedgerContext.h"
#include "LedgerMembership.h"
#include "LedgerRecords.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Replies to OpenTurn, with the history if it was requested and the previous
/// turn is in the index.
void sendOpened(LedgerContext &Context, const HostId &Peer,
                const OpenTurn &Asked) {
  LedgerState &State = Context.State;
  TurnOpened Reply;
  Reply.Operation = Asked.Operation;
  Reply.Holder = State.Self.Holder;
  Reply.Claims = claimsOf(State, Asked.Program);
  if (Asked.Previous) {
    const auto Previous = State.Turns.find(*Asked.Previous);
    Reply.KnowsPrevious = Previous != State.Turns.end();
    if (Reply.KnowsPrevious)
      Reply.PreviousTarget = Previous->second.Target;
  }
  if (!Reply.KnowsPrevious || !Asked.WantsHistory) {
    Context.send(Peer, std::move(Reply));
    return;
  }
  KnownChain Chain = chainOf(State, *Asked.Previous);
  Reply.MissingTurn = Chain.MissingTurn;
  Context.add(SendHistory{Peer, std::move(Reply), std::move(Chain.Turns)});
}

/// Sends the reply to an operation whose batch is durable.
class ReplySender {
public:
  ReplySender(LedgerContext &Context, const HostId &Peer)
      : Context(Context), Peer(Peer) {}

  void operator()(const std::monostate &) {}
  void operator()(const OpenTurn &Asked) {
    sendOpened(this->Context, this->Peer, Asked);
  }
  void operator()(const CloseTurn &Asked) {
    this->Context.send(this->Peer, TurnClosed{Asked.Operation,
                                              this->Context.State.Self.Holder});
  }

private:
  LedgerContext &Context;
  const HostId &Peer;
};

LedgerOperationId operationOf(const PendingBatch &Pending) {
  if (const auto *Open = std::get_if<OpenTurn>(&Pending.Asked))
    return Open->Operation;
  if (const auto *Close = std::get_if<CloseTurn>(&Pending.Asked))
    return Close->Operation;
  return LedgerOperationId();
}

/// Handles messages, with one overload for each type that a replica accepts.
class PeerMessageHandler {
public:
  PeerMessageHandler(LedgerContext &Context, const HostId &Peer)
      : Context(Context), Peer(Peer) {}

  void operator()(const OpenTurn &Asked) {
    if (this->refuseForView(Asked.View, Asked.Operation))
      return;
    if (!Asked.Claimed) {
      sendOpened(this->Context, this->Peer, Asked);
      return;
    }
    const TokensClaimed Record{
        Asked.Program,
        TokenClaim{fingerprintOf(Asked.Turn), *Asked.Claimed, false}};
    noteClaim(this->Context.State, Record, Asked.Retention);
    this->persist(Asked, Asked.View, Asked.Retention, {Record});
  }

  void operator()(const CloseTurn &Asked) {
    if (this->refuseForView(Asked.View, Asked.Operation))
      return;
    std::vector<LedgerRecord> Records;
    if (Asked.Used)
      Records.push_back(
          TokensClaimed{Asked.Program, TokenClaim{fingerprintOf(Asked.Turn),
                                                  *Asked.Used, true}});
    if (Asked.IsKept)
      Records.push_back(TurnKept{Asked.Turn, Asked.Previous, Asked.Input,
                                 Asked.Output, Asked.Target});
    this->persist(Asked, Asked.View, Asked.Retention, std::move(Records));
  }

  void operator()(const ViewOffer &Offer) {
    adoptView(this->Context, Offer.View);
  }
  void operator()(const PullRecords &Asked) {
    answerPull(this->Context, this->Peer, Asked);
  }
  void operator()(const RecordsPage &Page) {
    takeRecordsPage(this->Context, this->Peer, Page);
  }
  /// Ignores messages that are not meant for a replica.
  template <typename Other> void operator()(const Other &) {}

private:
  /// Refuses an operation if its view is older than this replica's, or if this
  /// replica is not a member. A record accepted under an older view
  /// could be missed, since this replica's records may already have been copied
  /// for the newer one.
  bool refuseForView(ViewVersion Asked, LedgerOperationId Operation) {
    const LedgerState &State = this->Context.State;
    const bool IsMember =
        containsHolder(State.View.allMembers(), State.Self.Holder);
    if (!(Asked < State.View.Version) && IsMember)
      return false;
    this->Context.count("ledger_refusals_total", "view");
    this->Context.send(this->Peer,
                       LedgerRefused{Operation, State.Self.Holder, State.View});
    return true;
  }

  template <typename Operation>
  void persist(const Operation &Asked, ViewVersion View, Milliseconds Retention,
               std::vector<LedgerRecord> Records) {
    LedgerState &State = this->Context.State;
    LedgerBatch Batch;
    Batch.Retention = Retention;
    Batch.Records = std::move(Records);
    const std::uint64_t Ticket = State.NextTicket++;
    State.Pending[Ticket] = PendingBatch{this->Peer, Asked, View, Batch};
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

  void operator()(const LedgerTimePassed &Event) {
    this->State.Now = Event.Now;
    sweepRecords(this->Context);
    continuePull(this->Context);
    reviewMembership(this->Context);
  }

  void operator()(const LedgerPeerSaid &Event) {
    std::visit(PeerMessageHandler(this->Context, Event.Peer), Event.Body);
  }

  void operator()(const LedgerBatchStored &Event) {
    const auto Found = this->State.Pending.find(Event.Ticket);
    if (Found == this->State.Pending.end())
      return;
    const PendingBatch Pending = std::move(Found->second);
    this->State.Pending.erase(Found);
    indexBatch(this->Context, Pending.Batch, Event.Place, Milliseconds(0));
    if (Pending.Peer)
      std::visit(ReplySender(this->Context, *Pending.Peer), Pending.Asked);
    if (this->State.Pull && this->State.Pull->Unstored.erase(Event.Ticket) > 0)
      completePull(this->Context);
  }

  void operator()(const LedgerBatchFailed &Event) {
    const auto Found = this->State.Pending.find(Event.Ticket);
    if (Found == this->State.Pending.end())
      return;
    const PendingBatch Pending = std::move(Found->second);
    this->State.Pending.erase(Found);
    this->Context.count("ledger_refusals_total", "disk");
    // A pull whose records can't be stored never completes, so this replica
    // does not become a member of the new view.
    if (Pending.Peer)
      this->Context.send(*Pending.Peer, LedgerRefused{operationOf(Pending),
                                                      this->State.Self.Holder,
                                                      this->State.View});
  }

  void operator()(const LedgerBatchRecovered &Event) {
    indexBatch(this->Context, Event.Batch, Event.Place, Event.Age);
  }

  void operator()(const LedgerViewSeen &Event) {
    if (this->State.ViewRevision < Event.At)
      this->State.ViewRevision = Event.At;
    adoptView(this->Context, Event.View);
    reviewMembership(this->Context);
  }

  void operator()(const ReplicaRegistered &Event) {
    this->State.Registered[Event.Member.Host] = Event.Member;
    reviewMembership(this->Context);
  }

  void operator()(const ReplicaUnregistered &Event) {
    this->State.Registered.erase(Event.Host);
    reviewMembership(this->Context);
  }

  void operator()(const ReplicaGreeted &Event) {
    HolderId &Known = this->State.HeardHolders[Event.Host];
    if (!Known.Value.empty() && !(Known == Event.Holder))
      this->Context.log("replica_replaced", {{"host", Event.Host.Value},
                                             {"before", Known.Value},
                                             {"now", Event.Holder.Value}});
    Known = Event.Holder;
    reviewMembership(this->Context);
  }

  void operator()(const ReplicaSynced &Event) {
    // The key-value service may carry out a write whose answer was lost after
    // a later one, so an older version must not replace a newer one.
    ViewVersion &Known = this->State.Synced[Event.Holder];
    Known = std::max(Known, Event.View);
    reviewMembership(this->Context);
  }

  void operator()(const RetirementAsked &Event) {
    if (Event.IsWanted)
      this->State.Retiring.insert(Event.Host);
    else
      this->forgetRetirement(Event.Host);
    reviewMembership(this->Context);
  }

  void operator()(const RetirementReportFailed &Event) {
    // The next reviewMembership() reports it again.
    if (!(Event.Host == this->State.Self.Host))
      this->State.ToldForLost.erase(Event.Host);
    else if (Event.IsCompleted)
      this->State.HasToldRetired = false;
    else
      this->State.HasToldRetiring = false;
  }

  void operator()(const LedgerServiceRead &) {
    if (!this->State.HasReadService)
      this->State.ServiceReadAt = this->State.Now;
    this->State.HasReadService = true;
    // Replicas whose leases expired while the service was unavailable get time
    // to register again.
    for (auto &[Holder, Since] : this->State.MissingSince)
      Since = this->State.Now;
    reviewMembership(this->Context);
  }

private:
  void forgetRetirement(const HostId &Host) {
    this->State.Retiring.erase(Host);
    this->State.RetiringLostSince.erase(Host);
    this->State.ToldForLost.erase(Host);
    if (!(Host == this->State.Self.Host))
      return;
    this->State.HasToldRetiring = false;
    this->State.HasToldRetired = false;
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
