/// \file
/// Learns how long turns take at each load of their target, and from it the
/// load up to which programs meet their deadlines.
#ifndef TANAGERLANDING_DECISION_RELAY_LOADCURVE_H
#define TANAGERLANDING_DECISION_RELAY_LOADCURVE_H

#include "tanagerlanding/decision/relay/RelayState.h"

namespace tanagerlanding {

/// Adds the time that a complete stream took to the curve of its service, if
/// its target has stated its load.
void recordLoadSample(RelayState &State, const RelayCall &Call);

/// Returns the load of a service, in turns per slot, up to which turns take no
/// longer than RelayOptions::MaxTurnSlowdown allows. As long as no load is
/// known to be too high, it is little more than one turn per slot.
double turnLoadLimitOf(const RelayState &State, const ServiceName &Service);

} // namespace tanagerlanding

#endif
