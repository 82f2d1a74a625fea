/// \file
/// Callers' requests, attempts at targets, and their answers.
#ifndef TANAGERLANDING_DECISION_RELAY_CALLERREQUEST_H
#define TANAGERLANDING_DECISION_RELAY_CALLERREQUEST_H

#include "tanagerlanding/basics.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// Header fields in order; names may repeat.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// What a request says of the program that it belongs to.
struct ProgramContext {
  ProgramId Program;
  /// One line of dependent turns of the program.
  AgentId Agent;
  /// The time within which the program should be finished.
  std::optional<Milliseconds> TimeLeft;
  /// Tokens that all turns of the program may generate.
  std::optional<TokenCount> Budget;
};

/// One attempt of a caller, whole and checked in form.
struct CallerRequest {
  CallerAttemptId Id;
  std::string Method;
  std::string Host;
  /// Path and query as the caller sent them.
  std::string Target;
  /// All headers as the caller sent them.
  HeaderFields Headers;
  std::string Body;
  /// How long the caller waits for an answer.
  std::optional<Milliseconds> TimeLeft;
  std::optional<ProgramContext> Program;
  /// The turn that this one continues from.
  std::optional<TurnId> Previous;
  /// The tokens of the whole prompt.
  TokenCount PromptTokens;
  /// The most tokens that the answer may have.
  TokenCount MostTokens;
  /// Names the object that the request concerns.
  std::optional<std::string> AffinityKey;
};

/// The beginning of a target's answer.
struct TargetAnswerHead {
  std::uint16_t Status = 0;
  /// Headers as the target sent them, without those of its connection.
  HeaderFields Headers;
  /// Whether the target says that it did not run the request.
  bool IsNotRun = false;
  /// Whether another target serves at the address now.
  bool IsOtherTarget = false;
  /// Whether the answer bears the target's signature.
  bool IsSigned = false;
  /// Whether the body is a stream of events.
  bool IsEventStream = false;
  /// Requests running and waiting at the target, if it tells.
  std::optional<std::uint32_t> Load;
};

/// Why a request was not answered by a target.
enum class RelayRefusalReason : std::uint8_t {
  Malformed,
  HeadersTooLarge,
  BodyTooLarge,
  HeadersLate,
  NotConfigured,
  NoRoute,
  UnknownTurn,
  BudgetExhausted,
  LedgerUnavailable,
  NoTarget,
  Overloaded,
  TargetFailed,
  DeadlinePassed,
};

/// Returns the stable name of a reason, for logs and metrics.
const char *toString(RelayRefusalReason Reason);

/// The system's own final answer.
struct RelayRefusal {
  RelayRefusalReason Reason = RelayRefusalReason::Malformed;
  /// Ran is never claimed; NotRun is a promise.
  Execution Ran = Execution::NotRun;
  /// When the caller may come back; zero if there is nothing to wait for.
  Milliseconds RetryAfter{0};
};

} // namespace tanagerlanding

#endif
