/// \file
/// Callers' requests, the heads of targets' answers, and refusals.
#ifndef TANAGERLANDING_DECISION_RELAY_CALLERREQUEST_H
#define TANAGERLANDING_DECISION_RELAY_CALLERREQUEST_H

#include "tanagerlanding/basics.h"
#include "tanagerlanding/decision/TargetLoads.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Header fields in order; names may repeat.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// The program that a request belongs to, as stated in the request.
struct ProgramContext {
  ProgramId Program;
  /// The agent of the program: one sequence of dependent turns.
  AgentId Agent;
  /// The time that remains until the program's deadline.
  std::optional<Milliseconds> TimeLeft;
  /// Tokens that all turns of the program together may generate.
  std::optional<TokenCount> Budget;
};

/// An Authorization header that holds no single key of acceptable form.
struct InvalidCredential {};

/// What a request presents to name its team: nothing, a key, or an invalid
/// header.
using CallerCredential =
    std::variant<std::monostate, KeyDigest, InvalidCredential>;

/// One attempt of a caller, completely received and validated in form.
struct CallerRequest {
  CallerAttemptId Id;
  std::string Method;
  std::string Host;
  /// Path and query as the caller sent them.
  std::string RequestTarget;
  /// All headers as the caller sent them.
  HeaderFields Headers;
  SharedText Body;
  CallerCredential Credential;
  /// The remaining time that the caller waits for an answer.
  std::optional<Milliseconds> TimeLeft;
  std::optional<ProgramContext> Program;
  /// The turn that this turn continues from.
  std::optional<TurnId> PreviousTurn;
  /// The attempt that delivered the first event of the stream that this request
  /// continues; empty if the caller does not name it. Absent if the request
  /// continues no stream.
  std::optional<CallerAttemptId> ResumedAttempt;
  /// The last event that the caller has of that stream; absent if the request
  /// names none or its id is no number.
  std::optional<std::uint64_t> LastEventId;
  /// Tokens of the whole prompt.
  TokenCount PromptTokens;
  /// Maximum number of tokens in the answer.
  TokenCount MaxTokens;
  /// Identifies the object that the request concerns; requests for one object
  /// are preferably sent to the same target.
  std::optional<std::string> AffinityKey;
};

/// A limit in an answer that is not a usable rate, as the target sent it.
struct InvalidRequestRate {
  std::string Text;
};

/// What an answer states about the rate of requests that its target takes from
/// all relays together.
using StatedRequestLimit =
    std::variant<std::monostate, RequestRate, InvalidRequestRate>;

/// Status and headers of a target's answer.
struct TargetAnswerHead {
  std::uint16_t Status = 0;
  /// Headers as the target sent them, without the hop-by-hop headers.
  HeaderFields Headers;
  /// Whether the target states that it did not run the request.
  bool IsNotRun = false;
  /// Whether a different target now serves at the address.
  bool IsMisdirected = false;
  /// Whether the target states that it is leaving.
  bool IsLeaving = false;
  /// Whether the answer carries the target's signature.
  bool IsSigned = false;
  /// Whether the body is a stream of events.
  bool IsEventStream = false;
  StatedTargetLoad Load;
  StatedRequestLimit RequestLimit;
};

/// Why the system answered a request itself instead of forwarding a target's
/// answer.
enum class RelayRefusalReason : std::uint8_t {
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
  HeaderTimeout,
  NotConfigured,
  NoRoute,
  UnknownTurn,
  BudgetExhausted,
  LedgerUnavailable,
  NoTarget,
  Overloaded,
  TargetFailed,
  DeadlinePassed,
  /// The same content has crashed several targets.
  Quarantined,
  /// No replica knows which software version began the stream that the caller
  /// continues.
  UnknownStream,
  /// No target of the software version that began the stream is left.
  NoTargetOfVersion,
  /// The targets with room take no more requests a second, and the call would
  /// wait too long for its turn.
  TargetLimit,
  /// The request has no key of a team.
  UnknownKey,
  InvalidCredential,
  /// The team's quota over all relays is used up.
  QuotaExceeded,
  /// The relay cannot prove that its configuration is recent enough to accept
  /// keys.
  ConfigurationStale,
  /// The relay shuts down before the call can end.
  Stopping,
};

/// Returns the stable name of a reason, for logs and metrics.
const char *toString(RelayRefusalReason Reason);

/// The system's own final answer to a request.
struct RelayRefusal {
  RelayRefusalReason Reason = RelayRefusalReason::Malformed;
  /// Unknown or NotRun, never Ran. NotRun guarantees that nothing has run.
  Execution ExecutionStatus = Execution::NotRun;
  /// How long the caller should wait before it retries; 0 if there is nothing
  /// to wait for.
  Milliseconds RetryAfter{0};
};

} // namespace tanagerlanding

#endif
