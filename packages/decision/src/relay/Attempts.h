/// \file
/// The way of a call: attempts at targets, and its end. See Admission.h for how
/// it begins.
#ifndef TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H
#define TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H

#include "Placement.h"
#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether the caller still waits.
bool hasTimeLeft(const RelayContext &Context, const RelayCall &Call);

/// Returns when a caller that is refused may come back; 0 if it need not.
Milliseconds retryAfterFor(const RelayState &State, RelayRefusalReason Reason);

/// Sends the next attempt of a call to a target, lets it wait, or refuses it.
/// The call may be gone afterwards.
void dispatchCall(RelayContext &Context, RelayCall &Call);

/// Sends an attempt to the target that was chosen, or refuses the call where
/// none could be. The call may be gone afterwards.
void sendCall(RelayContext &Context, RelayCall &Call,
              const Result<TargetId, PlacementFailure> &Chosen);

/// Ends a call with the system's own answer. The call is gone afterwards.
void refuseCall(RelayContext &Context, RelayCall &Call,
                RelayRefusalReason Reason);

/// Ends the answer of a call whose turn is durable. The call is gone
/// afterwards.
void finishCall(RelayContext &Context, RelayCall &Call);

void handleHead(RelayContext &Context, const AttemptHeadCame &Event);
void handleBytes(RelayContext &Context, const AttemptBytesCame &Event);
void handleEnd(RelayContext &Context, const AttemptEnded &Event);
void handleCallerGone(RelayContext &Context, RequestId Request);

/// Counts attempts that have been silent for too long against their targets,
/// and tries what may be repeated elsewhere.
void reviewSilence(RelayContext &Context);

/// Ends calls whose time is up.
void reviewDeadlines(RelayContext &Context);

} // namespace tanagerlanding

#endif
