/// \file
/// Sends a call's attempts to targets and ends the call. Admission.h admits
/// calls.
#ifndef TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H
#define TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H

#include "Placement.h"
#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether the call's deadline has not passed.
bool hasTimeLeft(const RelayContext &Context, const RelayCall &Call);

/// Sends the next attempt of a call to a target, queues the call, or refuses
/// it. May destroy the call.
void dispatchCall(RelayContext &Context, RelayCall &Call);

/// Sends an attempt to the chosen target, or refuses the call if none could be
/// chosen. May destroy the call.
void sendCall(RelayContext &Context, RelayCall &Call,
              const Result<TargetId, PlacementFailure> &Chosen);

/// Sends an attempt of a call to a target and makes it the current one. Returns
/// false, with nothing changed, if there is no permit for the target.
bool beginAttempt(RelayContext &Context, RelayCall &Call, const TargetId &Id,
                  const char *Kind);

/// Ends a call with a refusal, or aborts its answer if that has begun. Destroys
/// the call.
void refuseCall(RelayContext &Context, RelayCall &Call,
                RelayRefusalReason Reason);

/// Does the same for a call that a target may be running.
void refuseUnfinishedCall(RelayContext &Context, RelayCall &Call,
                          RelayRefusalReason Reason);

/// Completes the answer of a streamed call whose turn is durable or need not
/// be. Destroys the call.
void finishCall(RelayContext &Context, RelayCall &Call);

void handleAttemptHead(RelayContext &Context, const AttemptHeadReceived &Event);
void handleAttemptBytes(RelayContext &Context,
                        const AttemptBytesReceived &Event);
void handleAttemptEnd(RelayContext &Context, const AttemptEnded &Event);
void handleCallerDisconnected(RelayContext &Context, RequestId Request);

/// Records a failure for each target whose attempt has exceeded the first-byte
/// timeout, and retries calls that are retryable at another target.
void handleFirstByteTimeouts(RelayContext &Context);

/// Refuses calls whose deadline has passed.
void refuseExpiredCalls(RelayContext &Context);

} // namespace tanagerlanding

#endif
