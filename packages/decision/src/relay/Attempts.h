/// \file
/// The way of a call: arrival, attempts at targets, and its end.
#ifndef TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H
#define TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H

#include "Placement.h"
#include "RelayContext.h"

namespace tanagerlanding {

/// Takes a caller's request that came at Arrived and begins to serve it, or
/// refuses it.
void admitCall(RelayContext &Context, RequestId Request, CallerRequest Asked,
               Instant Arrived);

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
