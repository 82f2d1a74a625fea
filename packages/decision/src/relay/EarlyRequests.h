/// \file
/// Defers requests that arrive during start-up, before the relay has its
/// configuration, targets and ledger.
#ifndef TANAGERLANDING_DECISION_RELAY_EARLYREQUESTS_H
#define TANAGERLANDING_DECISION_RELAY_EARLYREQUESTS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Admits a request, or defers it if this relay is still starting and lacks
/// something that the request needs.
void takeRequest(RelayContext &Context, RequestId Request, CallerRequest Asked);

/// Removes the deferred request of a caller that has disconnected. Returns
/// whether there was one.
bool dropEarlyRequest(RelayContext &Context, RequestId Request);

/// Admits deferred requests that can be served now or have reached the limit of
/// their deferral.
void reviewEarlyRequests(RelayContext &Context);

} // namespace tanagerlanding

#endif
