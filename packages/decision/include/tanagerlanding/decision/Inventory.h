/// \file
/// The hosts and rules that are in force.
#ifndef TANAGERLANDING_DECISION_INVENTORY_H
#define TANAGERLANDING_DECISION_INVENTORY_H

#include "tanagerlanding/basics.h"

#include <map>
#include <string>
#include <vector>

namespace tanagerlanding {

/// What a host is there for.
enum class HostRole : std::uint8_t { Entry, Target };

/// What kind of target a host runs.
enum class TargetKind : std::uint8_t { Engine, Service };

/// One host of the inventory.
struct HostSpec {
  HostId Name;
  ZoneId Zone;
  HostRole Role = HostRole::Entry;
  /// IP number on which the process of this host listens for ours.
  std::string Address;
  std::uint16_t Port = 0;
  /// Entry: whether it keeps journal segments.
  bool HasDataFolder = false;
  /// Target: the service it runs, its kind, and calls it runs at once.
  ServiceName Service;
  TargetKind Kind = TargetKind::Engine;
  std::uint32_t Capacity = 1;
  /// Whether operators want no new work there.
  bool Drained = false;
};

/// A rule: a service's work must stay in these zones.
struct ZoneRule {
  ServiceName Service;
  std::vector<ZoneId> Zones;
};

/// The hosts and rules of one configuration version.
struct Inventory {
  ConfigVersion Version;
  std::map<HostId, HostSpec> Hosts;
  std::vector<ZoneRule> Rules;
  /// The document it was read from, to pass on.
  std::string Document;

  /// Returns whether the rules let a host serve a service.
  bool isAllowed(const HostSpec &Host) const;
  /// Returns whether any host runs the service.
  bool hasService(const ServiceName &Service) const;
};

} // namespace tanagerlanding

#endif
