/// \file
/// The outputs of streams that callers may continue and whose turns are kept,
/// as relays report them. A relay that continues such a stream reads from them
/// what the caller already has. See relay/OutputReports.h for their use.
#ifndef TANAGERLANDING_DECISION_LEDGER_STREAMOUTPUTS_H
#define TANAGERLANDING_DECISION_LEDGER_STREAMOUTPUTS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Records reported parts of outputs. A stream is known only from its first
/// event on, and the parts of an attempt only up to the first gap.
void recordStreamOutputs(LedgerContext &Context, const StreamOutputs &Reported);

/// Records that a caller continues a stream with a new attempt.
void recordContinuation(LedgerState &State, const OpenTurn &Request);

/// Forgets an attempt from which the caller got nothing.
void forgetContinuation(LedgerState &State, const ContinuationFailed &Failed);

/// Returns what is known of the output before the position at which a caller
/// continues a stream; absent if the stream is not known since its first event.
std::optional<ResumedOutput> resumedOutputOf(const LedgerState &State,
                                             const OpenTurn &Request);

/// Shortens the time for which the output of a turn that has ended is kept.
void endStreamOutput(LedgerState &State, const TurnId &Turn);

void expireStreamOutputs(LedgerState &State);

} // namespace tanagerlanding

#endif
