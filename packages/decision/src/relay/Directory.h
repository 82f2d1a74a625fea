/// \file
/// What the relay knows of configuration and targets.
#ifndef TANAGERLANDING_DECISION_RELAY_DIRECTORY_H
#define TANAGERLANDING_DECISION_RELAY_DIRECTORY_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Takes a configuration that is newer than the present one.
void adoptConfiguration(RelayContext &Context,
                        const RelayConfiguration &Configuration);

void takeTarget(RelayContext &Context, const RegisteredTarget &Entry);
void loseTarget(RelayContext &Context, const TargetId &Id);

/// Forgets targets whose registration stays away.
void forgetMissingTargets(RelayContext &Context);

} // namespace tanagerlanding

#endif
