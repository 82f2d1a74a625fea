/// \file
/// Permits to send requests to targets that name a limit for all relays
/// together; see QuotaPermits.h for those of teams. Replicas issue them, each
/// an equal part of the limit, so that no two processes have to agree on who
/// issues what.
#ifndef TANAGERLANDING_DECISION_RELAY_REQUESTPERMITS_H
#define TANAGERLANDING_DECISION_RELAY_REQUESTPERMITS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether a request may be sent to a target now: it names no limit, or
/// this relay holds a permit.
bool hasPermit(const RelayState &State, const RegisteredTarget &Target);

/// Takes the permit for one request to a target. Returns false if one is needed
/// and there is none.
bool takePermit(RelayState &State, const RegisteredTarget &Target);

/// Returns the permits that this relay holds for a target.
std::size_t heldPermits(const RelayState &State,
                        const RegisteredTarget &Target);

/// Returns the permits of a stock that are valid.
std::size_t heldPermits(const RelayState &State, const PermitStock &Stock);

/// Takes the permit that ends first. Returns its end; absent if there is none.
std::optional<Instant> takePermit(const RelayState &State, PermitStock &Stock);

void addPermits(PermitStock &Stock, std::uint32_t Count, Instant ValidUntil);

/// Adds the permits of an answer to the stock of their subject, and counts them
/// towards the rate at which the relay goes on without replicas.
void acceptPermits(RelayState &State, const HolderId &Holder,
                   const PermitGrant &Grant, Instant ValidUntil);

/// Counts a request that is to be sent to a service.
void recordRequest(RelayState &State, const ServiceName &Service);

/// Drops permits that have ended and asks replicas for those that the present
/// rate of requests will need.
void maintainPermits(RelayContext &Context);

/// Handles a replica's answer about a target or a team.
void handlePermitGrant(RelayContext &Context, const HolderId &Holder,
                       const PermitGrant &Grant);

} // namespace tanagerlanding

#endif
