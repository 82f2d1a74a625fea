/// \file
/// How long work takes at a target apart from its load: a property of its host,
/// learned from what was asked and how long the answer took.
#ifndef TANAGERLANDING_DECISION_RELAY_TARGETSPEED_H
#define TANAGERLANDING_DECISION_RELAY_TARGETSPEED_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns how long work takes at a target, as a multiple of what it takes at
/// its service; between 0.25 and 4, and 1 if unknown.
double slownessOf(const RelayState &State, const RelayTarget &Target);

/// Returns how long a request of a service usually takes, from its start at a
/// target to the end of its answer, in milliseconds; 0 if unknown.
double typicalRequestMillis(const RelayState &State,
                            const ServiceName &Service);

/// Notes the load that an attempt meets at its target, before it is sent.
void recordSpeedConditions(const RelayState &State, RelayCall &Call,
                           const RelayTarget &Target);

/// Learns from an attempt whose answer is complete.
void recordCompletion(RelayContext &Context, const RelayCall &Call);

/// Returns the mean of the samples that have not been sent to the gathering
/// replica yet, and forgets them; absent if there are none.
std::optional<double> takeSpeedSamples(RelayTarget &Target);

/// Takes over what all relays have learned of a target.
void adoptSharedSlowness(RelayContext &Context, RelayTarget &Target,
                         double Slowness);

} // namespace tanagerlanding

#endif
