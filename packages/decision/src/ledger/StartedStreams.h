/// \file
/// The origins of streams that callers may continue, as relays report them. See
/// relay/StreamOrigins.h for their use.
#ifndef TANAGERLANDING_DECISION_LEDGER_STARTEDSTREAMS_H
#define TANAGERLANDING_DECISION_LEDGER_STARTEDSTREAMS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Notes that from now on each reported origin is kept. Has no effect after the
/// first call.
void beginKeepingStreams(LedgerState &State);

/// Records the origin of a stream, unless too many are kept already.
void recordStartedStream(LedgerContext &Context, const StreamStarted &Started);

/// Returns the origin of the stream that a caller continues, if it is known.
std::optional<StreamOrigin> originOf(const LedgerState &State,
                                     const OpenTurn &Request);

/// Returns for how long the origins of all reported streams have been kept.
Milliseconds streamsKeptFor(const LedgerState &State);

void expireStartedStreams(LedgerState &State);

} // namespace tanagerlanding

#endif
