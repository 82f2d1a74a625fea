/// \file
/// The state of an entry.
#ifndef TANAGERLANDING_DECISION_ENTRYSTATE_H
#define TANAGERLANDING_DECISION_ENTRYSTATE_H

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

/// Limits and weights of an entry.
struct EntryOptions {
  std::uint32_t ShardCount = 16;
  /// Calls that wait in one agent's line, beside the one that runs.
  std::uint32_t AgentQueueLimit = 8;
  std::uint32_t TriesPerCall = 3;
  /// Retries allowed for each first try, and the most saved up.
  double RetryRatio = 0.1;
  double RetryBurst = 5;
  Milliseconds BackoffBase{20};
  /// A peer not heard for this long counts as down.
  Milliseconds DeadAfter{2000};
  Milliseconds HeartbeatInterval{500};
  /// Each lower-ranked candidate waits this much longer before a takeover.
  Milliseconds TakeoverStagger{700};
  /// How long a broken attempt's outcome is asked for before it is unknown.
  Milliseconds ResolveLimit{3000};
  /// Records unacknowledged this long mean that a holder is lost.
  Milliseconds AppendLimit{1500};
  /// How long a compare-and-swap may stay unanswered before the next try.
  Milliseconds TableWriteRetry{1000};
  /// How long a program may be silent before it counts as gone.
  Milliseconds ProgramIdleLimit{600000};
  /// How long an ended program's answers are kept for repeats.
  Milliseconds EndedRetention{600000};
  /// How long an agent's prefix is kept over a pause between calls.
  Milliseconds PrefixHold{10000};
  Milliseconds RetryAfter{500};
  /// How long shutdown waits for what is under way before it says so.
  Milliseconds DrainLimit{30000};
  /// Prefill time of one prompt byte at an engine, in microseconds.
  double PrefillMicrosPerByte = 5;
  RoutingPolicy Policy = LeastExpectedFinish{};

  EntryOptions &withShardCount(std::uint32_t Shards) {
    this->ShardCount = Shards;
    return *this;
  }
  EntryOptions &withPrefixHold(Milliseconds Hold) {
    this->PrefixHold = Hold;
    return *this;
  }
  EntryOptions &withProgramIdleLimit(Milliseconds Limit) {
    this->ProgramIdleLimit = Limit;
    return *this;
  }
  EntryOptions &withPolicy(RoutingPolicy Value) {
    this->Policy = Value;
    return *this;
  }
};

/// A caller connected to this entry.
struct LocalRoute {
  RequestId Request;
};
/// A caller connected to the entry on Peer.
struct PeerRoute {
  HostId Peer;
  RequestId Request;
};
/// Where an answer goes.
using ReplyRoute = std::variant<LocalRoute, PeerRoute>;

/// One who waits for a call's answer.
struct Waiter {
  ReplyRoute Route;
  bool Stream = false;
};

/// A call that waits its turn or is under way.
struct CallTicket {
  Call Asked;
  std::vector<Waiter> Waiters;
  Instant Arrived;
  Instant Deadline;
};

/// How far the running call of an agent is.
enum class CallPhase : std::uint8_t {
  /// Waits for its time to be tried (again).
  Waiting,
  /// Its intent is being made durable.
  Recording,
  /// Dispatched to a sidecar.
  Running,
  /// The connection to its sidecar is gone; its outcome is asked for.
  Resolving,
  /// Its final answer is being made durable.
  Finishing,
};

/// The call of an agent that is under way.
struct ActiveCall {
  CallTicket Ticket;
  CallPhase Phase = CallPhase::Waiting;
  AttemptId Attempt;
  HostId Target;
  InstanceId SidecarInstance;
  Fingerprint Content;
  bool Isolated = false;
  /// Whether the present attempt counts as outstanding at its target.
  bool IsOutstanding = false;
  std::uint32_t Tries = 0;
  std::set<HostId> Tried;
  bool HasStreamed = false;
  /// Whether this is a call of an earlier owner, of which only the intent is
  /// known.
  bool IsInherited = false;
  /// Whether attempts so far may have had an effect.
  Execution Worst = Execution::NotRun;
  CallError LastError = CallError::NoTarget;
  Instant RetryAt;
  Instant PhaseSince;
  /// When the present attempt's dispatch became durable.
  Instant DispatchedAt;
};

/// An agent's line of calls.
struct AgentLine {
  std::optional<ActiveCall> Active;
  std::deque<CallTicket> Queue;
  Instant LastFinished;
  /// Whether the last target was told to free the agent's prefix.
  bool PrefixReleased = true;
};

/// The part of a program's state that is not in the journal.
struct ProgramRuntime {
  std::map<AgentId, AgentLine> Lines;
  Instant LastUsed;
};

/// What is to be done once a record is durable.
struct SendDispatch {
  ProgramId Program;
  AgentId Agent;
  AttemptId Attempt;
};
struct PublishAnswer {
  ProgramId Program;
  AgentId Agent;
};
/// Confirms to the caller that its program has ended.
struct ConfirmEnd {
  ReplyRoute Route;
};
using DurableAction =
    std::variant<std::monostate, SendDispatch, PublishAnswer, ConfirmEnd>;

/// A record whose holders have not all acknowledged it. Index 0: it is part
/// of the snapshot that a new epoch begins with.
struct PendingRecord {
  std::uint64_t Index = 0;
  Instant Since;
  Record Content;
  DurableAction Action;
};

/// How far this entry is with a shard.
enum class ShardPhase : std::uint8_t {
  /// The row that names this entry as owner is being written.
  Claiming,
  /// The source's log is being sealed.
  Sealing,
  /// The log is being copied to the holders of the new epoch.
  Copying,
  /// The row that marks the epoch as serving is being written.
  Confirming,
  Serving,
};

/// A shard that this entry owns or takes over.
struct OwnedShard {
  ShardPhase Phase = ShardPhase::Claiming;
  /// The row as this entry wants it.
  ShardEntry Entry;
  /// The revision of the row that a claim was made from. A claim names the
  /// holders to read from, so that it is void once that row has changed.
  Revision ClaimedFrom;
  Instant PhaseSince;
  /// Whether this entry has served it in any epoch; calls wait for the next
  /// epoch only then.
  bool HasServed = false;
  /// When it last stopped serving.
  Instant StoppedAt;
  /// Whether the ledger is this process's own and needs no sealing.
  bool HasOwnLedger = false;
  ShardLedger Ledger;
  std::map<ProgramId, ProgramRuntime> Programs;
  std::map<AttemptId, std::pair<ProgramId, AgentId>> Attempts;
  std::uint64_t NextSequence = 1;
  std::uint64_t NextIndex = 1;
  /// The last index of the snapshot that the epoch began with.
  std::uint64_t SnapshotEnd = 0;
  std::deque<PendingRecord> Pending;
  std::map<HolderId, std::uint64_t> Acknowledged;
  /// Parts of sealed logs that have come so far, by source holder.
  std::map<HolderId, std::pair<std::uint32_t, std::vector<Record>>> Sealed;
};

/// Another process of the system, as last heard.
struct PeerView {
  bool Connected = false;
  InstanceId Instance;
  std::optional<HolderId> Holder;
  ConfigVersion Version;
  Instant LastHeard;
  bool Leaving = false;
};

/// A target as last reported by its sidecar.
struct TargetView {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Capacity = 1;
  bool Healthy = false;
  bool Leaving = false;
  /// This entry's own attempts there, now and when the last report came.
  std::uint32_t OwnOutstanding = 0;
  std::uint32_t OwnAtReport = 0;
  /// Moving average of an attempt's time at the target.
  double AverageMillis = 50;
};

/// An agent's line that has something to do at a set time.
struct LineRef {
  ShardId Shard;
  ProgramId Program;
  AgentId Agent;
};

/// A request content that was in flight when its target crashed.
struct Suspicion {
  std::uint32_t Crashes = 0;
  Instant LastSeen;
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
  /// Targets by the service they run, from the inventory.
  std::map<ServiceName, std::vector<HostId>> TargetsByService;
  bool HasTable = false;
  std::map<ShardId, VersionedShardEntry> Table;
  /// Since when a shard has had no live owner.
  std::map<ShardId, Instant> OrphanedSince;
  std::map<ShardId, OwnedShard> Owned;
  std::map<HostId, PeerView> Peers;
  std::map<HostId, TargetView> Targets;
  /// Callers' requests under way here, and the entry that owns each.
  std::map<RequestId, HostId> Requests;
  std::map<Fingerprint, Suspicion> Suspects;
  /// Lines to look at once the time has come. A line that changed since then
  /// is looked at in vain.
  std::multimap<Instant, LineRef> Due;
  std::set<HolderId> FailedHolders;
  double RetryCredit = 0;
  std::uint64_t RoundRobinNext = 0;
  bool Draining = false;
  bool LeavingSent = false;
  bool ExitAsked = false;
  Instant DrainSince;
};

} // namespace tanagerlanding

#endif
