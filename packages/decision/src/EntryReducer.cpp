#include "tanagerlanding/decision/EntryReducer.h"

#include "CallAdmission.h"
#include "CallAttempts.h"
#include "CallDeadlines.h"
#include "CallOutcomes.h"
#include "Draining.h"
#include "Durability.h"
#include "EntryContext.h"
#include "Membership.h"
#include "Ownership.h"
#include "Quarantine.h"

namespace tanagerlanding {

namespace {

/// Handles messages from other processes, one overload for each message.
class MessageHandler {
public:
  MessageHandler(EntryContext &Context, const HostId &Host)
      : Context(Context), Host(Host) {}

  void operator()(const Heartbeat &Body) {
    handleHeartbeat(this->Context, this->Host, Body);
  }
  void operator()(const LeavingNotice &) {
    handleLeaving(this->Context, this->Host);
  }
  void operator()(const ForwardCall &Body) {
    handleForwarded(this->Context, this->Host, Body);
  }
  void operator()(const ForwardCancelled &Body) {
    handleForwardCancelled(this->Context, this->Host, Body);
  }
  void operator()(const ForwardChunk &Body) {
    handleForwardChunk(this->Context, Body);
  }
  void operator()(const ForwardAnswered &Body) {
    handleForwardAnswered(this->Context, Body);
  }
  void operator()(const RecordsPersisted &Body) {
    handlePersisted(this->Context, Body);
  }
  void operator()(const AppendRejected &Body) {
    handleRejected(this->Context, Body);
  }
  void operator()(const LogSealed &Body) { handleSealed(this->Context, Body); }
  void operator()(const SuspectNotice &Body) {
    handleSuspect(this->Context, Body);
  }
  void operator()(const AttemptRefused &Body) {
    handleRefused(this->Context, Body);
  }
  void operator()(const AttemptChunk &Body) {
    handleChunk(this->Context, Body);
  }
  void operator()(const AttemptFinished &Body) {
    handleFinished(this->Context, Body);
  }
  void operator()(const LoadReport &Body) {
    handleLoad(this->Context, this->Host, Body);
  }
  /// Ignores messages that are not addressed to an entry.
  template <typename Other> void operator()(const Other &) {}

private:
  EntryContext &Context;
  const HostId &Host;
};

/// Handles the events of an entry, one overload for each.
class EntryHandler {
public:
  explicit EntryHandler(EntryContext &Context) : Context(Context) {}

  void operator()(const EntryTick &Event) {
    this->Context.State.Now = Event.Now;
    sendHeartbeats(this->Context);
    handleDueQueues(this->Context);
    superviseShards(this->Context);
    superviseDraining(this->Context);
    expireEvidence(this->Context.State.Suspects, Event.Now);
  }

  void operator()(const CallArrived &Event) {
    handleCallArrived(this->Context, Event);
  }
  void operator()(const CallerDisconnected &Event) {
    handleCallerDisconnected(this->Context, Event);
  }
  void operator()(const PeerConnected &Event) {
    handlePeerConnected(this->Context, Event);
  }
  void operator()(const PeerDisconnected &Event) {
    handlePeerDisconnected(this->Context, Event);
  }

  void operator()(const PeerMessageReceived &Event) {
    if (Event.Host != this->Context.State.Self)
      this->Context.State.Peers[Event.Host].LastMessageAt = this->Context.now();
    std::visit(MessageHandler(this->Context, Event.Host), Event.Body);
  }

  void operator()(const TableObserved &Event) {
    handleTable(this->Context, Event);
    superviseDraining(this->Context);
  }
  void operator()(const InventoryObserved &Event) {
    handleInventory(this->Context, Event);
  }
  void operator()(const EntryShutdownRequested &) {
    handleShutdownRequested(this->Context);
  }

private:
  EntryContext &Context;
};

} // namespace

std::vector<EntryEffect> reduce(EntryState &State, const EntryEvent &Event) {
  std::vector<EntryEffect> Effects;
  EntryContext Context(State, Effects);
  std::visit(EntryHandler(Context), Event);
  return Effects;
}

} // namespace tanagerlanding
