/// \file
/// The choice of a target for a request.
#ifndef TANAGERLANDING_DECISION_RELAY_PLACEMENT_H
#define TANAGERLANDING_DECISION_RELAY_PLACEMENT_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Why no target could be chosen.
enum class PlacementFailure : std::uint8_t {
  /// None is registered, or all have been tried.
  NoTarget,
  /// Those that there are have more than they can serve in time.
  Overloaded,
  /// Those that there are have no room now for a call that can wait.
  Busy,
};

/// Returns the target for the next attempt of a call.
Result<TargetId, PlacementFailure> chooseTarget(RelayState &State,
                                                const RelayCall &Call);

/// Returns whether this relay knows where the call's program ran.
bool hasHome(const RelayState &State, const RelayCall &Call);

/// Notes where a program's prompt is cached from now on.
void rememberHome(RelayState &State, const RelayCall &Call);

/// Forgets homes that have not been used for long.
void forgetOldHomes(RelayState &State);

/// Notes that an attempt went to a target, or came back.
void addOutstanding(RelayState &State, const TargetId &Target);
void removeOutstanding(RelayState &State, const TargetId &Target);

/// Notes a target's own word about its load.
void noteLoad(RelayState &State, const TargetId &Target, std::uint32_t Load);

/// Avoids a target that could not be reached, longer after each failure.
void avoidTarget(RelayState &State, const TargetId &Target);

/// Notes that a target has answered.
void clearFailures(RelayState &State, const TargetId &Target);

} // namespace tanagerlanding

#endif
