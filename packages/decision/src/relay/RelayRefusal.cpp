#include "tanagerlanding/decision/relay/CallerRequest.h"

namespace tanagerlanding {

const char *toString(RelayRefusalReason Reason) {
  switch (Reason) {
  case RelayRefusalReason::Malformed:
    return "malformed";
  case RelayRefusalReason::HeadersTooLarge:
    return "headers_too_large";
  case RelayRefusalReason::BodyTooLarge:
    return "body_too_large";
  case RelayRefusalReason::HeaderTimeout:
    return "headers_late";
  case RelayRefusalReason::NotConfigured:
    return "not_configured";
  case RelayRefusalReason::NoRoute:
    return "no_route";
  case RelayRefusalReason::UnknownTurn:
    return "unknown_turn";
  case RelayRefusalReason::BudgetExhausted:
    return "budget_exhausted";
  case RelayRefusalReason::LedgerUnavailable:
    return "ledger_unavailable";
  case RelayRefusalReason::NoTarget:
    return "no_target";
  case RelayRefusalReason::Overloaded:
    return "overloaded";
  case RelayRefusalReason::TargetFailed:
    return "target_failed";
  case RelayRefusalReason::DeadlinePassed:
    return "deadline_passed";
  case RelayRefusalReason::Quarantined:
    return "quarantined";
  case RelayRefusalReason::UnknownStream:
    return "unknown_stream";
  case RelayRefusalReason::NoTargetOfVersion:
    return "no_target_of_version";
  case RelayRefusalReason::TargetLimit:
    return "target_limit";
  case RelayRefusalReason::UnknownKey:
    return "unknown_key";
  case RelayRefusalReason::InvalidCredential:
    return "invalid_credential";
  case RelayRefusalReason::QuotaExceeded:
    return "quota_exceeded";
  case RelayRefusalReason::ConfigurationStale:
    return "configuration_stale";
  case RelayRefusalReason::Stopping:
    return "stopping";
  }
  return "unknown";
}

} // namespace tanagerlanding
