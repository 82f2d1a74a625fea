/// \file
/// Chooses a target for a call.
#ifndef TANAGERLANDING_DECISION_RELAY_PLACEMENT_H
#define TANAGERLANDING_DECISION_RELAY_PLACEMENT_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Why no target could be chosen.
enum class PlacementFailure : std::uint8_t {
  /// No usable target is registered that the call has not tried yet.
  NoTarget,
  /// The best target has more requests than it can serve in time, and the call
  /// may not be queued.
  Overloaded,
  /// The best target has no capacity now; the call can be queued.
  Busy,
  /// Further targets name a limit, and this relay has no permit for them now.
  AwaitingPermit,
};

/// Returns the target with the lowest cost for the next attempt of a call, if
/// it has capacity.
Result<TargetId, PlacementFailure> chooseTarget(RelayState &State,
                                                const RelayCall &Call);

/// Returns the requests at the targets of a service, in requests per slot, as
/// far as this relay knows; targets that are leaving do not count.
double serviceLoadPerSlot(const RelayState &State, const ServiceName &Service);

/// Returns the number of targets that the call could go to if this relay had
/// permits for them.
std::size_t targetsWithoutPermit(const RelayState &State,
                                 const RelayCall &Call);

/// Returns whether it is known which target caches the prompt of the call's
/// program.
bool hasPromptCacheLocation(const RelayState &State, const RelayCall &Call);

/// Records that the call's target now caches the prompt of the call's program.
void recordPromptCacheLocation(RelayState &State, const RelayCall &Call);

/// Evicts prompt cache locations that have not been used within the retention
/// period, or within a quarter of it once the limit is reached.
void evictPromptCacheLocations(RelayState &State);

/// Counts an attempt that is sent to a target, or that has ended there.
void addOutstanding(RelayState &State, const TargetId &Target);
void removeOutstanding(RelayState &State, const TargetId &Target);

/// Starts or extends a target's backoff after a failure, doubling it with each
/// consecutive failure up to the limit.
void backOffTarget(RelayState &State, const TargetId &Target);

/// Ends a target's backoff after it has answered.
void resetBackoff(RelayState &State, const TargetId &Target);

} // namespace tanagerlanding

#endif
