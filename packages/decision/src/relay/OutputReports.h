/// \file
/// Reports to the ledger's replicas what callers get of streams that they may
/// continue and whose turns are kept. A relay that continues such a stream
/// stores its turn with the whole output, so it runs the call only once it
/// knows what the caller already has.
#ifndef TANAGERLANDING_DECISION_RELAY_OUTPUTREPORTS_H
#define TANAGERLANDING_DECISION_RELAY_OUTPUTREPORTS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether a call's turn is kept and its output begins with events that
/// its caller has from an earlier attempt.
bool needsEarlierOutput(const RelayCall &Call);

/// Returns where the caller of such a call continues its stream; absent if it
/// does not name the event, or not the attempt that began the stream: a turn
/// that was begun anew has two streams, and the replicas may know only one.
std::optional<StreamPosition> positionOf(const RelayCall &Call);

/// Merges what a replica knows of the earlier output.
void mergeResumedOutput(TurnLedger &Ledger, const HolderId &Holder,
                        const ResumedOutput &Resumed);

/// Returns whether the earlier output is known for certain. Each attempt that
/// has continued the stream was opened at a read quorum of replicas that have
/// known the stream since its first event, so another such quorum knows of it.
bool isEarlierOutputKnown(const RelayState &State, const RelayCall &Call);

/// Makes the earlier output the beginning of the call's output.
void adoptEarlierOutput(RelayCall &Call);

/// Adds an event to the output of a call whose turn is kept.
void appendOutput(RelayState &State, RelayCall &Call, const StreamEvent &Event);

/// Reports outputs if the last reports are not too recent; the next tick
/// reports the rest. Call this before the events are sent to the caller.
void reportOutputsIfDue(RelayContext &Context);
/// Reports what was not reported, of all calls or of one.
void reportOutputs(RelayContext &Context);
void reportOutput(RelayContext &Context, RelayCall &Call);

/// Repeats the outputs of all calls to a replica that has connected, as it may
/// have missed parts.
void repeatOutputsTo(RelayContext &Context, const HolderId &Holder);

/// Reports that a call has ended and its caller got nothing of the stream that
/// it continues.
void reportFailedContinuation(RelayContext &Context, const RelayCall &Call);

} // namespace tanagerlanding

#endif
