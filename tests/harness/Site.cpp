#include "Site.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>

namespace tanagerlanding::test {

namespace {

using Json = nlohmann::json;

constexpr unsigned ZoneCount = 3;
const char *const Zones[ZoneCount] = {"hall-concord", "hall-keene",
                                      "hall-nashua"};
constexpr unsigned ServiceCapacity = 16;
constexpr const char *OldHardwareSpeed = "0.5";
constexpr const char *Prefix = "/tanagerlanding/";

std::string loopbackUrl(std::uint16_t Port, const std::string &Path) {
  return "http://127.0.0.1:" + std::to_string(Port) + Path;
}

std::string get(std::uint16_t Port, const std::string &Path) {
  Request Call;
  Call.Url = loopbackUrl(Port, Path);
  Call.Timeout = std::chrono::seconds(2);
  const Response Result = send(Call);
  return Result.Status == 200 ? Result.Body : std::string();
}

bool isHealthy(std::uint16_t Port) { return !get(Port, "/health").empty(); }

std::string makeFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "tanagerlanding-XXXXXX")
          .string();
  if (!::mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create a temporary folder");
  return Pattern;
}

} // namespace

Site::Site(const SiteOptions &Options)
    : Options(Options), Folder(makeFolder()), PlatformPort(freePort()) {
  this->Nodes["platform"].Program = "tanagerlanding-standin-keyvalue";
  this->Nodes["platform"].Arguments = {std::to_string(this->PlatformPort)};
  this->addTargets("engine", Options.Engines, Options.EngineCapacity);
  this->addTargets("service", Options.Services, ServiceCapacity);
  for (unsigned Entry = 0; Entry < Options.Entries; ++Entry) {
    const std::string Name = entryName(Entry);
    Node &NewNode = this->Nodes[Name];
    NewNode.Program = "tanagerlandingd";
    NewNode.Arguments = {"entry", "--settings", this->Folder + "/" + Name};
    NewNode.Port = freePort();
    this->HttpPorts[Name] = freePort();
    this->Proxies[Name] = std::make_unique<FaultProxy>(NewNode.Port);
  }
  this->writeInventory();
  this->writeSettings();
  for (const auto &[Name, Each] : this->Nodes)
    this->start(Name);
  if (!this->awaitReady())
    throw std::runtime_error(
        "site did not become ready; status and log of entry-0: " +
        this->status(0) + this->log(entryName(0)));
}

Site::~Site() {
  for (auto &[Name, Each] : this->Nodes)
    Each.Process.kill();
  std::error_code Ignored;
  if (!std::getenv("TANAGERLANDING_KEEP_FOLDERS"))
    std::filesystem::remove_all(this->Folder, Ignored);
}

std::string Site::entryName(unsigned Entry) {
  return "entry-" + std::to_string(Entry);
}

void Site::addTargets(const std::string &Kind, unsigned Count, unsigned) {
  for (unsigned Number = 0; Number < Count; ++Number) {
    const std::string Name = Kind + "-" + std::to_string(Number);
    Node &Target = this->Nodes[Name + "-target"];
    Target.Program = "tanagerlanding-standin-" + Kind;
    Target.Port = freePort();
    Target.Arguments = {std::to_string(Target.Port)};
    const bool IsOld =
        this->Options.HasOldHardware && Kind == "engine" && Number % 3 == 2;
    if (IsOld)
      Target.Arguments.push_back(OldHardwareSpeed);
    this->Proxies[Name + "-target"] = std::make_unique<FaultProxy>(Target.Port);
    Node &Sidecar = this->Nodes[Name];
    Sidecar.Program = "tanagerlandingd";
    Sidecar.Arguments = {"sidecar", "--settings", this->Folder + "/" + Name};
    Sidecar.Port = freePort();
    this->Proxies[Name] = std::make_unique<FaultProxy>(Sidecar.Port);
  }
}

void Site::writeInventory() {
  Json Hosts = Json::array();
  std::set<std::string> UsedZones;
  unsigned Index = 0;
  for (const auto &[Name, Each] : this->Nodes) {
    if (Each.Program != "tanagerlandingd")
      continue;
    const bool IsEntry = this->HttpPorts.count(Name) > 0;
    Json Host = {{"name", Name},
                 {"address", "127.0.0.1"},
                 {"port", this->proxy(Name).port()},
                 {"role", IsEntry ? "entry" : "target"}};
    if (IsEntry) {
      const unsigned Number =
          static_cast<unsigned>(std::stoul(Name.substr(Name.find('-') + 1)));
      Host["zone"] = Zones[Number % ZoneCount];
      Host["data_folder"] = true;
    } else {
      const bool IsEngine = Name.compare(0, 6, "engine") == 0;
      Host["zone"] = Zones[Index++ % ZoneCount];
      Host["service"] = IsEngine ? "trail-llm" : "cache-app";
      Host["kind"] = IsEngine ? "engine" : "service";
      Host["capacity"] =
          IsEngine ? this->Options.EngineCapacity : ServiceCapacity;
    }
    UsedZones.insert(Host["zone"].get<std::string>());
    Hosts.push_back(Host);
  }
  std::ofstream(this->Folder + "/inventory.json")
      << Json({{"zones", UsedZones}, {"hosts", Hosts}}).dump(2);
}

void Site::writeSettings() {
  for (const auto &[Name, Each] : this->Nodes) {
    if (Each.Program != "tanagerlandingd")
      continue;
    Json Settings = {
        {"host", Name},
        {"listen", {{"address", "127.0.0.1"}, {"port", Each.Port}}},
        {"inventory", "inventory.json"},
        {"prefix_lease_ms", this->Options.PrefixLeaseMillis},
        {"trace_file", this->Folder + "/" + Name + ".spans"}};
    const auto Http = this->HttpPorts.find(Name);
    if (Http != this->HttpPorts.end()) {
      Settings["http"] = {{"address", "127.0.0.1"}, {"port", Http->second}};
      Settings["platform"] = {{"url", loopbackUrl(this->PlatformPort, "")},
                              {"prefix", Prefix}};
      Settings["data_folder"] = this->Folder + "/" + Name + ".data";
      Settings["shards"] = this->Options.Shards;
      Settings["program_idle_ms"] = this->Options.ProgramIdleMillis;
      Settings["prefix_hold_ms"] = this->Options.PrefixHoldMillis;
      Settings["routing"] = this->Options.Routing;
      if (this->Options.MaxRequestBytes > 0)
        Settings["max_request_bytes"] = this->Options.MaxRequestBytes;
    } else {
      Settings["target_url"] =
          loopbackUrl(this->Proxies.at(Name + "-target")->port(), "");
    }
    std::ofstream(this->Folder + "/" + Name) << Settings.dump(2);
  }
}

void Site::start(const std::string &Name) {
  Node &Each = this->Nodes.at(Name);
  const bool IsEntry = this->HttpPorts.count(Name) > 0;
  const ScopedDescriptorLimit Limit(IsEntry ? this->Options.EntryDescriptors
                                            : 0);
  Each.Process = ChildProcess(Each.Program, Each.Arguments,
                              this->Folder + "/" + Name + ".log");
}

void Site::restart(const std::string &Name) {
  this->process(Name).kill();
  this->start(Name);
}

void Site::deleteDataFolder(const std::string &Name) {
  std::filesystem::remove_all(this->Folder + "/" + Name + ".data");
}

std::uint16_t Site::httpPort(unsigned Entry) const {
  return this->HttpPorts.at(entryName(Entry));
}

ChildProcess &Site::process(const std::string &Name) {
  return this->Nodes.at(Name).Process;
}

FaultProxy &Site::proxy(const std::string &Name) {
  return *this->Proxies.at(Name);
}

std::uint16_t Site::portOf(const std::string &Name) const {
  return this->Nodes.at(Name).Port;
}

bool Site::awaitReady() {
  return waitFor([&] {
    for (const auto &[Name, Each] : this->Nodes) {
      if (!Each.Process.isRunning())
        continue;
      const auto Http = this->HttpPorts.find(Name);
      if (Http != this->HttpPorts.end() && get(Http->second, "/readyz").empty())
        return false;
      const bool IsTarget = Name.find("-target") != std::string::npos;
      if (IsTarget && !isHealthy(Each.Port))
        return false;
      if (Http == this->HttpPorts.end())
        continue;
      // Every entry must have a connection to every running host, and a health
      // report of every running target.
      const Json Status = Json::parse(get(Http->second, "/v1/status"));
      for (const Json &Host : Status["hosts"]) {
        const std::string HostName = Host["host"];
        if (!this->Nodes.at(HostName).Process.isRunning())
          continue;
        if (!Host["connected"] || !Host.value("healthy", true))
          return false;
        const bool IsUnreported =
            this->HttpPorts.count(HostName) == 0 && !Host.contains("healthy");
        if (IsUnreported)
          return false;
      }
    }
    return true;
  });
}

std::string Site::status(unsigned Entry) const {
  return get(this->httpPort(Entry), "/v1/status");
}

std::optional<unsigned> Site::reportedOwner(ShardId Shard, unsigned Via) const {
  const Json Status = Json::parse(this->status(Via), nullptr, false);
  if (!Status.is_object())
    return std::nullopt;
  for (const Json &Each : Status["shards"]) {
    if (Each["shard"] != Shard.Value)
      continue;
    const std::string Owner = Each["owner"];
    const std::size_t Dash = Owner.find('-');
    if (Dash == std::string::npos)
      return std::nullopt;
    return static_cast<unsigned>(std::stoul(Owner.substr(Dash + 1)));
  }
  return std::nullopt;
}

unsigned Site::ownerOf(const std::string &Program, unsigned Via) const {
  const ShardId Shard = shardOf(ProgramId(Program), this->Options.Shards);
  const std::optional<unsigned> Owner = this->reportedOwner(Shard, Via);
  if (!Owner)
    throw std::runtime_error("no owner reported for the program's shard");
  return *Owner;
}

unsigned Site::awaitOwnerOf(const std::string &Program) const {
  const ShardId Shard = shardOf(ProgramId(Program), this->Options.Shards);
  std::optional<unsigned> Owner;
  const bool IsAgreed = waitFor([&] {
    Owner = this->reportedOwner(Shard, 0);
    for (unsigned Via = 1; Owner && Via < this->Options.Entries; ++Via) {
      if (this->reportedOwner(Shard, Via) != Owner)
        return false;
    }
    return Owner.has_value();
  });
  if (!IsAgreed)
    throw std::runtime_error("entries report different owners of the program");
  return *Owner;
}

std::map<std::string, int> Site::sumCounts(const std::string &Path) const {
  std::map<std::string, int> Total;
  for (const auto &[Name, Each] : this->Nodes) {
    if (Each.Program != "tanagerlanding-standin-service" ||
        !Each.Process.isRunning())
      continue;
    const Json Counts = Json::parse(get(Each.Port, Path), nullptr, false);
    if (!Counts.is_object())
      continue;
    for (const auto &[Body, Count] : Counts.items())
      Total[Body] += Count.get<int>();
  }
  return Total;
}

std::map<std::string, int> Site::executions() const {
  return this->sumCounts("/executions");
}

bool Site::awaitStart(const std::string &Body) const {
  return waitFor([&] { return this->sumCounts("/starts")[Body] > 0; });
}

std::uint16_t Site::targetPort(const std::string &Name) const {
  return this->portOf(Name + "-target");
}

std::string Site::queryTarget(const std::string &Name,
                              const std::string &Path) const {
  return get(this->portOf(Name + "-target"), Path);
}

void Site::setPlatformMode(const std::string &Mode) const {
  Request Call;
  Call.Method = "POST";
  Call.Url = loopbackUrl(this->PlatformPort, "/control");
  Call.Body = Json({{"mode", Mode}}).dump();
  send(Call);
}

std::uint64_t Site::platformCallCount() const {
  return Json::parse(get(this->PlatformPort, "/control"))["calls"];
}

int Site::runOperatorCommand(const std::vector<std::string> &Arguments) const {
  std::vector<std::string> All = Arguments;
  All.insert(
      All.begin() + 1,
      {"--platform", loopbackUrl(this->PlatformPort, ""), "--prefix", Prefix});
  ChildProcess Command("tanagerlanding", All, this->Folder + "/operator.log");
  return Command.awaitExit(std::chrono::seconds(60));
}

std::vector<std::string> Site::entryUrls() const {
  std::vector<std::string> Urls;
  for (const auto &[Name, Port] : this->HttpPorts)
    Urls.push_back(loopbackUrl(Port, ""));
  return Urls;
}

std::string Site::inventory() const {
  std::ostringstream Text;
  Text << std::ifstream(this->Folder + "/inventory.json").rdbuf();
  return Text.str();
}

std::string Site::writeFile(const std::string &Name,
                            const std::string &Text) const {
  const std::string Path = this->Folder + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

std::map<std::string, std::uint64_t> Site::versions(unsigned Entry) const {
  std::map<std::string, std::uint64_t> Versions;
  const Json Status = Json::parse(this->status(Entry), nullptr, false);
  if (!Status.is_object())
    return Versions;
  for (const Json &Host : Status["hosts"]) {
    if (Host["connected"].get<bool>())
      Versions[Host["host"]] = Host["version"];
  }
  return Versions;
}

std::string Site::log(const std::string &Name) const {
  std::ostringstream Text;
  Text << std::ifstream(this->Folder + "/" + Name + ".log").rdbuf();
  return Text.str();
}

} // namespace tanagerlanding::test
