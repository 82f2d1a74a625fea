/// \file
/// Calls of programs and their answers.
#ifndef TANAGERLANDING_DECISION_CALLS_H
#define TANAGERLANDING_DECISION_CALLS_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace tanagerlanding {

/// What a call asks for.
enum class CallKind : std::uint8_t { Chat, Service, EndProgram };

/// What a program may use in all, over all its agents.
struct Budget {
  /// Tokens that engines may generate for it.
  TokenCount Tokens;
  /// Calls that may be dispatched for it.
  std::uint32_t Calls = 0;
};

/// One call of a program, as its caller sent it.
struct Call {
  ProgramId Program;
  AgentId Agent;
  TeamId Team;
  CallKey Key;
  CallKind Kind = CallKind::Chat;
  /// Whether running it twice does no harm.
  bool Idempotent = false;
  /// Whether the caller wants the answer in pieces as it is made.
  bool Stream = false;
  ServiceName Service;
  std::string Method;
  std::string Path;
  /// Chat: JSON message objects joined by commas; service: the request body.
  std::string Body;
  TokenCount MaxTokens;
  /// The budget of the program, which its first call must carry.
  std::optional<Budget> Grant;
  /// Time left until the caller stops waiting.
  Milliseconds Deadline{0};
  std::string TraceParent;
};

/// Returns a hash of what the call asks for, to find a key used twice for
/// different things.
std::uint64_t digestOf(const Call &Asked);

/// An answer that a target gave.
struct TargetAnswer {
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Body;
};

/// What a caller gets: the target's answer, or a typed refusal.
using CallAnswer = std::variant<TargetAnswer, CallFailure>;

} // namespace tanagerlanding

#endif
