/// \file
/// The order in which relays ask replicas for a decision that one replica takes
/// for all relays. It is the same at all of them, as long as they reach the
/// same replicas.
#ifndef TANAGERLANDING_DECISION_RELAY_REPLICARANKING_H
#define TANAGERLANDING_DECISION_RELAY_REPLICARANKING_H

#include "tanagerlanding/decision/relay/RelayState.h"

#include <string>
#include <vector>

namespace tanagerlanding {

/// Returns the live members of the view, those that issue permits.
std::vector<HolderId> liveIssuers(const RelayState &State);

/// Returns whether no live member answers requests for permits.
bool hasNoIssuer(const RelayState &State);

/// Returns the live members in the order in which they are asked about a
/// subject, by rendezvous hashing. Those that have not answered lately come
/// last.
std::vector<HolderId> rankedIssuers(const RelayState &State,
                                    const std::string &Subject);

/// Returns whether a replica has not answered lately.
bool isSilent(const RelayState &State, const HolderId &Replica);

/// Records that a replica has not answered in time.
void markSilent(RelayState &State, const HolderId &Replica);

} // namespace tanagerlanding

#endif
