/// \file
/// Import of an asset register into an inventory document.
#ifndef TANAGERLANDING_SETTINGS_ASSETREGISTER_H
#define TANAGERLANDING_SETTINGS_ASSETREGISTER_H

#include "tanagerlanding/basics.h"

#include <map>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Which column of the register holds which field of a host; fields that are
/// not named keep their own names.
using ColumnMapping = std::map<std::string, std::string>;

/// An inventory document as text, or every fault with its line.
using ImportedRegister = Result<std::string, std::vector<SettingsFault>>;

/// Turns comma-separated values with a header line into an inventory
/// document. Name stands for the file in faults.
ImportedRegister importAssetRegister(const std::string &Csv,
                                     const ColumnMapping &Columns,
                                     const std::string &Name);

} // namespace tanagerlanding

#endif
