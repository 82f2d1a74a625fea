/// \file
/// Test fixture: a small deployment on loopback with entries, sidecars, targets
/// and a key-value service.
#ifndef TANAGERLANDING_TESTS_SITE_H
#define TANAGERLANDING_TESTS_SITE_H

#include "Client.h"
#include "FaultProxy.h"
#include "Processes.h"

#include "tanagerlanding/basics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tanagerlanding::test {

/// Size and settings of a site.
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
  /// Whether every third engine runs at half speed, as on older hardware.
  bool HasOldHardware = false;
  /// Entry: max_request_bytes, unless 0.
  unsigned MaxRequestBytes = 0;
  /// Soft limit of an entry's open descriptors, unless 0.
  unsigned EntryDescriptors = 0;

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

/// Starts all processes and waits until every shard is served; throws
/// std::runtime_error if that fails. All host addresses in the inventory are
/// those of fault proxies.
///
/// Entries are named entry-0, entry-1, ...; sidecars engine-0, ..., service-0,
/// ...; a target has its sidecar's name with the suffix "-target".
class Site {
public:
  explicit Site(const SiteOptions &Options = SiteOptions());
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  /// Returns the HTTP port on which an entry serves callers.
  std::uint16_t httpPort(unsigned Entry) const;
  static std::string entryName(unsigned Entry);
  ChildProcess &process(const std::string &Name);
  /// Returns the proxy in front of a host or of a sidecar's target.
  FaultProxy &proxy(const std::string &Name);
  /// Kills a process and starts it again with the same settings.
  void restart(const std::string &Name);
  /// Deletes an entry's data folder, as if its host was replaced.
  void deleteDataFolder(const std::string &Name);

  /// Waits until every running entry is ready, with all shards served, and
  /// reports all running hosts as connected and healthy. Returns false on a
  /// timeout.
  bool awaitReady();
  /// Returns the number of the entry that owns a program, as reported by entry
  /// Via. Throws std::runtime_error if the shard has no owner.
  unsigned ownerOf(const std::string &Program, unsigned Via) const;
  /// Waits until all entries report the same owner of a program and returns its
  /// number. All entries must be running. Throws std::runtime_error if they do
  /// not agree.
  unsigned awaitOwnerOf(const std::string &Program) const;
  /// Returns an entry's status as JSON.
  std::string status(unsigned Entry) const;
  /// Returns how often each body was run, summed over the running service
  /// targets.
  std::map<std::string, int> executions() const;
  /// Waits until a running service target has begun to run a body. Returns
  /// false on a timeout.
  bool awaitStart(const std::string &Body) const;
  /// Returns the body of a target's response to GET Path, bypassing proxies;
  /// empty unless the status is 200.
  std::string queryTarget(const std::string &Name,
                          const std::string &Path) const;
  /// Returns the port of a sidecar's target, not that of its proxy.
  std::uint16_t targetPort(const std::string &Name) const;
  /// Sets the mode of the key-value stand-in: ok, down, slow or lose_answers.
  void setPlatformMode(const std::string &Mode) const;
  /// Returns the number of calls that the key-value stand-in has counted.
  std::uint64_t platformCallCount() const;
  /// Runs the operators' command-line tool against the key-value stand-in.
  /// Returns its exit status.
  int runOperatorCommand(const std::vector<std::string> &Arguments) const;
  /// Returns the URLs on which entries serve callers.
  std::vector<std::string> entryUrls() const;
  /// Returns the inventory as JSON.
  std::string inventory() const;
  /// Writes a file in the site's folder; returns its path.
  std::string writeFile(const std::string &Name, const std::string &Text) const;
  /// Returns the configuration version of each connected host, as reported by
  /// an entry.
  std::map<std::string, std::uint64_t> versions(unsigned Entry) const;
  /// Returns the folder of settings, data and logs.
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
  /// Returns the owner that an entry reports for a shard, if any.
  std::optional<unsigned> reportedOwner(ShardId Shard, unsigned Via) const;
  /// Returns the counts that the running service targets report at Path, summed
  /// by body.
  std::map<std::string, int> sumCounts(const std::string &Path) const;

  const SiteOptions Options;
  std::string Folder;
  std::uint16_t PlatformPort = 0;
  std::map<std::string, std::uint16_t> HttpPorts;
  std::map<std::string, Node> Nodes;
  std::map<std::string, std::unique_ptr<FaultProxy>> Proxies;
};

} // namespace tanagerlanding::test

#endif
