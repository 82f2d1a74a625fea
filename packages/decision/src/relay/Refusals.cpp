#include "Refusals.h"

#include "CallQueue.h"
#include "CrashDetection.h"
#include "ProgramStarts.h"
#include "QuotaPermits.h"
#include "StreamOrigins.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns how long a caller should wait that was refused for lack of capacity:
/// the time in which the calls before it are sent or the programs before its
/// own are started.
Milliseconds capacityRetryAfter(RelayState &State, const RelayCall &Call) {
  const bool IsStart = isLimitedStart(State, Call);
  const auto Expected = IsStart ? expectedStartDelay(State, Call)
                                : expectedQueueTime(State, Call);
  const Milliseconds NextStart =
      IsStart ? timeToNextStart(State, Call.Service) : Milliseconds(0);
  return spreadRetryAfter(State, std::max({State.Options.RetryAfter, NextStart,
                                           Expected.value_or(NextStart)}));
}

} // namespace

RelayRefusalReason refusalFor(const RelayState &State, const RelayCall &Call,
                              PlacementFailure Failure) {
  if (Failure == PlacementFailure::Overloaded)
    return RelayRefusalReason::Overloaded;
  if (Call.Origin && !hasTargetOfOrigin(State, Call))
    return RelayRefusalReason::NoTargetOfVersion;
  return RelayRefusalReason::NoTarget;
}

Execution executionOf(const RelayCall &Call) {
  return Call.UncertainSends > 0 ? Execution::Unknown : Execution::NotRun;
}

Milliseconds retryAfterFor(const RelayState &State, RelayRefusalReason Reason) {
  switch (Reason) {
  case RelayRefusalReason::NotConfigured:
  case RelayRefusalReason::LedgerUnavailable:
  case RelayRefusalReason::NoTarget:
  case RelayRefusalReason::Overloaded:
  case RelayRefusalReason::Stopping:
    return State.Options.RetryAfter;
  case RelayRefusalReason::ConfigurationStale:
    return State.Options.StaleRetryAfter;
  default:
    return Milliseconds(0);
  }
}

Milliseconds retryAfterOf(RelayState &State, const RelayCall &Call,
                          RelayRefusalReason Reason) {
  switch (Reason) {
  case RelayRefusalReason::Quarantined:
    return quarantineTimeLeft(State, Call);
  case RelayRefusalReason::TargetLimit:
    return capacityRetryAfter(State, Call);
  case RelayRefusalReason::Overloaded:
    return hasOverloadControl(State) ? capacityRetryAfter(State, Call)
                                     : retryAfterFor(State, Reason);
  case RelayRefusalReason::QuotaExceeded:
    return quotaRetryAfter(State, Call);
  default:
    return retryAfterFor(State, Reason);
  }
}

Milliseconds spreadRetryAfter(RelayState &State, Milliseconds Wait) {
  std::uniform_real_distribution<double> Spread(1, 2);
  return Milliseconds(static_cast<std::int64_t>(
      Spread(State.Random) * static_cast<double>(Wait.count())));
}

} // namespace tanagerlanding
