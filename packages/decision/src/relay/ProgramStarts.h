/// \file
/// Starts of programs as the capacity of their service allows.
///
/// One replica decides on the starts at a service for all relays, since each
/// relay sees only its own part of the load: if each admitted what looks little
/// to it, all together would admit more than the targets can serve. See
/// docs/design/program-starts.md.
#ifndef TANAGERLANDING_DECISION_RELAY_PROGRAMSTARTS_H
#define TANAGERLANDING_DECISION_RELAY_PROGRAMSTARTS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether a program may start at a service now: a replica has granted
/// a start or, without replicas, the load that this relay knows allows it.
bool mayStartProgram(const RelayState &State, const ServiceName &Service);

/// Counts a turn that is sent to a service, and takes the granted start if the
/// turn is the first one of its program.
void recordTurnOfProgram(RelayState &State, const RelayCall &Call);

/// Asks the deciding replica for the starts that wait at this relay.
void requestProgramStarts(RelayContext &Context, const ServiceName &Service);

void handleStartGrant(RelayContext &Context, const HolderId &Holder,
                      const ProgramStartGrant &Grant);

/// Tells deciding replicas what has changed here, and turns to others if they
/// do not answer.
void maintainProgramStarts(RelayContext &Context);

/// Restarts the waiting time for answers after this process has stalled.
void resetStartTimeouts(RelayState &State);

/// Returns the time until the next start as the deciding replica expects it;
/// zero if it is not known.
Milliseconds timeToNextStart(const RelayState &State,
                             const ServiceName &Service);

} // namespace tanagerlanding

#endif
