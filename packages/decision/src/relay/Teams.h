/// \file
/// The teams of requests: which team a key belongs to, and the ids and hashes
/// that keep the records of teams apart.
#ifndef TANAGERLANDING_DECISION_RELAY_TEAMS_H
#define TANAGERLANDING_DECISION_RELAY_TEAMS_H

#include "tanagerlanding/decision/relay/RelayState.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// Returns the team of a request on a route, nothing if it needs none, or the
/// reason for which it is refused.
Result<std::optional<TeamId>, RelayRefusalReason>
resolveTeam(const RelayConfiguration &Configuration, const RelayRoute &Route,
            const CallerCredential &Credential);

/// Returns why a call may not be sent under the configuration in force; nothing
/// if it may. The configuration may have changed since the call was admitted.
std::optional<RelayRefusalReason> credentialFaultOf(const RelayState &State,
                                                    const RelayCall &Call);

/// Returns the priority of a team's requests on a route.
std::uint32_t priorityOf(const RelayConfiguration &Configuration,
                         const RelayRoute &Route,
                         const std::optional<TeamId> &Team);

/// Returns an id that is unique over all teams for an id that a caller chose.
/// Without a team it is the caller's, as stored before there were teams.
std::string qualifiedId(const std::optional<TeamId> &Team,
                        const std::string &Id);

/// Returns the id of a call's own turn, and of the stream that it begins, at
/// the ledger.
TurnId turnOf(const RelayCall &Call);

} // namespace tanagerlanding

#endif
