#include "tanagerlanding/keyvalue/LedgerStore.h"

#include <nlohmann/json.hpp>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

const std::string ViewSuffix = "view";
const std::string ReplicasPrefix = "replicas/";
const std::string SyncedPrefix = "synced/";

/// Returns the rest of a key below Subprefix, or nothing for other keys and for
/// an empty rest.
std::optional<std::string> stripPrefix(const std::string &Subprefix,
                                       const std::string &Key) {
  const std::string Start = LedgerPrefix + Subprefix;
  if (Key.compare(0, Start.size(), Start) != 0 || Key.size() == Start.size())
    return std::nullopt;
  return Key.substr(Start.size());
}

Json toJson(const LedgerMember &Member) {
  return {{"holder", Member.Holder.Value},
          {"host", Member.Host.Value},
          {"address", Member.Address},
          {"port", Member.Port},
          {"zone", Member.Zone.Value}};
}

Json toJson(const std::vector<LedgerMember> &Members) {
  Json List = Json::array();
  for (const LedgerMember &Each : Members)
    List.push_back(toJson(Each));
  return List;
}

LedgerMember parseMember(const Json &Object) {
  return LedgerMember{HolderId(Object.at("holder")), HostId(Object.at("host")),
                      Object.at("address"), Object.at("port"),
                      ZoneId(Object.at("zone"))};
}

std::vector<LedgerMember> parseMembers(const Json &List) {
  std::vector<LedgerMember> Members;
  for (const Json &Each : List)
    Members.push_back(parseMember(Each));
  return Members;
}

} // namespace

const std::string LedgerPrefix = "tanagerlanding/ledger/";

std::string ledgerViewKey() { return LedgerPrefix + ViewSuffix; }

std::string replicaKey(const HostId &Host) {
  return LedgerPrefix + ReplicasPrefix + Host.Value;
}

std::string syncedKey(const HolderId &Holder) {
  return LedgerPrefix + SyncedPrefix + Holder.Value;
}

std::optional<HostId> hostOfReplicaKey(const std::string &Key) {
  const auto Name = stripPrefix(ReplicasPrefix, Key);
  if (!Name)
    return std::nullopt;
  return HostId(*Name);
}

std::optional<HolderId> holderOfSyncedKey(const std::string &Key) {
  const auto Name = stripPrefix(SyncedPrefix, Key);
  if (!Name)
    return std::nullopt;
  return HolderId(*Name);
}

std::string encodeLedgerView(const LedgerView &View) {
  const Json Object = {{"version", View.Version.Value},
                       {"tolerated", View.ToleratedFailures},
                       {"current", toJson(View.Current)},
                       {"next", toJson(View.Next)}};
  return Object.dump();
}

std::optional<LedgerView> decodeLedgerView(const std::string &Text) {
  try {
    const Json Object = Json::parse(Text);
    LedgerView View;
    View.Version = ViewVersion(Object.at("version").get<std::uint64_t>());
    View.ToleratedFailures = Object.at("tolerated");
    View.Current = parseMembers(Object.at("current"));
    View.Next = parseMembers(Object.at("next"));
    return View;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

std::string encodeLedgerMember(const LedgerMember &Member) {
  return toJson(Member).dump();
}

std::optional<LedgerMember> decodeLedgerMember(const std::string &Text) {
  try {
    return parseMember(Json::parse(Text));
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace tanagerlanding
