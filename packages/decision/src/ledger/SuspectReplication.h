/// \file
/// Keeps evidence against request contents for the relays, so that it outlives
/// each of them.
#ifndef TANAGERLANDING_DECISION_LEDGER_SUSPECTREPLICATION_H
#define TANAGERLANDING_DECISION_LEDGER_SUSPECTREPLICATION_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Merges evidence from a relay or another replica. Stores new evidence and
/// sends it to all relays.
void handleSuspectNotice(LedgerContext &Context, const SuspectNotice &Notice);

/// Sends all evidence to a replica that has connected.
void sendEvidenceTo(LedgerContext &Context, const HostId &Host);

/// Merges the evidence that was stored in the data folder.
void recoverEvidence(LedgerContext &Context, const SuspectsRecovered &Event);

} // namespace tanagerlanding

#endif
