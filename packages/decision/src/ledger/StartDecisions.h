/// \file
/// Decides on the starts of programs at a service, for all relays.
///
/// Relays choose the same member for a service, so one process sees the use of
/// its targets by all relays and every start is counted once. Nothing is stored
/// on disk: a member that takes over learns the use from the next requests.
#ifndef TANAGERLANDING_DECISION_LEDGER_STARTDECISIONS_H
#define TANAGERLANDING_DECISION_LEDGER_STARTDECISIONS_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Records a relay's use of a service, and grants starts as far as there is
/// capacity. Starts that are more urgent go first, wherever they wait; those of
/// one priority are shared between relays by their number.
void handleStartRequest(LedgerContext &Context, const HostId &Peer,
                        const ProgramStartRequest &Request);

/// Forgets relays that have sent no request for a while.
void expireStartReports(LedgerState &State);

} // namespace tanagerlanding

#endif
