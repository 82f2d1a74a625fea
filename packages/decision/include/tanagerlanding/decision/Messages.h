/// \file
/// The messages between the system's own processes.
#ifndef TANAGERLANDING_DECISION_MESSAGES_H
#define TANAGERLANDING_DECISION_MESSAGES_H

#include "tanagerlanding/decision/Inventory.h"
#include "tanagerlanding/decision/Records.h"
#include "tanagerlanding/decision/ledger/LedgerMessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace tanagerlanding {

// Between any two processes.

/// The first message on a connection, from both sides.
struct Hello {
  HostId Host;
  InstanceId Instance;
  /// The journal kept here, if any.
  std::optional<HolderId> Holder;
  ConfigVersion Version;
};

/// Tells that the sender lives and which configuration it has.
struct Heartbeat {
  ConfigVersion Version;
};

/// A configuration newer than the receiver's.
struct ConfigOffer {
  ConfigVersion Version;
  std::string Document;
};

/// The sender is about to stop.
struct LeavingNotice {};

// Between entries.

/// A call for a shard that the receiver is believed to own.
struct ForwardCall {
  RequestId Request;
  Epoch Believed;
  Call Asked;
};

/// The caller of a forwarded call has gone.
struct ForwardCancelled {
  RequestId Request;
};

/// A piece of a streamed answer to a forwarded call.
struct ForwardChunk {
  RequestId Request;
  std::string Bytes;
};

/// The final answer to a forwarded call.
struct ForwardAnswered {
  RequestId Request;
  CallAnswer Answer;
};

/// Records to keep, in order from FirstIndex.
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

/// The holder has seen a higher epoch, or can't keep records.
struct AppendRejected {
  ShardId Shard;
  Epoch OwnerEpoch;
  Epoch HighestEpoch;
  HolderId Holder;
};

/// Asks a holder to take no further record below NewEpoch and to return what
/// it has of SourceEpoch.
struct SealLog {
  ShardId Shard;
  Epoch SourceEpoch;
  Epoch NewEpoch;
};

/// A part of a holder's sealed log; parts are numbered from 0 and come in
/// order. Known is false where the holder never had that epoch.
struct LogSealed {
  ShardId Shard;
  Epoch SourceEpoch;
  Epoch NewEpoch;
  HolderId Holder;
  bool Known = false;
  std::uint32_t Part = 0;
  bool IsLast = true;
  std::vector<Record> Records;
};

/// Records of epochs below BelowEpoch are not needed any more.
struct ReleaseLog {
  ShardId Shard;
  Epoch BelowEpoch;
};

/// A request's content was in flight when its target crashed.
struct SuspectNotice {
  Fingerprint Content;
  std::uint32_t Crashes = 0;
};

// Between an owner and a sidecar.

/// Runs one attempt at the sidecar's target.
struct DispatchAttempt {
  AttemptId Attempt;
  ProgramId Program;
  AgentId Agent;
  CallKind Kind = CallKind::Chat;
  bool Idempotent = false;
  bool Stream = false;
  /// Whether it must run alone at its target.
  bool Isolated = false;
  std::string Method;
  std::string Path;
  std::string Body;
  TokenCount MaxTokens;
  /// Tokens generated for the program so far; the least goes first.
  TokenCount Attained;
  Milliseconds Deadline{0};
  std::string TraceParent;
};

/// The attempt was not and will not be run.
struct AttemptRefused {
  AttemptId Attempt;
  CallError Reason = CallError::None;
  Milliseconds RetryAfter{0};
};

/// A piece of the attempt's answer.
struct AttemptChunk {
  AttemptId Attempt;
  std::string Bytes;
};

/// The attempt is over: it ran, or nobody can tell.
struct AttemptFinished {
  AttemptId Attempt;
  Execution Ran = Execution::Unknown;
  TargetAnswer Answer;
  TokenCount Generated;
  /// The assistant's message as a JSON object, for the history.
  std::string HistoryMessage;
  bool TargetCrashed = false;
};

/// Asks for an attempt's outcome; one not started is refused for ever.
struct QueryAttempt {
  AttemptId Attempt;
  Epoch AskingEpoch;
};

/// The attempt is still running and will be reported on this connection.
struct AttemptRunning {
  AttemptId Attempt;
};

/// The outcome is durable elsewhere and need not be kept.
struct ForgetAttempt {
  AttemptId Attempt;
};

/// Stops an attempt whose answer nobody waits for.
struct CancelAttempt {
  AttemptId Attempt;
};

/// The prefixes that the sender wants kept; all others of its shards go.
struct KeepPrefixes {
  std::vector<std::string> Prefixes;
};

/// Prefixes that are not needed any more.
struct ReleasePrefixes {
  std::vector<std::string> Prefixes;
};

/// A sidecar's own state.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Capacity = 0;
  bool Healthy = false;
  bool Leaving = false;
  ConfigVersion Version;
};

using Message =
    std::variant<Hello, Heartbeat, ConfigOffer, LeavingNotice, ForwardCall,
                 ForwardCancelled, ForwardChunk, ForwardAnswered, AppendRecords,
                 RecordsPersisted, AppendRejected, SealLog, LogSealed,
                 ReleaseLog, SuspectNotice, DispatchAttempt, AttemptRefused,
                 AttemptChunk, AttemptFinished, QueryAttempt, AttemptRunning,
                 ForgetAttempt, CancelAttempt, KeepPrefixes, ReleasePrefixes,
                 LoadReport, LedgerBatch, OpenTurn, TurnOpened, CloseTurn,
                 TurnClosed, LedgerRefused, ViewOffer, PullRecords, RecordsPage,
                 DirectoryChanges>;

} // namespace tanagerlanding

#endif
