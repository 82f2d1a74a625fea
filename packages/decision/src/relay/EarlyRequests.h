/// \file
/// Requests that come before a relay that has just started knows its
/// configuration, targets and ledger.
#ifndef TANAGERLANDING_DECISION_RELAY_EARLYREQUESTS_H
#define TANAGERLANDING_DECISION_RELAY_EARLYREQUESTS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Admits a request, or keeps it for a moment where this relay has only begun
/// and what the request needs is about to come.
void takeRequest(RelayContext &Context, RequestId Request, CallerRequest Asked);

/// Forgets a kept request whose caller has gone. Returns whether there was one.
bool dropEarlyRequest(RelayContext &Context, RequestId Request);

/// Admits kept requests that can be served now, or have waited long enough.
void reviewEarlyRequests(RelayContext &Context);

} // namespace tanagerlanding

#endif
