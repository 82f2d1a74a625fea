/// \file
/// Reducer of a sidecar: which attempts its target runs, in which order and for
/// which owners.
#ifndef TANAGERLANDING_DECISION_SIDECARREDUCER_H
#define TANAGERLANDING_DECISION_SIDECARREDUCER_H

#include "tanagerlanding/decision/Messages.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Limits and timeouts of a sidecar.
struct SidecarOptions {
  std::uint32_t Capacity = 1;
  std::uint32_t QueueLimit = 32;
  TargetKind Kind = TargetKind::Engine;
  /// How long prefixes are kept after the connection to their owner is lost.
  Milliseconds PrefixLease{5000};
  /// How long an idempotent or queued attempt is kept after the connection to
  /// its owner is lost.
  Milliseconds OrphanTimeout{5000};
  /// How long outcomes and refusals are kept for owners that have not
  /// acknowledged them, for example because they disconnected.
  Milliseconds OutcomeRetention{600000};
  /// Aging: each AgingStep of waiting lowers an attempt's rank as if its
  /// program had attained AgingTokens fewer tokens.
  Milliseconds AgingStep{250};
  TokenCount AgingTokens{256};
  Milliseconds ReportInterval{200};
  /// How long a target may be unhealthy before its running idempotent attempts
  /// are cancelled, so that they can be retried elsewhere.
  Milliseconds UnresponsiveTimeout{1500};
  /// How long an idle sidecar continues to run after a shutdown request.
  /// Attempts that its owners sent before they received the notice are then
  /// refused instead of lost. A message takes milliseconds, on a busy host some
  /// hundred milliseconds.
  Milliseconds ShutdownGracePeriod{500};
  /// Number of consecutive probes that a target may leave unanswered without
  /// being considered unhealthy. On a busy host a single probe can exceed its
  /// timeout although the target works.
  std::uint32_t UnansweredProbesAllowed = 1;

  SidecarOptions &withCapacity(std::uint32_t Calls) {
    this->Capacity = Calls;
    return *this;
  }
  SidecarOptions &withQueueLimit(std::uint32_t Calls) {
    this->QueueLimit = Calls;
    return *this;
  }
  SidecarOptions &withKind(TargetKind Value) {
    this->Kind = Value;
    return *this;
  }
};

/// An attempt that is queued or running at this sidecar.
struct SidecarAttempt {
  DispatchAttempt Work;
  ConnectionId Owner;
  Instant Arrived;
  Instant Deadline;
  bool IsRunning = false;
  bool IsCancelled = false;
  /// When the connection to the owner was lost; empty while it is connected.
  std::optional<Instant> OrphanedAt;
  /// Set when the connection to the target was lost, until a probe shows
  /// whether the target is still alive.
  bool Broken = false;
  /// Whether the prefix did not exist at the target before this attempt.
  bool HasNewPrefix = false;
};

/// An outcome retained until its owner has made it durable.
struct KeptOutcome {
  AttemptFinished Outcome;
  Instant Until;
};

/// An agent's prefix that the target holds.
struct HeldPrefix {
  ConnectionId Owner;
  /// When the lease ends and the prefix is released, unless an owner requests
  /// it again; empty while an owner needs it.
  std::optional<Instant> ExpiresAt;
};

/// The state of a sidecar.
struct SidecarState {
  SidecarOptions Options;
  InstanceId Self;
  Instant Now;
  bool IsHealthy = false;
  /// When health probes began to fail.
  Instant UnhealthySince;
  bool IsLeaving = false;
  Instant LeavingSince;
  bool IsProbeRunning = false;
  /// Number of consecutive probes that the target accepted but did not answer.
  std::uint32_t UnansweredProbes = 0;
  bool IsExitRequested = false;
  ConfigVersion Version;
  std::string Document;
  Instant LastReport;
  std::map<ConnectionId, HostId> Owners;
  std::map<AttemptId, SidecarAttempt> Attempts;
  std::map<AttemptId, KeptOutcome> Outcomes;
  /// Attempts that were queried before their dispatch arrived and are never
  /// run, with the time until which they are remembered.
  std::map<AttemptId, Instant> Refused;
  /// For each shard, the highest epoch of which an outcome expired without
  /// having been acknowledged.
  std::map<ShardId, Epoch> DroppedOutcomes;
  std::map<ShardId, Epoch> Fences;
  std::map<std::string, HeldPrefix> Prefixes;
};

/// Timer tick that carries the current time.
struct SidecarTick {
  Instant Now;
};
/// An entry has connected and sent its Hello.
struct OwnerConnected {
  ConnectionId Connection;
  Hello Greeting;
};
struct OwnerDisconnected {
  ConnectionId Connection;
};
struct OwnerMessageReceived {
  ConnectionId Connection;
  Message Body;
};
/// A chunk of the target's streamed answer.
struct TargetChunk {
  AttemptId Attempt;
  std::string Bytes;
};
/// The target returned a complete answer.
struct TargetAnswered {
  AttemptId Attempt;
  TargetAnswer Answer;
  TokenCount Generated;
  std::string HistoryMessage;
};
/// The target could not be reached, so it never received the request.
struct TargetUnreachable {
  AttemptId Attempt;
};
/// The connection to the target was lost or the answer was incomplete.
struct TargetConnectionLost {
  AttemptId Attempt;
};
/// The result of a health probe, with the prefixes that the target holds.
struct TargetProbed {
  bool IsAlive = false;
  std::vector<std::string> HeldPrefixes;
  /// Whether the target accepted the probe but did not answer it, because it is
  /// slow or hung.
  bool IsUnanswered = false;
};
struct SidecarShutdownRequested {};

using SidecarEvent =
    std::variant<SidecarTick, OwnerConnected, OwnerDisconnected,
                 OwnerMessageReceived, TargetChunk, TargetAnswered,
                 TargetUnreachable, TargetConnectionLost, TargetProbed,
                 SidecarShutdownRequested>;

/// Sends a message to an owner.
struct SendOwner {
  ConnectionId Connection;
  Message Body;
};
/// Sends the attempt's call to the target.
struct CallTarget {
  DispatchAttempt Work;
};
/// Cancels a call to the target.
struct CancelTargetCall {
  AttemptId Attempt;
};
/// Sends a health probe to the target.
struct ProbeTarget {};
/// Requests the target to release prefixes.
struct ReleaseTargetPrefixes {
  std::vector<std::string> Prefixes;
};
/// Exits the process; shutdown is complete.
struct ExitSidecar {};

using SidecarEffect =
    std::variant<SendOwner, CallTarget, CancelTargetCall, ProbeTarget,
                 ReleaseTargetPrefixes, ExitSidecar>;

/// Applies one event to the sidecar's state and returns the resulting effects,
/// in the order in which they must be carried out.
std::vector<SidecarEffect> reduce(SidecarState &State,
                                  const SidecarEvent &Event);

/// Returns the name under which a target keeps the prefix of an agent.
std::string prefixName(const ProgramId &Program, const AgentId &Agent);

} // namespace tanagerlanding

#endif
