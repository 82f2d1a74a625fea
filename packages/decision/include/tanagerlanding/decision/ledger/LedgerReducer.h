/// \file
/// Decisions of a replica of the ledger: what it keeps, for how long, under
/// which view, and when the membership changes.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERREDUCER_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERREDUCER_H

#include "tanagerlanding/decision/EntryReducer.h"
#include "tanagerlanding/decision/ledger/LedgerState.h"

#include <variant>
#include <vector>

namespace tanagerlanding {

/// The timer service's notice of the present time.
struct LedgerTimePassed {
  Instant Now;
};
/// A message from the process on Peer.
struct LedgerPeerSaid {
  HostId Peer;
  Message Body;
};
/// A batch handed out with PersistLedgerBatch is durable.
struct LedgerBatchStored {
  std::uint64_t Ticket = 0;
  RecordPlace Place;
};
/// A batch could not be written; nothing of it is kept.
struct LedgerBatchFailed {
  std::uint64_t Ticket = 0;
};
/// A batch was found in the data folder at the start.
struct LedgerBatchRecovered {
  RecordPlace Place;
  LedgerBatch Batch;
  Milliseconds Age{0};
};
/// The view in the key-value service.
struct LedgerViewSeen {
  LedgerView View;
  Revision At;
};
/// A replica's registration, or its end.
struct ReplicaRegistered {
  LedgerMember Member;
};
struct ReplicaUnregistered {
  HostId Host;
};
/// A replica has greeted.
struct ReplicaGreeted {
  HostId Host;
  HolderId Holder;
};
/// A replica has copied all records for a view.
struct ReplicaSynced {
  HolderId Holder;
  ViewVersion View;
};
/// The operators want a host emptied, or no longer.
struct RetirementAsked {
  HostId Host;
  bool IsWanted = true;
};
/// A report of a host's retirement did not reach the operators.
struct RetirementReportFailed {
  HostId Host;
  bool IsCompleted = false;
};
/// The key-value service has told all that it holds.
struct LedgerServiceRead {};

using LedgerEvent =
    std::variant<LedgerTimePassed, LedgerPeerSaid, LedgerBatchStored,
                 LedgerBatchFailed, LedgerBatchRecovered, LedgerViewSeen,
                 ReplicaRegistered, ReplicaUnregistered, ReplicaGreeted,
                 ReplicaSynced, RetirementAsked, RetirementReportFailed,
                 LedgerServiceRead>;

/// Make a batch durable and report LedgerBatchStored or LedgerBatchFailed.
struct PersistLedgerBatch {
  std::uint64_t Ticket = 0;
  LedgerBatch Batch;
};
/// Make the view durable before any later effect is performed.
struct PersistLedgerView {
  LedgerView View;
};
/// Read turns from the data folder and send Reply with them as its history.
struct SendHistory {
  HostId Peer;
  TurnOpened Reply;
  /// Oldest first.
  std::vector<std::pair<TurnId, RecordPlace>> Turns;
};
/// Read batches from the data folder and send Head with them.
struct SendRecords {
  HostId Peer;
  RecordsPage Head;
  std::vector<RecordPlace> Batches;
};
/// Delete a segment of the data folder: nothing in it is needed.
struct DropSegment {
  std::uint64_t Segment = 0;
};
/// Replace the view in the key-value service if it is still at Expected.
struct WriteLedgerView {
  Revision Expected;
  LedgerView View;
};
/// Tell in the key-value service that this replica has copied all records.
struct WriteSynced {
  ViewVersion View;
};
/// Tell the operators how far a host's retirement is.
struct TellRetirement {
  HostId Host;
  bool IsCompleted = false;
};

using LedgerEffect =
    std::variant<PersistLedgerBatch, PersistLedgerView, SendHistory,
                 SendRecords, DropSegment, WriteLedgerView, WriteSynced,
                 TellRetirement, SendHost, LogLine, CountMetric>;

/// Returns how long after an answer this replica should ask the key-value
/// service for changes again. One member asks often and tells the relays, as
/// each call has its price; the others ask now and then.
Milliseconds watchPauseOf(const LedgerState &State);

/// Applies one event to a replica's state and returns what is to be done, in
/// order.
std::vector<LedgerEffect> reduce(LedgerState &State, const LedgerEvent &Event);

} // namespace tanagerlanding

#endif
