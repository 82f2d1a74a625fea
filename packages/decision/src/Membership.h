/// \file
/// Membership: which processes of the system are connected, and their last
/// reports.
#ifndef TANAGERLANDING_DECISION_MEMBERSHIP_H
#define TANAGERLANDING_DECISION_MEMBERSHIP_H

#include "EntryContext.h"

namespace tanagerlanding {

void handlePeerConnected(EntryContext &Context, const PeerConnected &Event);
void handlePeerDisconnected(EntryContext &Context,
                            const PeerDisconnected &Event);

/// Sends a heartbeat to all connected peers if the interval has elapsed.
void sendHeartbeats(EntryContext &Context);

/// Applies an inventory unless the current one is at least as new, and offers
/// it to peers with an older version.
void handleInventory(EntryContext &Context, const InventoryObserved &Event);

/// Records a peer's configuration version, and offers it this entry's if that
/// is newer.
void handleHeartbeat(EntryContext &Context, const HostId &Host,
                     const Heartbeat &Beat);

/// Sends a sidecar the prefixes that this entry's programs still need, so that
/// their leases do not expire.
void sendKeptPrefixes(EntryContext &Context, const HostId &Host);
void sendKeptPrefixesToAll(EntryContext &Context);

/// Records the state that a target's sidecar reported.
void handleLoad(EntryContext &Context, const HostId &Host,
                const LoadReport &Report);

/// Returns whether the inventory lists the host as an entry.
bool isEntryHost(const EntryState &State, const HostId &Host);

/// Returns whether the host is an entry that is connected, has sent a message
/// within PeerHeartbeatTimeout and is not shutting down.
bool isEntryLive(const EntryState &State, const HostId &Host);

} // namespace tanagerlanding

#endif
