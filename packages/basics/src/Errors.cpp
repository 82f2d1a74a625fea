#include "tanagerlanding/basics/Errors.h"

namespace tanagerlanding {

const char *toString(CallError Code) {
  switch (Code) {
  case CallError::None:
    return "none";
  case CallError::MalformedRequest:
    return "malformed_request";
  case CallError::MissingBudget:
    return "missing_budget";
  case CallError::ForeignProgram:
    return "foreign_program";
  case CallError::UnknownService:
    return "unknown_service";
  case CallError::BudgetExhausted:
    return "budget_exhausted";
  case CallError::QueueFull:
    return "queue_full";
  case CallError::NoTarget:
    return "no_target";
  case CallError::NotOwner:
    return "not_owner";
  case CallError::NotDurable:
    return "not_durable";
  case CallError::Draining:
    return "draining";
  case CallError::TargetFailed:
    return "target_failed";
  case CallError::StreamCut:
    return "stream_cut";
  case CallError::Quarantined:
    return "quarantined";
  case CallError::DeadlinePassed:
    return "deadline_passed";
  case CallError::OwnerLost:
    return "owner_lost";
  case CallError::KeyReused:
    return "key_reused";
  case CallError::ProgramEnded:
    return "program_ended";
  }
  return "unknown";
}

const char *toString(Execution ExecutionStatus) {
  switch (ExecutionStatus) {
  case Execution::NotRun:
    return "not_run";
  case Execution::Ran:
    return "ran";
  case Execution::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace tanagerlanding
