/// \file
/// Decisions of a relay: routes, targets, attempts, the ledger's part in
/// turns, refusals, and leaving.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYREDUCER_H
#define TANAGERLANDING_DECISION_RELAY_RELAYREDUCER_H

#include "tanagerlanding/decision/EntryReducer.h"
#include "tanagerlanding/decision/relay/RelayState.h"

#include <variant>
#include <vector>

namespace tanagerlanding {

/// The timer service's notice of the present time.
struct RelayTimePassed {
  Instant Now;
};
/// A caller's whole request has arrived.
struct CallerAsked {
  RequestId Request;
  CallerRequest Asked;
};
/// A caller closed its connection before its answer was complete.
struct CallerGone {
  RequestId Request;
};
/// A target's answer to an attempt begins.
struct AttemptHeadCame {
  RelayAttemptId Attempt;
  TargetAnswerHead Head;
};
/// Bytes of the body of a target's answer.
struct AttemptBytesCame {
  RelayAttemptId Attempt;
  std::string Bytes;
};
/// An attempt is over at its target's connection.
struct AttemptEnded {
  enum class Kind {
    /// The whole answer came.
    Complete,
    /// Nothing of the request was sent.
    NeverSent,
    /// The connection broke or the answer was not in the protocol.
    Broken,
  };
  RelayAttemptId Attempt;
  Kind Ended = Kind::Broken;
};
/// A configuration was accepted.
struct RelayConfigured {
  RelayConfiguration Configuration;
};
struct TargetRegistered {
  RegisteredTarget Entry;
};
struct TargetUnregistered {
  TargetId Id;
};
/// The key-value service stopped answering, or answers again.
struct DirectoryLost {};
struct DirectoryRegained {};
/// A replica tells whether it has lost the key-value service.
struct ReplicaReachTold {
  HolderId Holder;
  bool IsServiceLost = false;
};
/// The ledger's view in the key-value service.
struct RelayViewSeen {
  LedgerView View;
};
/// The connection to a replica is open and it has said who it is, or is gone.
struct ReplicaConnected {
  HolderId Holder;
};
struct ReplicaDisconnected {
  HolderId Holder;
};
/// A message from a replica.
struct ReplicaSaid {
  HolderId Holder;
  Message Body;
};
/// The process was asked to stop.
struct RelayTerminationAsked {};

using RelayEvent = std::variant<
    RelayTimePassed, CallerAsked, CallerGone, AttemptHeadCame, AttemptBytesCame,
    AttemptEnded, RelayConfigured, TargetRegistered, TargetUnregistered,
    DirectoryLost, DirectoryRegained, ReplicaReachTold, RelayViewSeen,
    ReplicaConnected, ReplicaDisconnected, ReplicaSaid, RelayTerminationAsked>;

/// Give a caller the system's own final answer.
struct RefuseCaller {
  RequestId Request;
  RelayRefusal Refusal;
};
/// Begin a caller's answer with a target's head. Without a length the body is
/// sent in pieces until FinishAnswer.
struct BeginAnswer {
  RequestId Request;
  TargetAnswerHead Head;
  std::optional<std::size_t> BodyBytes;
};
/// Send a piece of a caller's answer.
struct ContinueAnswer {
  RequestId Request;
  std::string Bytes;
};
/// The caller's answer is complete.
struct FinishAnswer {
  RequestId Request;
};
/// Close the caller's connection so that the answer can't look complete.
struct BreakAnswer {
  RequestId Request;
};
/// Send an attempt to a target. The call holds what is asked.
struct SendAttempt {
  RelayAttemptId Attempt;
  RequestId Request;
  RegisteredTarget Target;
  /// Connections to the target that this relay may keep unused.
  std::uint32_t IdleLimit = 0;
  Milliseconds TimeLeft{0};
  /// What goes before the caller's body.
  std::string History;
  /// The last event that the caller has, where a stream is continued.
  std::optional<std::uint64_t> ResumeAfter;
};
/// Close the connection of an attempt.
struct CancelTargetAttempt {
  RelayAttemptId Attempt;
};
/// Send a message to a replica.
struct SendReplica {
  HolderId Holder;
  Message Body;
};
/// Keep connections to these replicas and no others.
struct ConnectReplicas {
  std::vector<LedgerMember> Members;
};
/// Take no new connections and close those without a request.
struct StopAccepting {};
/// Stop the process: nothing is left to do.
struct ExitRelay {};

using RelayEffect =
    std::variant<RefuseCaller, BeginAnswer, ContinueAnswer, FinishAnswer,
                 BreakAnswer, SendAttempt, CancelTargetAttempt, SendReplica,
                 ConnectReplicas, StopAccepting, ExitRelay, LogLine,
                 CountMetric>;

/// Applies one event to a relay's state and returns what is to be done, in
/// order.
std::vector<RelayEffect> reduce(RelayState &State, const RelayEvent &Event);

/// Returns whether the relay takes requests.
bool isRelayReady(const RelayState &State);

} // namespace tanagerlanding

#endif
