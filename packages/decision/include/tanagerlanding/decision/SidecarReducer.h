/// \file
/// Decisions of a sidecar: what its target runs, in which order, for whom.
#ifndef TANAGERLANDING_DECISION_SIDECARREDUCER_H
#define TANAGERLANDING_DECISION_SIDECARREDUCER_H

#include "tanagerlanding/decision/Messages.h"

#include <map>
#include <set>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Limits of a sidecar.
struct SidecarOptions {
  std::uint32_t Capacity = 1;
  std::uint32_t QueueLimit = 32;
  TargetKind Kind = TargetKind::Engine;
  /// How long prefixes outlive the connection to their owner.
  Milliseconds PrefixLease{5000};
  /// How long an idempotent attempt outlives the connection to its owner.
  Milliseconds OrphanLimit{5000};
  /// How long outcomes and refusals are kept for owners that went away.
  Milliseconds OutcomeRetention{600000};
  /// Waiting this long counts as much as this many tokens less attained.
  Milliseconds AgingStep{250};
  TokenCount AgingTokens{256};
  Milliseconds ReportInterval{200};
  /// How long a target may be silent before what it runs is given up, as far
  /// as that may be run again elsewhere.
  Milliseconds SilenceLimit{1500};
  /// How long a leaving sidecar with nothing to do stays for its owners: what
  /// they sent before they heard of it is refused, not lost. A message takes
  /// milliseconds, on a busy host some hundred.
  Milliseconds LeaveLinger{500};
  /// Probes that a target may leave unanswered in a row: on a busy host a
  /// single one can take longer than it waits for, while the target works.
  std::uint32_t SilentProbesAllowed = 1;

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

/// An attempt that waits or runs here.
struct SidecarAttempt {
  DispatchAttempt Work;
  ConnectionId Owner;
  Instant Arrived;
  Instant Deadline;
  bool Running = false;
  bool Cancelled = false;
  /// Set while the owner's connection is gone.
  std::optional<Instant> OrphanedAt;
  /// Set when the connection to the target broke, until a probe has told
  /// whether the target lives.
  bool Broken = false;
  /// Whether the target holds the prefix for this attempt only, so far.
  bool HasFreshPrefix = false;
};

/// An outcome kept until its owner has made it durable.
struct KeptOutcome {
  AttemptFinished Outcome;
  Instant Until;
};

/// A program's prefix that the target holds.
struct HeldPrefix {
  ConnectionId Owner;
  /// When it is released unless an owner asks for it again.
  std::optional<Instant> ExpiresAt;
};

/// The state of a sidecar.
struct SidecarState {
  SidecarOptions Options;
  InstanceId Self;
  Instant Now;
  bool Healthy = false;
  /// Since when health probes have failed.
  Instant UnhealthySince;
  bool Leaving = false;
  Instant LeavingSince;
  bool ProbeRunning = false;
  /// Probes in a row that were taken and not answered.
  std::uint32_t SilentProbes = 0;
  bool ExitAsked = false;
  ConfigVersion Version;
  std::string Document;
  Instant LastReport;
  std::map<ConnectionId, HostId> Owners;
  std::map<AttemptId, SidecarAttempt> Attempts;
  std::map<AttemptId, KeptOutcome> Outcomes;
  /// Attempts that were asked for before they came; they never run.
  std::map<AttemptId, Instant> Refused;
  /// The highest epoch of which an outcome was dropped unread.
  std::map<ShardId, Epoch> DroppedOutcomes;
  std::map<ShardId, Epoch> Fences;
  std::map<std::string, HeldPrefix> Prefixes;
};

/// The timer service's notice of the present time.
struct SidecarTimePassed {
  Instant Now;
};
/// An entry has connected and said who it is.
struct OwnerConnected {
  ConnectionId Connection;
  Hello Greeting;
};
struct OwnerDisconnected {
  ConnectionId Connection;
};
struct OwnerSaid {
  ConnectionId Connection;
  Message Body;
};
/// A piece of the target's answer.
struct TargetChunk {
  AttemptId Attempt;
  std::string Bytes;
};
/// The target gave a whole answer.
struct TargetAnswered {
  AttemptId Attempt;
  TargetAnswer Answer;
  TokenCount Generated;
  std::string HistoryMessage;
};
/// The target never got the request.
struct TargetUnreached {
  AttemptId Attempt;
};
/// The connection broke, or the answer was not whole.
struct TargetBroke {
  AttemptId Attempt;
};
/// A health probe's result, with the prefixes that the target holds.
struct TargetProbed {
  bool Alive = false;
  std::vector<std::string> HeldPrefixes;
  /// Whether the target took the probe and did not answer it: slow or hung.
  bool IsSilent = false;
};
struct SidecarStopAsked {};

using SidecarEvent =
    std::variant<SidecarTimePassed, OwnerConnected, OwnerDisconnected,
                 OwnerSaid, TargetChunk, TargetAnswered, TargetUnreached,
                 TargetBroke, TargetProbed, SidecarStopAsked>;

/// Send a message to an owner.
struct SendOwner {
  ConnectionId Connection;
  Message Body;
};
/// Call the target.
struct CallTarget {
  DispatchAttempt Work;
};
/// Stop a call to the target.
struct CancelTargetCall {
  AttemptId Attempt;
};
/// Ask the target whether it lives.
struct ProbeTarget {};
/// Order the target to free prefixes.
struct ReleaseTargetPrefixes {
  std::vector<std::string> Prefixes;
};
/// Stop the process: nothing is left to do.
struct ExitSidecar {};

using SidecarEffect =
    std::variant<SendOwner, CallTarget, CancelTargetCall, ProbeTarget,
                 ReleaseTargetPrefixes, ExitSidecar>;

/// Applies one event to the sidecar's state and returns what is to be done.
std::vector<SidecarEffect> reduce(SidecarState &State,
                                  const SidecarEvent &Event);

/// Returns the name under which a target keeps the prefix of an agent.
std::string prefixName(const ProgramId &Program, const AgentId &Agent);

} // namespace tanagerlanding

#endif
