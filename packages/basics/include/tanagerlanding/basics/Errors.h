/// \file
/// Every way in which a call, a message or a file can fail, as types.
#ifndef TANAGERLANDING_BASICS_ERRORS_H
#define TANAGERLANDING_BASICS_ERRORS_H

#include "tanagerlanding/basics/Units.h"

#include <cstdint>
#include <string>

namespace tanagerlanding {

/// Whether a call had an effect at its target. Every refusal carries one.
enum class Execution : std::uint8_t { NotRun, Ran, Unknown };

/// Why a call was not answered with the target's own answer.
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

/// Returns the stable name of the code that callers see.
const char *toString(CallError Code);
/// Returns "not_run", "ran" or "unknown".
const char *toString(Execution Ran);

/// A call's refusal as told to its caller.
struct CallFailure {
  CallError Code = CallError::None;
  Execution Ran = Execution::NotRun;
  /// When the caller may come back; zero if never.
  Milliseconds RetryAfter{0};
  /// What was expected, for the person who reads it.
  std::string Detail;
};

/// A frame or record that does not decode.
struct DecodeError {
  enum class Kind { Truncated, TooLarge, Malformed, UnknownType };
  Kind Reason = Kind::Malformed;
};

/// A failed call of the operating system.
struct SystemError {
  std::string Operation;
  int ErrorNumber = 0;
};

/// A failed call of the platform's key-value service.
struct PlatformError {
  /// Refused: nothing was done, and a later call may succeed.
  enum class Kind { Unreachable, BadAnswer, Refused, Unsupported };
  Kind Reason = Kind::Unreachable;
};

/// One fault in a settings document.
struct SettingsFault {
  std::string File;
  std::string Path;
  std::string Expected;
};

} // namespace tanagerlanding

#endif
