/// \file
/// Changes of the ledger's membership.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERMEMBERSHIP_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERMEMBERSHIP_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Takes a view where it is newer than the present one.
void adoptView(LedgerContext &Context, const LedgerView &View);

/// Writes the next view where one is due, and tells how far a retirement is.
void reviewMembership(LedgerContext &Context);

/// Asks the sources of a running pull again where they have fallen silent.
void continuePull(LedgerContext &Context);

/// Takes a page of another replica's records.
void takeRecordsPage(LedgerContext &Context, const HostId &Peer,
                     const RecordsPage &Page);

/// Ends the pull once enough sources are done and all is durable.
void completePull(LedgerContext &Context);

/// Answers another replica's pull.
void answerPull(LedgerContext &Context, const HostId &Peer,
                const PullRecords &Asked);

} // namespace tanagerlanding

#endif
