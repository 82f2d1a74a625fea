/// \file
/// Import of an asset register into an inventory document.
#ifndef TANAGERLANDING_SETTINGS_ASSETREGISTER_H
#define TANAGERLANDING_SETTINGS_ASSETREGISTER_H

#include "tanagerlanding/basics.h"

#include <map>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Maps fields of a host to column names of the register. The column of a
/// field that is not mapped has the field's name.
using ColumnMapping = std::map<std::string, std::string>;

/// An inventory document as text, or all faults with their lines.
using ImportedRegister = Result<std::string, std::vector<SettingsFault>>;

/// Converts comma-separated values with a header line into an inventory
/// document. Name is the file name given in faults.
ImportedRegister importAssetRegister(const std::string &Csv,
                                     const ColumnMapping &Columns,
                                     const std::string &Name);

} // namespace tanagerlanding

#endif
