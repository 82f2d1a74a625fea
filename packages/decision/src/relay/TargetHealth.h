/// \file
/// Passive health checks: estimates the health of targets from the outcome and
/// latency of requests. A target may pass active health checks and still fail
/// some requests or answer them slowly.
#ifndef TANAGERLANDING_DECISION_RELAY_TARGETHEALTH_H
#define TANAGERLANDING_DECISION_RELAY_TARGETHEALTH_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Records that the answer to a call's current attempt has begun, and its time
/// to first byte.
void recordAnswerStart(RelayState &State, const RelayCall &Call);

/// Records a failed attempt at a target.
void recordFailedAttempt(RelayState &State, const TargetId &Target);

/// Returns the delay to expect from a target's recent failures and slowness, in
/// milliseconds per request.
double expectedHealthCost(const RelayState &State, const RelayTarget &Target);

/// Returns the part of it that is due to failures.
double expectedFailureCost(const RelayState &State, const RelayTarget &Target);

/// Returns the first-byte timeout of a service: the longest time that a
/// healthy target takes to begin an answer.
Milliseconds firstByteTimeoutOf(const RelayState &State,
                                const ServiceName &Service);

/// Records a failed attempt for each call that exceeds the first-byte timeout,
/// once per attempt, and returns the calls that were newly recorded.
std::vector<RequestId> takeFirstByteTimeouts(RelayContext &Context);

} // namespace tanagerlanding

#endif
