/// \file
/// Histories that are too long to be held: they are read from replicas in parts
/// while a target receives them. Turns.h opens turns and reads short histories.
#ifndef TANAGERLANDING_DECISION_RELAY_HISTORYTRANSFERS_H
#define TANAGERLANDING_DECISION_RELAY_HISTORYTRANSFERS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns an untried replica to read history from, preferably in this zone,
/// where the transfer is cheapest.
std::optional<HolderId> pickHistorySource(const RelayState &State,
                                          const std::set<HolderId> &Tried);

/// Begins to read the history of a call's current attempt, if it is long.
void startHistoryTransfer(RelayContext &Context, const RelayCall &Call);

/// Stops reading the history of an attempt that has ended, if it is being read.
void endHistoryTransfer(RelayState &State, RelayAttemptId Attempt);

/// Returns whether an attempt's target has not received the whole history yet.
bool isHistoryUnderWay(const RelayState &State, RelayAttemptId Attempt);

void handleHistoryPart(RelayContext &Context, const HolderId &Holder,
                       const HistoryPart &Part);

/// Continues a transfer when its target has taken a part.
void handlePartWritten(RelayContext &Context, const AttemptPartWritten &Event);

/// Reads the parts that a replica was asked for from others.
void replaceHistorySource(RelayContext &Context, const HolderId &Lost);

/// Asks other replicas for parts that are overdue, reads on where there is room
/// again, and ends calls whose history no replica can send.
void reviewHistoryTransfers(RelayContext &Context);

} // namespace tanagerlanding

#endif
