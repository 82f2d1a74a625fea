/// \file
/// The route and service of a caller's request.
#ifndef TANAGERLANDING_DECISION_RELAY_ADMISSION_H
#define TANAGERLANDING_DECISION_RELAY_ADMISSION_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Takes a caller's request that came at Arrived and begins to serve it, or
/// refuses it.
void admitCall(RelayContext &Context, RequestId Request, CallerRequest Asked,
               Instant Arrived);

} // namespace tanagerlanding

#endif
