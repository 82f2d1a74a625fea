/// \file
/// Gathers what relays learn of the load of targets, and passes it on to them.
///
/// Any replica does so for the relays that report to it. Relays report to the
/// first live member of the view, so that usually one replica gathers all.
/// Nothing of it is stored: after a loss it is learned anew within the time for
/// which a report is used.
#ifndef TANAGERLANDING_DECISION_LEDGER_TARGETLOADGATHERING_H
#define TANAGERLANDING_DECISION_LEDGER_TARGETLOADGATHERING_H

#include "LedgerContext.h"

namespace tanagerlanding {

void handleTargetLoadReport(LedgerContext &Context, const HostId &Peer,
                            const TargetLoadReport &Report);

/// Sends each relay that has reported lately the rows that have changed.
void sendTargetLoadViews(LedgerContext &Context);

} // namespace tanagerlanding

#endif
