/// \file
/// Error types of calls, messages, settings files and system services.
#ifndef TANAGERLANDING_BASICS_ERRORS_H
#define TANAGERLANDING_BASICS_ERRORS_H

#include "tanagerlanding/basics/Units.h"

#include <cstdint>
#include <string>

namespace tanagerlanding {

/// Whether a call was executed by its target. Every failure reports one.
enum class Execution : std::uint8_t { NotRun, Ran, Unknown };

/// Reason why a call was not answered with the target's own answer.
enum class CallError : std::uint8_t {
  None,
  MalformedRequest,
  MissingBudget,
  ForeignProgram,
  UnknownService,
  BudgetExhausted,
  QueueFull,
  NoTarget,
  NotOwner,
  NotDurable,
  Draining,
  TargetFailed,
  StreamCut,
  Quarantined,
  DeadlinePassed,
  OwnerLost,
  KeyReused,
  ProgramEnded,
};

/// Returns the code's name in answers to callers; it must not change.
const char *toString(CallError Code);
/// Returns "not_run", "ran" or "unknown".
const char *toString(Execution ExecutionStatus);

/// A call's failure as reported to its caller.
struct CallFailure {
  CallError Code = CallError::None;
  Execution ExecutionStatus = Execution::NotRun;
  /// Time after which the caller may retry; zero if retrying is of no use.
  Milliseconds RetryAfter{0};
  /// Human-readable explanation, such as what was expected.
  std::string Detail;
};

/// A frame, message or record that can't be decoded.
struct DecodeError {
  enum class Kind { Truncated, TooLarge, Malformed, UnknownType };
  Kind Reason = Kind::Malformed;
};

/// A failed operating system call, with its errno value.
struct SystemError {
  std::string Operation;
  int ErrorNumber = 0;
};

/// A failed call to the platform's key-value service.
struct PlatformError {
  /// Refused: the service did nothing, and a later call may succeed.
  enum class Kind { Unreachable, BadAnswer, Refused, Unsupported };
  Kind Reason = Kind::Unreachable;
};

/// A fault in a settings document: its file, the path of the field within the
/// document, and what was expected there.
struct SettingsFault {
  std::string File;
  std::string Path;
  std::string Expected;
};

} // namespace tanagerlanding

#endif
