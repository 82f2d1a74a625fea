/// \file
/// The settings of one process.
#ifndef TANAGERLANDING_SETTINGS_NODESETTINGS_H
#define TANAGERLANDING_SETTINGS_NODESETTINGS_H

#include "tanagerlanding/settings/InventoryDocument.h"

#include <string>
#include <vector>

namespace tanagerlanding {

/// An IP address and a port.
struct ListenAddress {
  std::string Address;
  std::uint16_t Port = 0;
};

/// The content of a process's settings file.
struct NodeSettings {
  HostId Host;
  /// Address for connections from other processes of the deployment.
  ListenAddress Listen;
  /// Entry: HTTP address for callers.
  ListenAddress Http;
  std::uint32_t MaxHeaderBytes = 64 * 1024;
  std::uint32_t MaxRequestBytes = 8 * 1024 * 1024;
  /// What the requests of all callers may occupy.
  std::uint64_t AllRequestsBytes = 128 * 1024 * 1024;
  /// Entry: URL of the key-value service, and the prefix of the deployment's
  /// keys.
  std::string PlatformUrl;
  std::string PlatformPrefix;
  /// Entry: folder for journal segments; empty if this host keeps no journal.
  std::string DataFolder;
  /// Sidecar: URL of its target.
  std::string TargetUrl;
  /// File for trace spans; empty to disable them.
  std::string TraceFile;
  std::uint32_t ShardCount = 16;
  Milliseconds PrefixRetention{10000};
  Milliseconds PrefixLease{5000};
  Milliseconds ProgramIdleTimeout{600000};
  Milliseconds DrainTimeout{30000};
  /// round_robin, least_requests, prefix_affinity or least_expected_finish.
  std::string RoutingPolicyName = "least_expected_finish";
  /// The inventory that the process starts with.
  Inventory InitialInventory;
};

/// Valid settings, or all faults found.
using CheckedSettings = Result<NodeSettings, std::vector<SettingsFault>>;

/// Reads and validates a settings file and the inventory file that it names.
CheckedSettings readNodeSettings(const std::string &Path);

} // namespace tanagerlanding

#endif
