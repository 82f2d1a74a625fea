/// \file
/// Calls made by agent programs, and the answers to them.
#ifndef TANAGERLANDING_DECISION_CALLS_H
#define TANAGERLANDING_DECISION_CALLS_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace tanagerlanding {

/// The operation that a call requests.
enum class CallKind : std::uint8_t { Chat, Service, EndProgram };

/// The total that a program may use, summed over all its agents.
struct Budget {
  /// Number of tokens that engines may generate for the program.
  TokenCount Tokens;
  /// Number of calls that may be dispatched for the program.
  std::uint32_t Calls = 0;
};

/// One call of a program, as received from its caller.
struct Call {
  ProgramId Program;
  AgentId Agent;
  TeamId Team;
  CallKey Key;
  CallKind Kind = CallKind::Chat;
  /// Whether the call may safely be executed more than once.
  bool IsIdempotent = false;
  /// Whether the answer is streamed to the caller while it is generated.
  bool IsStreaming = false;
  ServiceName Service;
  std::string Method;
  std::string Path;
  /// Chat: JSON message objects separated by commas; service: the request body.
  std::string Body;
  TokenCount MaxTokens;
  /// The program's budget; required on its first call.
  std::optional<Budget> Grant;
  /// Time remaining until the caller's deadline.
  Milliseconds Deadline{0};
  std::string TraceParent;
};

/// Returns a hash of the call's content, which detects an idempotency key that
/// is reused for a different call.
std::uint64_t digestOf(const Call &RequestedCall);

/// The answer of a target.
struct TargetAnswer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// The result returned to a caller: the target's answer or a typed failure.
using CallAnswer = std::variant<TargetAnswer, CallFailure>;

} // namespace tanagerlanding

#endif
