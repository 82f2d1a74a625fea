/// \file
/// Decides whether a relay may accept keys of teams by its configuration.
#ifndef TANAGERLANDING_DECISION_SRC_RELAY_CONFIGURATIONPROOF_H
#define TANAGERLANDING_DECISION_SRC_RELAY_CONFIGURATIONPROOF_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether the relay can prove that its configuration was the newest
/// one less than MaxProofAge ago, or needs no proof.
bool isConfigurationProven(const RelayState &State);

/// Returns whether a call may be admitted or sent as far as its team's key is
/// concerned. Calls without a team always may, and those whose answer has
/// begun, which is completed even if the key is known to be removed.
bool mayUseKey(const RelayState &State, const RelayCall &Call);

/// Returns the time by which a call must be on the wire, as its key may have
/// been removed later; absent if there is no such time.
std::optional<Instant> sendDeadlineOf(const RelayState &State,
                                      const RelayCall &Call);

/// Records that the relay has received a change of the configuration's key.
void recordConfigurationKey(RelayContext &Context, Revision KeyRevision);

/// Records that the key-value service has answered a query that was sent at
/// AskedAt, and that the answer has been applied.
void recordOwnProof(RelayContext &Context, Instant AskedAt);

void handleConfigurationVouch(RelayContext &Context, const HolderId &Holder,
                              const ConfigurationVouch &Vouch);

/// Logs when the proof is lost or gained.
void reviewConfigurationProof(RelayContext &Context);

} // namespace tanagerlanding

#endif
