/// \file
/// Parsing and validation of the inventory document that operators edit.
#ifndef TANAGERLANDING_SETTINGS_INVENTORYDOCUMENT_H
#define TANAGERLANDING_SETTINGS_INVENTORYDOCUMENT_H

#include "tanagerlanding/decision/Inventory.h"

#include <string>
#include <vector>

namespace tanagerlanding {

/// A valid inventory, or all faults found.
using CheckedInventory = Result<Inventory, std::vector<SettingsFault>>;

/// Parses and validates an inventory document. Name is the file name given in
/// faults.
CheckedInventory parseInventory(const std::string &Document,
                                const std::string &Name);

/// Reads, parses and validates an inventory file.
CheckedInventory readInventory(const std::string &Path);

} // namespace tanagerlanding

#endif
