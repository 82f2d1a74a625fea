/// \file
/// Proves to relays that their configuration is the newest one.
#ifndef TANAGERLANDING_DECISION_SRC_LEDGER_CONFIGURATIONVOUCHING_H
#define TANAGERLANDING_DECISION_SRC_LEDGER_CONFIGURATIONVOUCHING_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Records the clock of a relay from its heartbeat.
void recordRelayClock(LedgerContext &Context, const HostId &Relay,
                      const Heartbeat &Beat);

/// Records which heartbeats were received before a query of the key-value
/// service is sent. Only these may be vouched for by its answer.
void beginVouching(LedgerContext &Context);

/// Vouches to the relays for the query that beginVouching() belongs to, once
/// its answer has been applied.
void vouchToRelays(LedgerContext &Context);

} // namespace tanagerlanding

#endif
