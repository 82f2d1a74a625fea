/// \file
/// Permits for the requests of teams that have a quota over all relays. A call
/// of such a team needs one permit before its turn is opened or it is
/// dispatched; retries of the relay need no further ones.
#ifndef TANAGERLANDING_DECISION_RELAY_QUOTAPERMITS_H
#define TANAGERLANDING_DECISION_RELAY_QUOTAPERMITS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Starts an admitted call if its team has no quota or this relay holds a
/// permit. Otherwise asks a replica for one, or refuses the call.
void admitWithinQuota(RelayContext &Context, RelayCall &Call);

/// Removes a call that ends from those that wait, and returns its permit if
/// nothing was sent.
void releaseQuotaClaim(RelayState &State, const RelayCall &Call);

/// Handles a replica's answer about a team.
void handleQuotaAnswer(RelayContext &Context, const HolderId &Holder,
                       const PermitGrant &Answer);

/// Asks the next replica for calls whose replica has not answered in time, and
/// asks in advance for the permits that busy teams will need.
void maintainQuotaPermits(RelayContext &Context);

/// Restarts the waiting time for answers after this process has stalled.
void resetQuotaTimeouts(RelayState &State);

/// Forgets until when replicas have denied permits and starts, as they said so
/// by the quotas of the configuration before.
void forgetQuotaDenials(RelayState &State);

/// Returns whether a team has sent requests recently.
bool isActiveTeam(const RelayState &State, const TeamId &Team);

/// Returns how long a caller should wait that was refused for its team's quota:
/// until the first replica has a permit, drawn from an interval, so that
/// callers do not return at the same time.
Milliseconds quotaRetryAfter(RelayState &State, const RelayCall &Call);

} // namespace tanagerlanding

#endif
