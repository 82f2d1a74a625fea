#include "tanagerlanding/settings/NodeSettings.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <boost/asio/ip/address.hpp>

#include <filesystem>

namespace tanagerlanding {

namespace {

/// How many of the largest requests all callers may have at a time by default.
constexpr std::int64_t AllRequestsPerRequest = 16;

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxMillis = 86400000;

/// Reads and validates one settings document.
class SettingsChecker {
public:
  SettingsChecker(FaultList &Faults, const std::string &File)
      : Faults(Faults), File(File) {}

  NodeSettings check(const nlohmann::json &Document) {
    ObjectReader Reader(Document, "", this->Faults);
    this->Settings.Host = HostId(Reader.requireText("host"));
    this->Settings.Listen = this->address(Reader, "listen");
    this->Settings.TraceFile = Reader.text("trace_file", "");
    this->readInventoryFile(Reader);
    this->readLimits(Reader);
    if (this->isTarget())
      this->readTarget(Reader);
    else
      this->readEntry(Reader);
    Reader.finish();
    this->checkHost();
    return std::move(this->Settings);
  }

private:
  ListenAddress address(ObjectReader &Reader, const char *Field) {
    ListenAddress Read;
    const nlohmann::json *Value = Reader.object(Field);
    if (!Value) {
      this->Faults.add(Reader.pathOf(Field), "an address and a port");
      return Read;
    }
    ObjectReader Inner(*Value, Reader.pathOf(Field), this->Faults);
    Read.Address = Inner.requireText("address");
    Read.Port =
        static_cast<std::uint16_t>(Inner.requireInteger("port", 0, MaxPort));
    Inner.finish();
    boost::system::error_code Error;
    boost::asio::ip::make_address(Read.Address, Error);
    if (Error && !Read.Address.empty())
      this->Faults.add(Inner.pathOf("address"), "an IP address");
    return Read;
  }

  void readInventoryFile(ObjectReader &Reader) {
    const std::string Name = Reader.requireText("inventory");
    if (Name.empty())
      return;
    const auto Folder = std::filesystem::path(this->File).parent_path();
    CheckedInventory Read = readInventory((Folder / Name).string());
    if (Read) {
      this->Settings.InitialInventory = Read.value();
      return;
    }
    for (const SettingsFault &Fault : Read.error())
      this->Faults.Faults.push_back(Fault);
  }

  bool isTarget() const {
    const auto Host =
        this->Settings.InitialInventory.Hosts.find(this->Settings.Host);
    return Host != this->Settings.InitialInventory.Hosts.end() &&
           Host->second.Role == HostRole::Target;
  }

  Milliseconds millis(ObjectReader &Reader, const char *Field,
                      Milliseconds Default) {
    return Milliseconds(Reader.integer(Field, 1, MaxMillis, Default.count()));
  }

  void readLimits(ObjectReader &Reader) {
    NodeSettings &Into = this->Settings;
    Into.PrefixRetention =
        this->millis(Reader, "prefix_hold_ms", Into.PrefixRetention);
    Into.PrefixLease =
        this->millis(Reader, "prefix_lease_ms", Into.PrefixLease);
    Into.ProgramIdleTimeout =
        this->millis(Reader, "program_idle_ms", Into.ProgramIdleTimeout);
    Into.DrainTimeout =
        this->millis(Reader, "drain_limit_ms", Into.DrainTimeout);
  }

  void readTarget(ObjectReader &Reader) {
    this->Settings.TargetUrl = Reader.requireText("target_url");
  }

  void readEntry(ObjectReader &Reader) {
    NodeSettings &Into = this->Settings;
    Into.Http = this->address(Reader, "http");
    // Has no effect since one thread serves all callers.
    Reader.integer("http_threads", 1, 64, 1);
    Into.MaxHeaderBytes = static_cast<std::uint32_t>(
        Reader.integer("max_header_bytes", 1024, 1 << 24, Into.MaxHeaderBytes));
    Into.MaxRequestBytes = static_cast<std::uint32_t>(Reader.integer(
        "max_request_bytes", 1024, 1 << 30, Into.MaxRequestBytes));
    Into.AllRequestsBytes = static_cast<std::uint64_t>(
        Reader.integer("all_requests_bytes", 1024, std::int64_t{1} << 40,
                       AllRequestsPerRequest * Into.MaxRequestBytes));
    Into.ShardCount = static_cast<std::uint32_t>(
        Reader.integer("shards", 1, 65536, Into.ShardCount));
    Into.DataFolder = Reader.text("data_folder", "");
    Into.RoutingPolicyName =
        Reader.choice("routing", {"least_expected_finish", "round_robin",
                                  "least_requests", "prefix_affinity"});
    this->readPlatform(Reader);
    const bool Clashes = Into.Http.Port != 0 &&
                         Into.Http.Port == Into.Listen.Port &&
                         Into.Http.Address == Into.Listen.Address;
    if (Clashes)
      this->Faults.add("/http/port",
                       "an address and port other than those of /listen");
  }

  void readPlatform(ObjectReader &Reader) {
    const nlohmann::json *Value = Reader.object("platform");
    if (!Value) {
      this->Faults.add("/platform", "the key-value service's URL and prefix");
      return;
    }
    ObjectReader Inner(*Value, "/platform", this->Faults);
    this->Settings.PlatformUrl = Inner.requireText("url");
    this->Settings.PlatformPrefix = Inner.requireText("prefix");
    Inner.finish();
  }

  void checkHost() {
    const auto &Hosts = this->Settings.InitialInventory.Hosts;
    const auto Host = Hosts.find(this->Settings.Host);
    if (!this->Settings.Host.Value.empty() && !Hosts.empty() &&
        Host == Hosts.end())
      this->Faults.add("/host", "a host of the inventory");
    if (Host != Hosts.end() && Host->second.HasDataFolder &&
        this->Settings.DataFolder.empty())
      this->Faults.add("/data_folder",
                       "a folder, as the inventory gives this host one");
  }

  FaultList &Faults;
  const std::string File;
  NodeSettings Settings;
};

} // namespace

CheckedSettings readNodeSettings(const std::string &Path) {
  FaultList Faults{Path, {}};
  const auto Text = readFile(Path, Faults);
  if (!Text)
    return Faults.Faults;
  const auto Json = parseDocument(*Text, Faults);
  if (!Json)
    return Faults.Faults;
  NodeSettings Found = SettingsChecker(Faults, Path).check(*Json);
  if (!Faults.Faults.empty())
    return Faults.Faults;
  return Found;
}

} // namespace tanagerlanding
