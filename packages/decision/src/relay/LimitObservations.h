/// \file
/// Records the request limits that targets state in their answers.
#ifndef TANAGERLANDING_DECISION_RELAY_LIMITOBSERVATIONS_H
#define TANAGERLANDING_DECISION_RELAY_LIMITOBSERVATIONS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Records what the head of an answer to the call's attempt states about the
/// limit of its target.
void recordStatedLimit(RelayContext &Context, const RelayCall &Call,
                       const TargetAnswerHead &Head);

/// Returns the limit in force for a target; absent if it has none.
std::optional<RequestRate> limitOf(const RelayState &State,
                                   const RegisteredTarget &Target);

/// Merges a limit that a replica knows of.
void handleLimitNotice(RelayContext &Context, const HolderId &Holder,
                       const TargetLimitNotice &Notice);

/// Tells a replica that has connected the limits in force, and asks for those
/// that it knows.
void exchangeLimits(RelayContext &Context, const HolderId &Holder);

/// Removes what is known of runs that have not been heard of for long.
void expireLimitObservations(RelayState &State);

} // namespace tanagerlanding

#endif
