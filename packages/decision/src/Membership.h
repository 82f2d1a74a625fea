/// \file
/// Which processes of the system are there, and what they last said.
#ifndef TANAGERLANDING_DECISION_MEMBERSHIP_H
#define TANAGERLANDING_DECISION_MEMBERSHIP_H

#include "EntryContext.h"

namespace tanagerlanding {

void handlePeerConnected(EntryContext &Context, const PeerConnected &Event);
void handlePeerDisconnected(EntryContext &Context,
                            const PeerDisconnected &Event);

/// Sends heartbeats that are due.
void sendHeartbeats(EntryContext &Context);

/// Takes an inventory, unless the one in force is as new.
void handleInventory(EntryContext &Context, const InventoryObserved &Event);

/// Notes a peer's configuration version and offers it a newer one.
void handleHeartbeat(EntryContext &Context, const HostId &Host,
                     const Heartbeat &Beat);

/// Tells a sidecar which prefixes of this entry's programs are still wanted;
/// it lets the others go after their lease.
void sendKeptPrefixes(EntryContext &Context, const HostId &Host);
void sendKeptPrefixesToAll(EntryContext &Context);

/// Notes a target's state.
void handleLoad(EntryContext &Context, const HostId &Host,
                const LoadReport &Report);

/// Returns whether the inventory has the host as an entry.
bool isEntryHost(const EntryState &State, const HostId &Host);

/// Returns whether an entry is connected, was heard lately and stays.
bool isEntryLive(const EntryState &State, const HostId &Host);

} // namespace tanagerlanding

#endif
