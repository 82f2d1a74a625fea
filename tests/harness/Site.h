/// \file
/// A small deployment on loopback: entries, sidecars, targets, platform.
#ifndef TANAGERLANDING_TESTS_SITE_H
#define TANAGERLANDING_TESTS_SITE_H

#include "Client.h"
#include "FaultProxy.h"
#include "Processes.h"

#include <map>
#include <memory>
#include <string>

namespace tanagerlanding::test {

/// How large a site is.
struct SiteOptions {
  unsigned Entries = 3;
  unsigned Engines = 2;
  unsigned Services = 2;
  unsigned EngineCapacity = 8;
  unsigned Shards = 4;
  unsigned ProgramIdleMillis = 600000;
  unsigned PrefixHoldMillis = 10000;
  unsigned PrefixLeaseMillis = 2000;
  std::string Routing = "least_expected_finish";
  /// Whether every third engine is of old hardware, at half the speed.
  bool HasOldHardware = false;

  SiteOptions &withEntries(unsigned Count) {
    this->Entries = Count;
    return *this;
  }
  SiteOptions &withEngines(unsigned Count) {
    this->Engines = Count;
    return *this;
  }
  SiteOptions &withServices(unsigned Count) {
    this->Services = Count;
    return *this;
  }
  SiteOptions &withEngineCapacity(unsigned Count) {
    this->EngineCapacity = Count;
    return *this;
  }
  SiteOptions &withShards(unsigned Count) {
    this->Shards = Count;
    return *this;
  }
  SiteOptions &withProgramIdleMillis(unsigned Millis) {
    this->ProgramIdleMillis = Millis;
    return *this;
  }
  SiteOptions &withRouting(std::string Name) {
    this->Routing = std::move(Name);
    return *this;
  }
  SiteOptions &withOldHardware() {
    this->HasOldHardware = true;
    return *this;
  }
  SiteOptions &withPrefixHoldMillis(unsigned Millis) {
    this->PrefixHoldMillis = Millis;
    return *this;
  }
};

/// Starts all processes and waits until every shard is served. Every address
/// of ours in the inventory is that of a fault proxy.
///
/// Entries are entry-0, entry-1, ...; sidecars engine-0, ..., service-0, ...;
/// targets have their sidecar's name with "-target" behind it.
class Site {
public:
  explicit Site(const SiteOptions &Options = SiteOptions());
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Returns the port at which an entry serves callers.
  std::uint16_t http(unsigned Entry) const;
  /// Returns an entry's name.
  static std::string entryName(unsigned Entry);
  /// Returns a process by its name.
  ChildProcess &process(const std::string &Name);
  /// Returns the proxy before a host, or before a sidecar's target.
  FaultProxy &proxy(const std::string &Name);
  /// Starts a process again with the same settings.
  void restart(const std::string &Name);
  /// Empties an entry's data folder, as on a host that was replaced.
  void emptyDataFolder(const std::string &Name);

  /// Waits until every running entry sees all shards served.
  bool awaitReady();
  /// Returns the number of the entry that owns a program, as entry Via sees
  /// it.
  unsigned ownerOf(const std::string &Program, unsigned Via) const;
  /// Returns an entry's status as JSON text.
  std::string status(unsigned Entry) const;
  /// Returns how often the service targets ran each body, together.
  std::map<std::string, int> executions() const;
  /// Returns a target's answer to GET Path.
  std::string askTarget(const std::string &Name, const std::string &Path) const;
  /// Returns the port of a host's target itself.
  std::uint16_t targetPort(const std::string &Name) const;
  /// Sets how the key-value stand-in behaves.
  void setPlatform(const std::string &Mode) const;
  /// Returns the calls to the key-value stand-in.
  std::uint64_t platformCalls() const;
  /// Runs the operators' command line against the platform; returns its exit
  /// code.
  int operate(const std::vector<std::string> &Arguments) const;
  /// Returns the URLs at which entries serve callers.
  std::vector<std::string> entryUrls() const;
  /// Returns the inventory as text.
  std::string inventory() const;
  /// Writes a file in the site's folder; returns its path.
  std::string writeFile(const std::string &Name, const std::string &Text) const;
  /// Returns the configuration versions that hosts have, as an entry sees
  /// them.
  std::map<std::string, std::uint64_t> versions(unsigned Entry) const;
  /// Returns the folder of settings and logs.
  const std::string &folder() const { return this->Folder; }
  /// Returns a process's log so far.
  std::string log(const std::string &Name) const;
  std::uint16_t platformPort() const { return this->PlatformPort; }

private:
  struct Node {
    std::string Program;
    std::vector<std::string> Arguments;
    std::uint16_t Port = 0;
    ChildProcess Process;
  };

  void addTargets(const std::string &Kind, unsigned Count, unsigned Capacity);
  void writeInventory();
  void writeSettings();
  void start(const std::string &Name);
  std::uint16_t portOf(const std::string &Name) const;

  const SiteOptions Options;
  std::string Folder;
  std::uint16_t PlatformPort = 0;
  std::map<std::string, std::uint16_t> HttpPorts;
  std::map<std::string, Node> Nodes;
  std::map<std::string, std::unique_ptr<FaultProxy>> Proxies;
};

} // namespace tanagerlanding::test

#endif
