/// \file
/// The origins of streams that callers may continue, as relays report them. See
/// relay/StreamOrigins.h for their use.
#ifndef TANAGERLANDING_DECISION_LEDGER_STARTEDSTREAMS_H
#define TANAGERLANDING_DECISION_LEDGER_STARTEDSTREAMS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Records the origin of a stream, unless too many are kept already.
void recordStartedStream(LedgerContext &Context, const StreamStarted &Started);

/// Returns the origin of the stream that an attempt began, if it is known.
std::optional<StreamOrigin> originOf(const LedgerState &State,
                                     const CallerAttemptId &Attempt);

void expireStartedStreams(LedgerState &State);

} // namespace tanagerlanding

#endif
