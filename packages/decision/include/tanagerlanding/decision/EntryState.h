/// \file
/// The state of an entry.
#ifndef TANAGERLANDING_DECISION_ENTRYSTATE_H
#define TANAGERLANDING_DECISION_ENTRYSTATE_H

#include "tanagerlanding/decision/CrashEvidence.h"
#include "tanagerlanding/decision/Inventory.h"
#include "tanagerlanding/decision/Records.h"
#include "tanagerlanding/decision/RoutingPolicy.h"
#include "tanagerlanding/decision/ShardTable.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Number of suspect contents that an entry keeps.
constexpr std::size_t EntryContentLimit = 10000;

/// Limits, timeouts and cost factors of an entry.
struct EntryOptions {
  std::uint32_t ShardCount = 16;
  /// Maximum number of calls queued for one agent, not counting the active one.
  std::uint32_t AgentQueueLimit = 8;
  std::uint32_t TriesPerCall = 3;
  /// Retry budget: credit earned by each first attempt, and the maximum credit
  /// that can accumulate.
  double RetryRatio = 0.1;
  double RetryBurst = 5;
  Milliseconds BackoffBase{20};
  /// A peer from which no message arrives for this long is considered down.
  Milliseconds PeerHeartbeatTimeout{2000};
  Milliseconds HeartbeatInterval{500};
  /// Additional delay before a takeover for each higher-ranked candidate, which
  /// prevents candidates from claiming the same shard at the same time.
  Milliseconds TakeoverStagger{700};
  /// How long the outcome of an attempt whose sidecar connection was lost is
  /// queried before it is treated as unknown.
  Milliseconds ResolveTimeout{3000};
  /// A record that stays unacknowledged for this long means that a holder has
  /// failed.
  Milliseconds AppendTimeout{1500};
  /// How long to wait for the result of a compare-and-swap or of a seal request
  /// before it is sent again.
  Milliseconds TableWriteRetryInterval{1000};
  /// A program that makes no call for this long is ended.
  Milliseconds ProgramIdleTimeout{600000};
  /// How long the answers of an ended program are kept for repeated calls.
  Milliseconds EndedRetention{600000};
  /// How long an agent's prefix is kept at its target after the agent's last
  /// call.
  Milliseconds PrefixRetention{10000};
  Milliseconds RetryAfter{500};
  /// How long shutdown waits for requests in flight before it logs that they
  /// are overdue and proceeds, and then how long it waits for other entries to
  /// take over the shards.
  Milliseconds DrainTimeout{30000};
  /// Time in microseconds that an engine needs to prefill one prompt byte.
  double PrefillMicrosPerByte = 5;
  RoutingPolicy Policy = LeastExpectedFinish{};

  EntryOptions &withShardCount(std::uint32_t Shards) {
    this->ShardCount = Shards;
    return *this;
  }
  EntryOptions &withPrefixRetention(Milliseconds Hold) {
    this->PrefixRetention = Hold;
    return *this;
  }
  EntryOptions &withProgramIdleTimeout(Milliseconds Limit) {
    this->ProgramIdleTimeout = Limit;
    return *this;
  }
  EntryOptions &withPolicy(RoutingPolicy Value) {
    this->Policy = Value;
    return *this;
  }
};

/// Route to a caller that is connected to this entry.
struct LocalRoute {
  RequestId Request;
};
/// Route to a caller that is connected to the entry on Peer.
struct PeerRoute {
  HostId Peer;
  RequestId Request;
};
/// The destination of an answer.
using ReplyRoute = std::variant<LocalRoute, PeerRoute>;

/// A caller that waits for the answer to a call.
struct Waiter {
  ReplyRoute Route;
  bool IsStreaming = false;
};

/// A call that is queued or in flight.
struct PendingCall {
  Call RequestedCall;
  std::vector<Waiter> Waiters;
  Instant Arrived;
  Instant Deadline;
};

/// The phase of an agent's active call.
enum class CallPhase : std::uint8_t {
  /// Waiting for the backoff before the next attempt to elapse.
  Waiting,
  /// The intent of the attempt is being made durable.
  Recording,
  /// The attempt has been dispatched to a sidecar.
  Running,
  /// The attempt's outcome is being queried, because the connection to its
  /// sidecar was lost or the shard was taken over.
  Resolving,
  /// The final answer is being made durable.
  Finishing,
};

/// The active call of an agent.
struct ActiveCall {
  PendingCall Pending;
  CallPhase Phase = CallPhase::Waiting;
  AttemptId Attempt;
  HostId Target;
  InstanceId SidecarInstance;
  Fingerprint ContentFingerprint;
  bool IsIsolated = false;
  /// Whether the current attempt is included in its target's outstanding count.
  bool IsOutstanding = false;
  std::uint32_t Tries = 0;
  std::set<HostId> TriedTargets;
  bool HasStreamed = false;
  /// Whether the call was started by a previous owner of the shard, so that
  /// only its recorded intent is available.
  bool IsInherited = false;
  /// The most severe execution status of the attempts so far: whether one of
  /// them may have had an effect.
  Execution WorstExecution = Execution::NotRun;
  CallError LastError = CallError::NoTarget;
  Instant RetryAt;
  Instant PhaseSince;
  /// When the current attempt was dispatched, once its intent was durable.
  Instant DispatchedAt;
};

/// The calls of one agent, which run one at a time and in order.
struct AgentQueue {
  std::optional<ActiveCall> Active;
  std::deque<PendingCall> Waiting;
  Instant LastFinished;
  /// Whether the release of the agent's prefix was sent to its last target.
  bool IsPrefixReleased = true;
};

/// The volatile part of a program's state, which is not journaled.
struct ProgramRuntime {
  std::map<AgentId, AgentQueue> AgentQueues;
  Instant LastUsed;
};

/// Dispatches an attempt; done once its intent is durable.
struct SendDispatch {
  ProgramId Program;
  AgentId Agent;
  AttemptId Attempt;
};
struct PublishAnswer {
  ProgramId Program;
  AgentId Agent;
};
/// Confirms the end of the program to the caller.
struct ConfirmEnd {
  ReplyRoute Route;
};
using DurableAction =
    std::variant<std::monostate, SendDispatch, PublishAnswer, ConfirmEnd>;

/// A record that not all of the shard's holders have acknowledged. Index 0
/// means that the record is contained in the snapshot that starts a new epoch.
struct PendingRecord {
  std::uint64_t Index = 0;
  Instant Since;
  Record Content;
  DurableAction Action;
};

/// The phase of a shard at this entry.
enum class ShardPhase : std::uint8_t {
  /// The row that names this entry as the owner is being written.
  Claiming,
  /// The log of the source epoch is being sealed and read.
  Sealing,
  /// The snapshot is being copied to the holders of the new epoch.
  Copying,
  /// The row that marks the epoch as serving is being written.
  Confirming,
  Serving,
};

/// A shard that this entry owns or is taking over.
struct OwnedShard {
  ShardPhase Phase = ShardPhase::Claiming;
  /// The row that this entry writes or has written.
  ShardEntry Entry;
  /// The revision of the row on which the claim is based. The claim names the
  /// holders to read the log from, so it is void once that row has changed.
  Revision ClaimedFrom;
  Instant PhaseSince;
  /// Whether this entry has served the shard in any epoch. Only then are calls
  /// queued while the next epoch starts.
  bool HasServed = false;
  /// When the shard last stopped serving.
  Instant StoppedAt;
  /// Whether DurableState is already loaded in this process, so that no log
  /// needs to be sealed and read.
  bool HasOwnState = false;
  ShardState DurableState;
  std::map<ProgramId, ProgramRuntime> Programs;
  std::map<AttemptId, std::pair<ProgramId, AgentId>> Attempts;
  std::uint64_t NextSequence = 1;
  std::uint64_t NextIndex = 1;
  /// Index of the last record of the snapshot that starts the epoch.
  std::uint64_t SnapshotEnd = 0;
  std::deque<PendingRecord> Pending;
  std::map<HolderId, std::uint64_t> Acknowledged;
  /// For each source holder, the next expected part of its sealed log and the
  /// records received so far.
  std::map<HolderId, std::pair<std::uint32_t, std::vector<Record>>> Sealed;
};

/// Another process of the system, as last reported by it.
struct PeerView {
  bool IsConnected = false;
  InstanceId Instance;
  std::optional<HolderId> Holder;
  ConfigVersion Version;
  Instant LastMessageAt;
  bool IsLeaving = false;
};

/// A target, as last reported by its sidecar.
struct TargetView {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Capacity = 1;
  bool IsHealthy = false;
  bool IsLeaving = false;
  /// Number of this entry's outstanding attempts at the target, now and at the
  /// time of the last report.
  std::uint32_t OwnOutstanding = 0;
  std::uint32_t OwnAtReport = 0;
  /// Moving average of the duration of an attempt at the target, in
  /// milliseconds.
  double AverageMillis = 50;
};

/// Identifies an agent's queue. An empty agent identifies the program itself.
struct AgentQueueRef {
  ShardId Shard;
  ProgramId Program;
  AgentId Agent;
};

/// The state of an entry.
struct EntryState {
  EntryOptions Options;
  HostId Self;
  InstanceId Instance;
  std::optional<HolderId> Holder;
  Instant Now;
  Instant StartedAt;
  Instant LastHeartbeat;
  std::mt19937_64 Random;
  Inventory Accepted;
  /// The inventory's targets, by the service that they run.
  std::map<ServiceName, std::vector<HostId>> TargetsByService;
  bool HasTable = false;
  std::map<ShardId, VersionedShardEntry> Table;
  /// When a shard was first seen without a live owner.
  std::map<ShardId, Instant> OrphanedSince;
  std::map<ShardId, OwnedShard> Owned;
  std::map<HostId, PeerView> Peers;
  std::map<HostId, TargetView> Targets;
  /// Requests of local callers in flight, with the entry that handles each.
  std::map<RequestId, HostId> Requests;
  QuarantineTable Suspects{IsolatedRunPolicy{}, EntryContentLimit};
  /// Timers: queues to check at a given time. A timer is not removed if its
  /// queue changes; the check then has no effect.
  std::multimap<Instant, AgentQueueRef> Due;
  std::set<HolderId> FailedHolders;
  double RetryCredit = 0;
  std::uint64_t RoundRobinNext = 0;
  bool IsDraining = false;
  bool IsLeavingSent = false;
  bool IsExitRequested = false;
  Instant DrainSince;
};

} // namespace tanagerlanding

#endif
