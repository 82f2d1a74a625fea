/// \file
/// Package settings: strict validation of settings and inventory documents in
/// JSON with comments, and the import of asset registers. Needs nlohmann-json
/// and packages basics and decision.
#ifndef TANAGERLANDING_SETTINGS_H
#define TANAGERLANDING_SETTINGS_H

#include "tanagerlanding/settings/AssetRegister.h"
#include "tanagerlanding/settings/ConfigurationReport.h"
#include "tanagerlanding/settings/DocumentReader.h"
#include "tanagerlanding/settings/InventoryDocument.h"
#include "tanagerlanding/settings/NodeSettings.h"

#endif
