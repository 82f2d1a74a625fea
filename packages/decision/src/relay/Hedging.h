/// \file
/// Hedged requests: a second send of a call whose target is slow to answer. The
/// first complete answer is forwarded; the other attempt is cancelled. See
/// docs/design/hedged-requests.md.
#ifndef TANAGERLANDING_DECISION_RELAY_HEDGING_H
#define TANAGERLANDING_DECISION_RELAY_HEDGING_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Records that a call gets its first send, which allows a share of a hedge.
void recordHedgeableRequest(RelayState &State, const RelayCall &Call);

/// Records how long the answer to a call's current attempt took to begin, or
/// how long it has not begun if another one was faster.
void recordFirstByteTime(RelayState &State, const RelayCall &Call);

/// Returns how long a call waits for the first byte of its answer before it is
/// hedged; absent if too few answers of its service are known.
std::optional<Milliseconds> hedgeDelayOf(const RelayState &State,
                                         const RelayCall &Call);

/// Sends hedges for calls that have waited long enough, within the limits.
void sendDueHedges(RelayContext &Context);

/// Exchanges a call's current attempt and its hedged one.
void swapAttempts(RelayCall &Call);

/// Makes an attempt the current one if it is the other one of its call.
void selectAttempt(RelayCall &Call, RelayAttemptId Attempt);

/// Cancels the other attempt of a call, if there is one.
void cancelOtherAttempt(RelayContext &Context, RelayCall &Call);

/// Replaces the current attempt, which has been released, by the other one.
/// Returns false if there is none.
bool continueOtherAttempt(RelayContext &Context, RelayCall &Call,
                          const char *Cause);

/// Counts an answer that is forwarded although the call was hedged.
void recordHedgeOutcome(RelayContext &Context, const RelayCall &Call);

} // namespace tanagerlanding

#endif
