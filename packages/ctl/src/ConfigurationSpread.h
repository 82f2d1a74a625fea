/// \file
/// Telling entries of an accepted configuration.
#ifndef TANAGERLANDING_CTL_CONFIGURATIONSPREAD_H
#define TANAGERLANDING_CTL_CONFIGURATIONSPREAD_H

#include "tanagerlanding/decision/Messages.h"

namespace tanagerlanding {

/// Offers an accepted configuration to the entries of an inventory, so that
/// it is in force even if the key-value service goes down right afterwards.
/// Returns how many entries were told; waits a bounded time for them.
std::size_t spreadConfiguration(const Inventory &Hosts,
                                const ConfigOffer &Offer);

} // namespace tanagerlanding

#endif
