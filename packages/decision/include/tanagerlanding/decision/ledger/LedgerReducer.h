/// \file
/// Decisions of a ledger replica: which records it stores, for how long, under
/// which view, and when the membership changes.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERREDUCER_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERREDUCER_H

#include "tanagerlanding/decision/EntryReducer.h"
#include "tanagerlanding/decision/ledger/LedgerState.h"

#include <variant>
#include <vector>

namespace tanagerlanding {

/// Periodic event that carries the current time.
struct LedgerTick {
  Instant Now;
};
/// A message from the process on host Peer has arrived.
struct LedgerMessageReceived {
  HostId Peer;
  Message Body;
};
/// A batch of a PersistLedgerBatch effect is durable.
struct LedgerBatchStored {
  std::uint64_t Ticket = 0;
  BatchLocation Place;
};
/// A batch could not be written; none of its records are stored.
struct LedgerBatchFailed {
  std::uint64_t Ticket = 0;
};
/// A batch was found in the data folder at start-up.
struct LedgerBatchRecovered {
  BatchLocation Place;
  LedgerBatch Batch;
  Milliseconds Age{0};
};
/// Evidence against contents was found in the data folder at start-up. Age is
/// the time since it was written.
struct SuspectsRecovered {
  SuspectList Stored;
  Milliseconds Age{0};
};
/// A view was read from the key-value service, or written to it.
struct LedgerViewObserved {
  LedgerView View;
  Revision ModRevision;
};
/// A replica has registered or updated its registration.
struct ReplicaRegistered {
  LedgerMember Member;
};
/// The registration of a host's replica was deleted, has expired or is invalid.
struct ReplicaUnregistered {
  HostId Host;
};
/// A replica has sent a Hello message over a new connection.
struct ReplicaHelloReceived {
  HostId Host;
  HolderId Holder;
};
/// A replica has copied all records that it needs for a view.
struct ReplicaSynced {
  HolderId Holder;
  ViewVersion View;
};
/// The operators have requested a host's retirement, or withdrawn the request.
/// A host retires by leaving the membership.
struct RetirementRequested {
  HostId Host;
  bool IsRequested = true;
};
/// The write of a report about a host's retirement failed or was not answered.
struct RetirementReportFailed {
  HostId Host;
  bool IsCompleted = false;
};
/// The whole state of the key-value service has been read, at start-up or after
/// an outage.
struct LedgerServiceSnapshotRead {};
/// A configuration was read: all of its teams, with their quotas if they have
/// any.
struct TeamQuotasConfigured {
  ConfigVersion Version;
  std::map<TeamId, std::optional<RequestQuota>> Quotas;
};

/// A change of the configuration's key was received.
struct LedgerConfigurationObserved {
  Revision KeyRevision;
};
/// A query of the key-value service is about to be sent.
struct LedgerServiceQueryStarted {};
/// The changes in the answer to that query have been applied.
struct LedgerServiceContentConfirmed {};

using LedgerEvent =
    std::variant<LedgerTick, LedgerMessageReceived, LedgerBatchStored,
                 LedgerBatchFailed, LedgerBatchRecovered, SuspectsRecovered,
                 LedgerViewObserved, ReplicaRegistered, ReplicaUnregistered,
                 ReplicaHelloReceived, ReplicaSynced, RetirementRequested,
                 RetirementReportFailed, LedgerServiceSnapshotRead,
                 TeamQuotasConfigured, LedgerConfigurationObserved,
                 LedgerServiceQueryStarted, LedgerServiceContentConfirmed>;

/// Make a batch durable and report LedgerBatchStored or LedgerBatchFailed.
struct PersistLedgerBatch {
  std::uint64_t Ticket = 0;
  LedgerBatch Batch;
};
/// Make the view durable before any later effect is performed.
struct PersistLedgerView {
  LedgerView View;
};
/// Make the evidence against contents durable. Replaces what was stored before.
struct PersistSuspects {
  SuspectList Suspects;
};
/// Send a message to all connected relays.
struct NotifyRelays {
  Message Body;
};
/// Read turns from the data folder and send Reply with them as its history.
struct SendHistory {
  HostId Peer;
  TurnOpened Reply;
  /// Oldest first.
  std::vector<std::pair<TurnId, BatchLocation>> Turns;
};
/// Part of the text of a turn: its input and output, one after the other.
struct TurnPiece {
  TurnId Turn;
  BatchLocation Place;
  /// In bytes.
  std::uint64_t Offset = 0;
  std::uint64_t Bytes = 0;
};
/// Read pieces of turns from the data folder and send Header with them.
struct SendHistoryPart {
  HostId Peer;
  HistoryPart Header;
  std::vector<TurnPiece> Pieces;
};
/// Read batches from the data folder and send Header with them.
struct SendRecords {
  HostId Peer;
  RecordsPage Header;
  std::vector<BatchLocation> Batches;
};
/// Read batches from the data folder and send Header with those that can be
/// read.
struct SendTurns {
  HostId Peer;
  TurnsFound Header;
  std::vector<BatchLocation> Batches;
};
/// Delete a segment of the data folder that has no live records.
struct DropSegment {
  std::uint64_t Segment = 0;
};
/// Replace the view in the key-value service if its revision is still Expected.
struct WriteLedgerView {
  Revision Expected;
  LedgerView View;
};
/// Publish in the key-value service that this replica has copied all records
/// for a view.
struct WriteSynced {
  ViewVersion View;
};
/// Report the start or the completion of a host's retirement to the operators.
struct ReportRetirement {
  HostId Host;
  bool IsCompleted = false;
};

using LedgerEffect =
    std::variant<PersistLedgerBatch, PersistLedgerView, PersistSuspects,
                 NotifyRelays, SendHistory, SendHistoryPart, SendRecords,
                 SendTurns, DropSegment, WriteLedgerView, WriteSynced,
                 ReportRetirement, SendHost, LogLine, CountMetric>;

/// Returns how long after an answer this replica should ask the key-value
/// service for changes again. Since each request loads the service, only one
/// member asks often and forwards the changes to the relays; the others ask at
/// longer intervals.
Milliseconds watchDelay(const LedgerState &State);

/// Applies one event to a replica's state and returns the effects to perform,
/// in order.
std::vector<LedgerEffect> reduce(LedgerState &State, const LedgerEvent &Event);

} // namespace tanagerlanding

#endif
