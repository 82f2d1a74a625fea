/// \file
/// The inventory document that operators edit.
#ifndef TANAGERLANDING_SETTINGS_INVENTORYDOCUMENT_H
#define TANAGERLANDING_SETTINGS_INVENTORYDOCUMENT_H

#include "tanagerlanding/decision/Inventory.h"

#include <string>
#include <vector>

namespace tanagerlanding {

/// An inventory, or every fault that was found.
using CheckedInventory = Result<Inventory, std::vector<SettingsFault>>;

/// Checks an inventory document. Name stands for the file in faults.
CheckedInventory parseInventory(const std::string &Document,
                                const std::string &Name);

/// Reads and checks an inventory file.
CheckedInventory readInventory(const std::string &Path);

} // namespace tanagerlanding

#endif
