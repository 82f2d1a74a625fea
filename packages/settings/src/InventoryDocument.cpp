#include "tanagerlanding/settings/InventoryDocument.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace tanagerlanding {

namespace {

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxCapacity = 4096;

/// Reads and validates one inventory document.
class InventoryChecker {
public:
  explicit InventoryChecker(FaultList &Faults) : Faults(Faults) {}

  Inventory check(const nlohmann::json &Document) {
    ObjectReader Reader(Document, "", this->Faults);
    this->readZones(Reader);
    this->readHosts(Reader);
    this->readRules(Reader);
    Reader.finish();
    this->checkZonesUsed();
    this->checkRulesSatisfiable();
    return std::move(this->Result);
  }

private:
  void readZones(ObjectReader &Reader) {
    const nlohmann::json *List = Reader.array("zones");
    if (!List) {
      this->Faults.add("/zones", "a list of availability zones");
      return;
    }
    for (std::size_t Index = 0; Index < List->size(); ++Index) {
      const nlohmann::json &Zone = (*List)[Index];
      if (Zone.is_string())
        this->Zones.push_back(ZoneId(Zone.get<std::string>()));
      else
        this->Faults.add("/zones/" + std::to_string(Index), "a string");
    }
  }

  void readHosts(ObjectReader &Reader) {
    const nlohmann::json *List = Reader.array("hosts");
    if (!List) {
      this->Faults.add("/hosts", "a list of hosts");
      return;
    }
    for (std::size_t Index = 0; Index < List->size(); ++Index)
      this->readHost((*List)[Index], "/hosts/" + std::to_string(Index));
  }

  void readHost(const nlohmann::json &Value, const std::string &Path) {
    ObjectReader Reader(Value, Path, this->Faults);
    HostSpec Host;
    Host.Name = HostId(Reader.requireText("name"));
    Host.Zone = ZoneId(Reader.requireText("zone"));
    const std::string Role = Reader.choice("role", {"target", "entry"});
    Host.Role = Role == "entry" ? HostRole::Entry : HostRole::Target;
    Host.Address = Reader.requireText("address");
    Host.Port =
        static_cast<std::uint16_t>(Reader.requireInteger("port", 1, MaxPort));
    if (Host.Role == HostRole::Entry) {
      Host.HasDataFolder = Reader.boolean("data_folder", false);
    } else {
      Host.Service = ServiceName(Reader.requireText("service"));
      Host.Kind = Reader.choice("kind", {"engine", "service"}) == "engine"
                      ? TargetKind::Engine
                      : TargetKind::Service;
      Host.Capacity = static_cast<std::uint32_t>(
          Reader.integer("capacity", 1, MaxCapacity, 8));
    }
    Host.IsDrained = Reader.boolean("drained", false);
    // Free text for operators, such as the hardware model; not evaluated.
    Reader.text("note", "");
    Reader.finish();
    this->checkHost(Host, Path);
    this->Result.Hosts.emplace(Host.Name, Host);
  }

  void checkHost(const HostSpec &Host, const std::string &Path) {
    if (this->Result.Hosts.count(Host.Name) > 0)
      this->Faults.add(Path + "/name", "a unique host name");
    boost::system::error_code Error;
    boost::asio::ip::make_address(Host.Address, Error);
    if (Error)
      this->Faults.add(Path + "/address", "an IP address");
    if (std::find(this->Zones.begin(), this->Zones.end(), Host.Zone) ==
        this->Zones.end())
      this->Faults.add(Path + "/zone", "a zone listed in /zones");
    for (const auto &[Name, Other] : this->Result.Hosts) {
      if (Other.Address == Host.Address && Other.Port == Host.Port &&
          Name != Host.Name)
        this->Faults.add(Path + "/port",
                         "a combination of address and port that no other "
                         "host has");
    }
  }

  void readRules(ObjectReader &Reader) {
    const nlohmann::json *List = Reader.array("rules");
    if (!List)
      return;
    for (std::size_t Index = 0; Index < List->size(); ++Index)
      this->readRule((*List)[Index], "/rules/" + std::to_string(Index));
  }

  void readRule(const nlohmann::json &Value, const std::string &Path) {
    ObjectReader Reader(Value, Path, this->Faults);
    ZoneRule Rule;
    Rule.Service = ServiceName(Reader.requireText("service"));
    const nlohmann::json *List = Reader.array("zones");
    if (!List)
      this->Faults.add(Path + "/zones", "a list of availability zones");
    for (std::size_t Index = 0; List && Index < List->size(); ++Index) {
      const nlohmann::json &Zone = (*List)[Index];
      if (Zone.is_string())
        Rule.Zones.push_back(ZoneId(Zone.get<std::string>()));
      else
        this->Faults.add(Path + "/zones/" + std::to_string(Index), "a string");
    }
    Reader.finish();
    this->Result.Rules.push_back(Rule);
  }

  void checkZonesUsed() {
    for (std::size_t Index = 0; Index < this->Zones.size(); ++Index) {
      const auto &Hosts = this->Result.Hosts;
      if (std::none_of(Hosts.begin(), Hosts.end(), [&](const auto &Item) {
            return Item.second.Zone == this->Zones[Index];
          }))
        this->Faults.add("/zones/" + std::to_string(Index),
                         "a zone with at least one host");
    }
  }

  void checkRulesSatisfiable() {
    for (std::size_t Index = 0; Index < this->Result.Rules.size(); ++Index) {
      const ServiceName &Service = this->Result.Rules[Index].Service;
      const auto &Hosts = this->Result.Hosts;
      if (std::none_of(Hosts.begin(), Hosts.end(), [&](const auto &Item) {
            return Item.second.Role == HostRole::Target &&
                   Item.second.Service == Service &&
                   this->Result.isAllowed(Item.second);
          }))
        this->Faults.add("/rules/" + std::to_string(Index),
                         "a rule that at least one host of the service meets");
    }
  }

  FaultList &Faults;
  std::vector<ZoneId> Zones;
  Inventory Result;
};

} // namespace

CheckedInventory parseInventory(const std::string &Document,
                                const std::string &Name) {
  FaultList Faults{Name, {}};
  const auto Json = parseDocument(Document, Faults);
  if (!Json)
    return Faults.Faults;
  Inventory Found = InventoryChecker(Faults).check(*Json);
  if (!Faults.Faults.empty())
    return Faults.Faults;
  Found.Document = Document;
  return Found;
}

CheckedInventory readInventory(const std::string &Path) {
  FaultList Faults{Path, {}};
  const auto Text = readFile(Path, Faults);
  if (!Text)
    return Faults.Faults;
  return parseInventory(*Text, Path);
}

} // namespace tanagerlanding
