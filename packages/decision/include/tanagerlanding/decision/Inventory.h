/// \file
/// The configured hosts and placement rules.
#ifndef TANAGERLANDING_DECISION_INVENTORY_H
#define TANAGERLANDING_DECISION_INVENTORY_H

#include "tanagerlanding/basics.h"

#include <map>
#include <string>
#include <vector>

namespace tanagerlanding {

/// The role of a host.
enum class HostRole : std::uint8_t { Entry, Target };

/// The kind of target that a host runs.
enum class TargetKind : std::uint8_t { Engine, Service };

/// One host of the inventory.
struct HostSpec {
  HostId Name;
  ZoneId Zone;
  HostRole Role = HostRole::Entry;
  /// IP address on which the process of this host accepts connections from the
  /// system's other processes.
  std::string Address;
  std::uint16_t Port = 0;
  /// Entry: whether it stores journal segments.
  bool HasDataFolder = false;
  /// Target: the service it runs, its kind, and the maximum number of
  /// concurrent calls.
  ServiceName Service;
  TargetKind Kind = TargetKind::Engine;
  std::uint32_t Capacity = 1;
  /// Whether operators have excluded the host from new work.
  bool IsDrained = false;
};

/// A placement rule: the service may only run in these availability zones.
struct ZoneRule {
  ServiceName Service;
  std::vector<ZoneId> Zones;
};

/// The hosts and rules of one configuration version.
struct Inventory {
  ConfigVersion Version;
  std::map<HostId, HostSpec> Hosts;
  std::vector<ZoneRule> Rules;
  /// The document that it was parsed from, to be offered to peers.
  std::string Document;

  /// Returns whether the rules allow the host to run its service in its zone.
  bool isAllowed(const HostSpec &Host) const;
  /// Returns whether any target host runs the service.
  bool hasService(const ServiceName &Service) const;
};

} // namespace tanagerlanding

#endif
