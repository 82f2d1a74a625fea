/// \file
/// What requests themselves tell about the health of their targets. A target
/// may answer health checks and fail, or be slow with, some of its requests.
#ifndef TANAGERLANDING_DECISION_RELAY_TARGETHEALTH_H
#define TANAGERLANDING_DECISION_RELAY_TARGETHEALTH_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Notes that an answer to the call's present attempt has begun.
void noteAnswerBegun(RelayState &State, const RelayCall &Call);

/// Notes that an attempt at a target has failed there.
void noteFailedAttempt(RelayState &State, const TargetId &Target);

/// Returns what a request is expected to lose by going to this target, for its
/// failures and its slowness of late, in milliseconds.
double expectedLoss(const RelayState &State, const RelayTarget &Target);

/// Returns how long a healthy target of a service takes at the most to begin
/// an answer.
Milliseconds silenceLimitOf(const RelayState &State,
                            const ServiceName &Service);

/// Notes calls whose attempts have been silent for too long, and returns those
/// that were not noted before.
std::vector<RequestId> takeSilentCalls(RelayContext &Context);

} // namespace tanagerlanding

#endif
