/// \file
/// The messages exchanged between the system's own processes.
#ifndef TANAGERLANDING_DECISION_MESSAGES_H
#define TANAGERLANDING_DECISION_MESSAGES_H

#include "tanagerlanding/decision/CrashEvidence.h"
#include "tanagerlanding/decision/Inventory.h"
#include "tanagerlanding/decision/ProgramStarts.h"
#include "tanagerlanding/decision/Records.h"
#include "tanagerlanding/decision/TargetLimits.h"
#include "tanagerlanding/decision/TargetLoads.h"
#include "tanagerlanding/decision/ledger/LedgerMessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace tanagerlanding {

// Between any two processes.

/// The first message on a connection, sent by both sides.
struct Hello {
  HostId Host;
  InstanceId Instance;
  /// The identifier of the sender's journal, if it stores one.
  std::optional<HolderId> Holder;
  ConfigVersion Version;
};

/// Announces that the sender is live, and its configuration version.
struct Heartbeat {
  ConfigVersion Version;
  /// When a relay that needs proofs of its configuration sent this, in the form
  /// that heartbeatOf() defines. Never negative.
  std::optional<Instant> SentAt;
};

/// Offers a configuration newer than the receiver's.
struct ConfigOffer {
  ConfigVersion Version;
  std::string Document;
};

/// Announces that the sender is shutting down.
struct LeavingNotice {};

// Between entries.

/// Forwards a call to the entry that owns its shard according to the sender's
/// shard table.
struct ForwardCall {
  RequestId Request;
  Epoch ExpectedEpoch;
  Call RequestedCall;
};

/// The caller of a forwarded call has disconnected.
struct ForwardCancelled {
  RequestId Request;
};

/// A chunk of a streamed answer to a forwarded call.
struct ForwardChunk {
  RequestId Request;
  std::string Bytes;
};

/// The final answer to a forwarded call.
struct ForwardAnswered {
  RequestId Request;
  CallAnswer Answer;
};

/// Appends records to a holder's journal, in order from FirstIndex.
struct AppendRecords {
  ShardId Shard;
  Epoch OwnerEpoch;
  std::uint64_t FirstIndex = 0;
  std::vector<Record> Records;
};

/// All records up to and including Index are durable at the sender.
struct RecordsPersisted {
  ShardId Shard;
  Epoch OwnerEpoch;
  HolderId Holder;
  std::uint64_t Index = 0;
};

/// The holder has seen a higher epoch, found a gap in the indexes, or cannot
/// write records.
struct AppendRejected {
  ShardId Shard;
  Epoch OwnerEpoch;
  Epoch HighestEpoch;
  HolderId Holder;
};

/// Seals a holder's log: the holder rejects all further records of epochs below
/// NewEpoch and returns its records of SourceEpoch.
struct SealLog {
  ShardId Shard;
  Epoch SourceEpoch;
  Epoch NewEpoch;
};

/// A part of a holder's sealed log. Parts are numbered from 0 and arrive in
/// order. IsKnown is false if the holder never stored that epoch or its data
/// folder has failed.
struct LogSealed {
  ShardId Shard;
  Epoch SourceEpoch;
  Epoch NewEpoch;
  HolderId Holder;
  bool IsKnown = false;
  std::uint32_t Part = 0;
  bool IsLast = true;
  std::vector<Record> Records;
};

/// Allows a holder to delete its records of epochs below BelowEpoch.
struct ReleaseLog {
  ShardId Shard;
  Epoch BelowEpoch;
};

// Between an owner and a sidecar.

/// Runs one attempt of a call at the sidecar's target.
struct DispatchAttempt {
  AttemptId Attempt;
  ProgramId Program;
  AgentId Agent;
  CallKind Kind = CallKind::Chat;
  bool IsIdempotent = false;
  bool IsStreaming = false;
  /// Whether no other attempt may run at the target at the same time.
  bool IsIsolated = false;
  std::string Method;
  std::string Path;
  std::string Body;
  TokenCount MaxTokens;
  /// Tokens generated for the program so far; the program with the fewest has
  /// priority.
  TokenCount Attained;
  Milliseconds Deadline{0};
  std::string TraceParent;
};

/// The attempt has not been run and will not be run.
struct AttemptRefused {
  AttemptId Attempt;
  CallError Reason = CallError::None;
  Milliseconds RetryAfter{0};
};

/// A chunk of the attempt's streamed answer.
struct AttemptChunk {
  AttemptId Attempt;
  std::string Bytes;
};

/// The attempt has ended: it ran, or its outcome is unknown.
struct AttemptFinished {
  AttemptId Attempt;
  Execution ExecutionStatus = Execution::Unknown;
  TargetAnswer Answer;
  TokenCount Generated;
  /// The assistant's message as a JSON object, to be added to the history.
  std::string HistoryMessage;
  bool HasTargetCrashed = false;
};

/// Queries the outcome of an attempt. An attempt that has not started is
/// refused, and a dispatch of it that arrives later is refused as well.
struct QueryAttempt {
  AttemptId Attempt;
  Epoch AskingEpoch;
};

/// The attempt is still running; its outcome will be sent on this connection.
struct AttemptRunning {
  AttemptId Attempt;
};

/// The owner has made the outcome durable, so the sidecar may discard it.
struct ForgetAttempt {
  AttemptId Attempt;
};

/// Cancels an attempt whose answer no caller waits for.
struct CancelAttempt {
  AttemptId Attempt;
};

/// Lists the prefixes that the sender still needs, which ends their lease.
/// Prefixes under a lease that no owner lists are released when it ends.
struct KeepPrefixes {
  std::vector<std::string> Prefixes;
};

/// Releases prefixes that are no longer needed.
struct ReleasePrefixes {
  std::vector<std::string> Prefixes;
};

/// The load and health of a sidecar and its target.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Capacity = 0;
  bool IsHealthy = false;
  bool IsLeaving = false;
  ConfigVersion Version;
};

using Message = std::variant<
    Hello, Heartbeat, ConfigOffer, LeavingNotice, ForwardCall, ForwardCancelled,
    ForwardChunk, ForwardAnswered, AppendRecords, RecordsPersisted,
    AppendRejected, SealLog, LogSealed, ReleaseLog, SuspectNotice,
    DispatchAttempt, AttemptRefused, AttemptChunk, AttemptFinished,
    QueryAttempt, AttemptRunning, ForgetAttempt, CancelAttempt, KeepPrefixes,
    ReleasePrefixes, LoadReport, LedgerBatch, OpenTurn, TurnOpened, CloseTurn,
    TurnClosed, LedgerRefused, ViewOffer, PullRecords, RecordsPage, TurnsQuery,
    TurnsFound, DirectoryChanges, SuspectList, StreamStarted, TargetLimitNotice,
    TargetLimitQuery, PermitRequest, PermitGrant, ConfigurationVouch,
    TargetLoadReport, TargetLoadView, ProgramStartRequest, ProgramStartGrant,
    StreamOutputs, ContinuationFailed, HistoryQuery, HistoryPart>;

} // namespace tanagerlanding

#endif
