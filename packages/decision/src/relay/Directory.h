/// \file
/// Keeps the relay's configuration and registered targets up to date.
#ifndef TANAGERLANDING_DECISION_RELAY_DIRECTORY_H
#define TANAGERLANDING_DECISION_RELAY_DIRECTORY_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Adopts a configuration if it is newer than the current one.
void adoptConfiguration(RelayContext &Context,
                        const RelayConfiguration &Configuration);

void registerTarget(RelayContext &Context, const RegisteredTarget &Entry);
void unregisterTarget(RelayContext &Context, const TargetId &Id);

/// Records that a run of a target stated in an answer that it is leaving.
void recordLeavingRun(RelayContext &Context, const TargetRun &Run);

/// Returns whether a target is leaving, by its registration or its answers.
bool isLeaving(const RelayState &State, const RegisteredTarget &Entry);

/// Removes targets whose registration is still missing at the end of the grace
/// period that follows an outage of the key-value service.
void removeMissingTargets(RelayContext &Context);

} // namespace tanagerlanding

#endif
