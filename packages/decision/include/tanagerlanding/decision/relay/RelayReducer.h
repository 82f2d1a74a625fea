/// \file
/// The decisions of a relay: routing, choice of targets, attempts, turns at the
/// ledger, refusals, and shutdown.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYREDUCER_H
#define TANAGERLANDING_DECISION_RELAY_RELAYREDUCER_H

#include "tanagerlanding/decision/EntryReducer.h"
#include "tanagerlanding/decision/relay/RelayState.h"

#include <variant>
#include <vector>

namespace tanagerlanding {

/// A timer tick with the current time.
struct RelayTick {
  Instant Now;
};
/// A caller's request was completely received.
struct CallerRequestReceived {
  RequestId Request;
  CallerRequest InboundRequest;
};
/// A caller closed its connection before its answer was complete.
struct RelayCallerDisconnected {
  RequestId Request;
};
/// The head of a target's answer to an attempt was received.
struct AttemptHeadReceived {
  RelayAttemptId Attempt;
  TargetAnswerHead Head;
};
/// Bytes of the body of a target's answer were received.
struct AttemptBytesReceived {
  RelayAttemptId Attempt;
  std::string Bytes;
};
/// The connection to an attempt's target has taken bytes of SendAttemptPart.
struct AttemptPartWritten {
  RelayAttemptId Attempt;
  std::size_t Bytes = 0;
};
/// An attempt has ended on the connection to its target.
struct AttemptEnded {
  enum class Kind {
    /// The whole answer was received.
    Complete,
    /// No byte of the request was sent.
    NeverSent,
    /// The connection failed or the answer violated the protocol.
    Broken,
    /// No byte of the request was sent before SendAttempt::SendBefore.
    Overdue,
  };
  RelayAttemptId Attempt;
  Kind Ended = Kind::Broken;
};
/// The result of a ProbeTargetConnection effect.
struct TargetConnectionProbed {
  enum class Outcome {
    /// The target accepted a connection.
    Accepted,
    /// The host refused the connection, as no process listens there.
    Refused,
    /// Nothing was received in time.
    NoAnswer,
  };
  TargetRun Run;
  Outcome Result = Outcome::NoAnswer;
};
/// A configuration was accepted.
struct RelayConfigured {
  RelayConfiguration Configuration;
};
/// A change of the configuration's key was received, whether or not its value
/// was accepted.
struct ConfigurationKeyObserved {
  Revision KeyRevision;
};
/// Everything that the key-value service had confirmed before AskedAt has been
/// received.
struct DirectoryConfirmed {
  Instant AskedAt;
};
/// A ConfirmDirectory effect has failed.
struct DirectoryNotConfirmed {};
struct TargetRegistered {
  RegisteredTarget Entry;
};
struct TargetUnregistered {
  TargetId Id;
};
/// A target was registered so until another process reported a later change of
/// its registration.
struct OutdatedTargetObserved {
  RegisteredTarget Entry;
};
/// Registrations may have changed and changed back unobserved.
struct DirectoryHistoryLost {};
/// The key-value service has become unreachable, or reachable again.
struct DirectoryLost {};
struct DirectoryRegained {};
/// A replica reports whether it can't reach the key-value service.
struct ReplicaReachabilityReported {
  HolderId Holder;
  bool IsServiceLost = false;
};
/// A ledger view was read from the key-value service.
struct RelayLedgerViewObserved {
  LedgerView View;
};
/// The connection to a replica is established and the replica has identified
/// itself, or the connection is closed.
struct ReplicaConnected {
  HolderId Holder;
};
struct ReplicaDisconnected {
  HolderId Holder;
};
/// A message from a replica was received.
struct ReplicaMessageReceived {
  HolderId Holder;
  Message Body;
};
/// The process was asked to stop.
struct RelayShutdownRequested {};

using RelayEvent =
    std::variant<RelayTick, CallerRequestReceived, RelayCallerDisconnected,
                 AttemptHeadReceived, AttemptBytesReceived, AttemptPartWritten,
                 AttemptEnded, TargetConnectionProbed, RelayConfigured,
                 ConfigurationKeyObserved, DirectoryConfirmed,
                 DirectoryNotConfirmed, TargetRegistered, TargetUnregistered,
                 OutdatedTargetObserved, DirectoryHistoryLost, DirectoryLost,
                 DirectoryRegained, ReplicaReachabilityReported,
                 RelayLedgerViewObserved, ReplicaConnected, ReplicaDisconnected,
                 ReplicaMessageReceived, RelayShutdownRequested>;

/// Send a caller the system's own final answer.
struct RefuseCaller {
  RequestId Request;
  RelayRefusal Refusal;
};
/// Begin a caller's answer with the head of a target's answer. Without
/// BodyBytes the body is sent in pieces until FinishAnswer.
struct BeginAnswer {
  RequestId Request;
  TargetAnswerHead Head;
  std::optional<std::size_t> BodyBytes;
};
/// Send a piece of the body of a caller's answer.
struct ContinueAnswer {
  RequestId Request;
  std::string Bytes;
};
/// Complete a caller's answer.
struct FinishAnswer {
  RequestId Request;
};
/// Close the caller's connection so that the answer cannot be mistaken for a
/// complete one.
struct AbortAnswer {
  RequestId Request;
};
/// Send an attempt to a target. The caller's request is that of the call named
/// by Request.
struct SendAttempt {
  RelayAttemptId Attempt;
  RequestId Request;
  RegisteredTarget Target;
  /// Idle connections that this relay may keep to the target.
  std::uint32_t IdleLimit = 0;
  Milliseconds TimeLeft{0};
  /// The team that the request is sent for, if any.
  std::optional<TeamId> Team;
  /// Whether the target gets neither the caller's key nor the team that the
  /// caller's headers name.
  bool IsCredentialWithheld = false;
  /// History of the previous turns, sent before the caller's body.
  std::string History;
  /// Size of a history that follows with SendAttemptPart, in place of History.
  std::uint64_t LongHistoryBytes = 0;
  /// Id of the last event that the caller has received, if a stream is resumed.
  std::optional<std::uint64_t> ResumeAfter;
  /// From this time on the attempt must not be sent; absent if there is no such
  /// time.
  std::optional<Instant> SendBefore;
};
/// Send the next part of an attempt's long history, and report
/// AttemptPartWritten.
struct SendAttemptPart {
  RelayAttemptId Attempt;
  std::string Bytes;
};
/// Close the connection of an attempt.
struct CancelTargetAttempt {
  RelayAttemptId Attempt;
};
/// Open a connection to a target, close it, and report TargetConnectionProbed.
struct ProbeTargetConnection {
  TargetRun Run;
  std::string Address;
  std::uint16_t Port = 0;
};
/// Send a message to a replica.
struct SendToReplica {
  HolderId Holder;
  Message Body;
};
/// Connect to these replicas and close connections to all others.
struct ConnectReplicas {
  std::vector<LedgerMember> Members;
};
/// Ask the key-value service at once for changes that are not known yet, and
/// report DirectoryConfirmed or DirectoryNotConfirmed.
struct ConfirmDirectory {};
/// Accept no new connections and close idle ones.
struct StopAccepting {};
/// Stop the process.
struct ExitRelay {};

using RelayEffect =
    std::variant<RefuseCaller, BeginAnswer, ContinueAnswer, FinishAnswer,
                 AbortAnswer, SendAttempt, SendAttemptPart, CancelTargetAttempt,
                 ProbeTargetConnection, SendToReplica, ConnectReplicas,
                 ConfirmDirectory, StopAccepting, ExitRelay, LogLine,
                 CountMetric>;

/// Applies one event to a relay's state and returns the resulting effects in
/// order.
std::vector<RelayEffect> reduce(RelayState &State, const RelayEvent &Event);

/// Returns whether the relay is ready to serve requests: it has a
/// configuration, is not draining, and has not been without a ledger quorum for
/// too long.
bool isRelayReady(const RelayState &State);

/// Returns the number of targets whose load is known by a recent report.
std::size_t countKnownLoads(const RelayState &State);

} // namespace tanagerlanding

#endif
