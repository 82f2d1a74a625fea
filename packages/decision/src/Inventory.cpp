#include "tanagerlanding/decision/Inventory.h"

#include <algorithm>

namespace tanagerlanding {

bool Inventory::isAllowed(const HostSpec &Host) const {
  for (const ZoneRule &Rule : this->Rules) {
    if (Rule.Service != Host.Service)
      continue;
    if (std::find(Rule.Zones.begin(), Rule.Zones.end(), Host.Zone) ==
        Rule.Zones.end())
      return false;
  }
  return true;
}

bool Inventory::hasService(const ServiceName &Service) const {
  return std::any_of(
      this->Hosts.begin(), this->Hosts.end(), [&](const auto &Item) {
        const HostSpec &Host = Item.second;
        return Host.Role == HostRole::Target && Host.Service == Service;
      });
}

} // namespace tanagerlanding
