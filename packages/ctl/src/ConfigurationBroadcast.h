/// \file
/// Broadcast of an accepted configuration to the entries.
#ifndef TANAGERLANDING_CTL_CONFIGURATIONBROADCAST_H
#define TANAGERLANDING_CTL_CONFIGURATIONBROADCAST_H

#include "tanagerlanding/decision/Messages.h"

namespace tanagerlanding {

/// Sends an accepted configuration to the entries of an inventory, so that it
/// takes effect even if the key-value service fails right afterwards. Waits a
/// limited time for the entries to connect; returns the number of entries to
/// which it was sent.
std::size_t broadcastConfiguration(const Inventory &Hosts,
                                   const ConfigOffer &Offer);

} // namespace tanagerlanding

#endif
