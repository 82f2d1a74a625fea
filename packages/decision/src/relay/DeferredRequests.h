/// \file
/// Defers requests that arrive during start-up, before the relay has its
/// configuration, targets and ledger.
#ifndef TANAGERLANDING_DECISION_RELAY_DEFERREDREQUESTS_H
#define TANAGERLANDING_DECISION_RELAY_DEFERREDREQUESTS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Admits a request, or defers it if this relay is still starting and lacks
/// something that the request needs.
void admitOrDeferRequest(RelayContext &Context, RequestId Request,
                         CallerRequest Inbound);

/// Removes the deferred request of a caller that has disconnected. Returns
/// whether there was one.
bool removeDeferredRequest(RelayContext &Context, RequestId Request);

/// Admits deferred requests that can be served now or have reached the limit of
/// their deferral.
void admitDeferredRequests(RelayContext &Context);

} // namespace tanagerlanding

#endif
