/// \file
/// What identifies a request that is sent again, so that crashes can be counted
/// against it.
///
/// Contents of different teams are different, so that no team is held back for
/// crashes that another one's requests have caused.
///
/// Usually that is the whole content. Some requests that crash their targets
/// have only their path in common. A path is accused as a whole only where
/// requests of its route have many different paths, here or at another relay
/// that accuses the path, and none with this one has been answered.
#ifndef TANAGERLANDING_DECISION_RELAY_REQUESTCONTENT_H
#define TANAGERLANDING_DECISION_RELAY_REQUESTCONTENT_H

#include "tanagerlanding/decision/relay/RelayState.h"

namespace tanagerlanding {

/// Returns the path of a request target, without the query.
std::string pathOf(const std::string &RequestTarget);

/// Returns the fingerprint of a request without its id, which is new each time
/// the request is sent.
Fingerprint contentOf(const CallerRequest &Inbound,
                      const std::optional<TeamId> &Team);

/// Returns the fingerprint of a request's method, host and path.
Fingerprint pathContentOf(const CallerRequest &Inbound,
                          const std::optional<TeamId> &Team);

/// Returns the content that crashes of a call's target count against.
Fingerprint accusedContentOf(const RelayState &State, const RelayCall &Call);

/// Remembers that there was a request with the call's path.
void recordRequestedPath(RelayState &State, const RelayCall &Call);

/// Remembers that a request with the call's path was answered.
void recordAnsweredPath(RelayState &State, const RelayCall &Call);

/// Returns whether this is a path that was answered.
bool isAnsweredPath(const RelayState &State, Fingerprint PathContent);

void dropPathsOfRemovedRoutes(RelayState &State);

} // namespace tanagerlanding

#endif
