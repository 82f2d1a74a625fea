#include "InventoryDiff.h"

#include <iostream>
#include <map>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

Json parse(const std::string &Document) {
  const Json Parsed = Json::parse(Document, nullptr, false, true);
  return Parsed.is_object() ? Parsed : Json::object();
}

std::map<std::string, Json> hostsOf(const Json &Document) {
  std::map<std::string, Json> Hosts;
  for (const Json &Host : Document.value("hosts", Json::array()))
    Hosts[Host.value("name", "")] = Host;
  return Hosts;
}

const char *nameOf(InventoryChange::Kind ChangeKind) {
  switch (ChangeKind) {
  case InventoryChange::Kind::Added:
    return "added";
  case InventoryChange::Kind::Removed:
    return "removed";
  case InventoryChange::Kind::Changed:
    return "changed";
  }
  return "changed";
}

} // namespace

std::vector<InventoryChange> compareInventories(const std::string &Before,
                                                const std::string &After) {
  using Kind = InventoryChange::Kind;
  const Json Old = parse(Before);
  const Json New = parse(After);
  const auto OldHosts = hostsOf(Old);
  const auto NewHosts = hostsOf(New);
  std::vector<InventoryChange> Changes;
  for (const auto &[Name, Host] : OldHosts) {
    const auto Found = NewHosts.find(Name);
    if (Found == NewHosts.end())
      Changes.push_back({Kind::Removed, "host " + Name, Host.dump(), ""});
    else if (Found->second != Host)
      Changes.push_back(
          {Kind::Changed, "host " + Name, Host.dump(), Found->second.dump()});
  }
  for (const auto &[Name, Host] : NewHosts) {
    if (OldHosts.count(Name) == 0)
      Changes.push_back({Kind::Added, "host " + Name, "", Host.dump()});
  }
  for (const char *Part : {"rules", "zones"}) {
    const Json OldPart = Old.value(Part, Json::array());
    const Json NewPart = New.value(Part, Json::array());
    if (OldPart != NewPart)
      Changes.push_back({Kind::Changed, Part, OldPart.dump(), NewPart.dump()});
  }
  return Changes;
}

void printChanges(const std::vector<InventoryChange> &Changes) {
  for (const InventoryChange &Each : Changes) {
    std::cout << nameOf(Each.ChangeKind) << ' ' << Each.Subject << '\n';
    if (!Each.Before.empty())
      std::cout << "  - " << Each.Before << '\n';
    if (!Each.After.empty())
      std::cout << "  + " << Each.After << '\n';
  }
}

nlohmann::json toJson(const std::vector<InventoryChange> &Changes) {
  Json List = Json::array();
  for (const InventoryChange &Each : Changes)
    List.push_back({{"what", nameOf(Each.ChangeKind)},
                    {"where", Each.Subject},
                    {"before", Each.Before},
                    {"after", Each.After}});
  return List;
}

} // namespace tanagerlanding
