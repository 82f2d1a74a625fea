/// \file
/// Comparison of inventory documents.
#ifndef TANAGERLANDING_CTL_INVENTORYDIFF_H
#define TANAGERLANDING_CTL_INVENTORYDIFF_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tanagerlanding {

/// A difference between two inventory documents.
struct InventoryChange {
  enum class Kind { Added, Removed, Changed };
  Kind ChangeKind = Kind::Changed;
  /// "host NAME", "rules" or "zones".
  std::string Subject;
  std::string Before;
  std::string After;
};

/// Returns the differences between two inventory documents.
std::vector<InventoryChange> compareInventories(const std::string &Before,
                                                const std::string &After);

/// Prints each change with its values before and after.
void printChanges(const std::vector<InventoryChange> &Changes);

/// Returns changes as a JSON array.
nlohmann::json toJson(const std::vector<InventoryChange> &Changes);

} // namespace tanagerlanding

#endif
