/// \file
/// What refused callers are told: the reason, whether the request may have run,
/// and when to return.
#ifndef TANAGERLANDING_DECISION_RELAY_REFUSALS_H
#define TANAGERLANDING_DECISION_RELAY_REFUSALS_H

#include "Placement.h"
#include "RelayContext.h"

namespace tanagerlanding {

/// Returns the reason to refuse a call for which no target could be chosen.
RelayRefusalReason refusalFor(const RelayState &State, const RelayCall &Call,
                              PlacementFailure Failure);

/// Returns whether any attempt of a call so far may have run at a target.
Execution executionOf(const RelayCall &Call);

/// Returns how long a refused caller should wait before it retries; 0 if there
/// is nothing to wait for.
Milliseconds retryAfterFor(const RelayState &State, RelayRefusalReason Reason);

/// Returns the same for a call, whose content and place in the queue may
/// matter.
Milliseconds retryAfterOf(RelayState &State, const RelayCall &Call,
                          RelayRefusalReason Reason);

/// Returns a wait multiplied by a random factor between 1 and 2, so that
/// callers that are refused together do not return together.
Milliseconds spreadRetryAfter(RelayState &State, Milliseconds Wait);

} // namespace tanagerlanding

#endif
