/// \file
/// Admits callers' requests: finds their route and service.
#ifndef TANAGERLANDING_DECISION_RELAY_ADMISSION_H
#define TANAGERLANDING_DECISION_RELAY_ADMISSION_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Creates a call for a caller's request that arrived at Arrived, and opens its
/// turn or dispatches it; refuses requests without a route or time left.
void admitCall(RelayContext &Context, RequestId Request, CallerRequest Inbound,
               Instant Arrived);

/// Opens the turn of a call that has a permit if it needs one, or dispatches
/// it.
void startAdmittedCall(RelayContext &Context, RelayCall &Call);

} // namespace tanagerlanding

#endif
