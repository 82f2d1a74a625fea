/// \file
/// The way of a call: arrival, attempts at targets, and its end.
#ifndef TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H
#define TANAGERLANDING_DECISION_RELAY_ATTEMPTS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Takes a caller's request and begins to serve it, or refuses it.
void admitCall(RelayContext &Context, RequestId Request, CallerRequest Asked);

/// Sends the next attempt of a call to a target, or refuses the call. The call
/// may be gone afterwards.
void dispatchCall(RelayContext &Context, RelayCall &Call);

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

/// Ends calls whose time is up.
void reviewDeadlines(RelayContext &Context);

} // namespace tanagerlanding

#endif
