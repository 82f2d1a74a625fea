/// \file
/// Proof that a relay's configuration is recent enough to accept keys of teams.
#ifndef TANAGERLANDING_DECISION_RELAY_CONFIGURATIONPROOF_H
#define TANAGERLANDING_DECISION_RELAY_CONFIGURATIONPROOF_H

#include "tanagerlanding/decision/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace tanagerlanding {

struct RelayState;

/// A replica's vouch for a change of the configuration's key that the relay has
/// not received yet.
struct PendingVouch {
  Instant ProvenAt;
  HolderId Source;
};

/// Until when a relay has received all accepted configurations. All times are
/// on the relay's own clock.
struct ConfigurationProof {
  /// The last change of the configuration's key that the relay has received,
  /// whether or not its value was accepted.
  Revision KeyRevision;
  /// The latest time for which the proof holds, and its source; absent before
  /// the first proof.
  std::optional<Instant> ProvenAt;
  std::string Source;
  std::map<Revision, PendingVouch> PendingVouches;
  /// Whether the proof was valid at the last review, and when that changed.
  bool WasValid = false;
  Instant ChangedAt;
};

/// How long a relay's watch of the key-value service may wait for a change, and
/// the delay before the next one.
struct WatchTiming {
  Milliseconds Timeout{0};
  Milliseconds Delay{0};
};

/// Returns the heartbeat to send to replicas. Its time is offset by an amount
/// that is random for each process, so that a replica's answer to a former
/// process of the same host is not mistaken for one to this process.
Heartbeat heartbeatOf(const RelayState &State, Instant Now);

/// Returns the age of the proof, or without one the time since the start.
Milliseconds configurationProofAge(const RelayState &State);

/// Returns the longest watch and delay, up to the given ones, with which the
/// relay's own watch renews the proof before it reaches MaxProofAge.
WatchTiming boundWatchTiming(Milliseconds MaxProofAge, WatchTiming Longest);

} // namespace tanagerlanding

#endif
