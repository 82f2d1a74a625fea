/// \file
/// Differences between two inventories.
#ifndef TANAGERLANDING_CTL_INVENTORYDIFF_H
#define TANAGERLANDING_CTL_INVENTORYDIFF_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tanagerlanding {

/// One difference.
struct InventoryChange {
  enum class Kind { Added, Removed, Changed };
  Kind What = Kind::Changed;
  /// "host NAME", "rules" or "zones".
  std::string Where;
  std::string Before;
  std::string After;
};

/// Returns what differs between two inventory documents.
std::vector<InventoryChange> compareInventories(const std::string &Before,
                                                const std::string &After);

/// Prints changes, a line each.
void printChanges(const std::vector<InventoryChange> &Changes);

/// Returns changes as a JSON list.
nlohmann::json toJson(const std::vector<InventoryChange> &Changes);

} // namespace tanagerlanding

#endif
