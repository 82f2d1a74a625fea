#include "tanagerlanding/keyvalue/LedgerStore.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <limits>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t MaxPort = 65535;
/// Far above any deployment; one more does not wrap.
constexpr std::int64_t MaxToleratedFailures = 1000;
/// One more does not wrap.
constexpr std::int64_t MaxViewVersion =
    std::numeric_limits<std::int64_t>::max();

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

bool isIpAddress(const std::string &Text) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Text, Error);
  return !Error;
}

LedgerMember parseMember(const Json &Object, FaultList &Faults) {
  ObjectReader Reader(Object, "", Faults);
  LedgerMember Member;
  Member.Holder = HolderId(Reader.requireText("holder"));
  Member.Host = HostId(Reader.requireText("host"));
  Member.Address = Reader.requireText("address");
  if (!isIpAddress(Member.Address))
    Faults.add(Reader.pathOf("address"), "an IP address");
  Member.Port =
      static_cast<std::uint16_t>(Reader.requireInteger("port", 1, MaxPort));
  Member.Zone = ZoneId(Reader.text("zone", ""));
  return Member;
}

/// Parses a list of members. One that is listed twice would count twice in a
/// quorum.
std::vector<LedgerMember> parseMembers(const Json *List, FaultList &Faults) {
  std::vector<LedgerMember> Members;
  if (!List) {
    Faults.add("", "lists of members");
    return Members;
  }
  for (const Json &Each : *List) {
    const LedgerMember Member = parseMember(Each, Faults);
    if (containsHolder(Members, Member.Holder))
      Faults.add("", "no member twice");
    if (Faults.isFull())
      break;
    Members.push_back(Member);
  }
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
  FaultList Faults;
  const auto Object = parseDocument(Text, Faults);
  if (!Object)
    return std::nullopt;
  ObjectReader Reader(*Object, "", Faults);
  LedgerView View;
  View.Version = ViewVersion(static_cast<std::uint64_t>(
      Reader.requireInteger("version", 1, MaxViewVersion)));
  View.ToleratedFailures = static_cast<std::uint32_t>(
      Reader.requireInteger("tolerated", 0, MaxToleratedFailures));
  View.Current = parseMembers(Reader.array("current"), Faults);
  View.Next = parseMembers(Reader.array("next"), Faults);
  if (View.Current.empty() || !Faults.Faults.empty())
    return std::nullopt;
  return View;
}

std::string encodeLedgerMember(const LedgerMember &Member) {
  return toJson(Member).dump();
}

std::optional<LedgerMember> decodeLedgerMember(const std::string &Text) {
  FaultList Faults;
  const auto Object = parseDocument(Text, Faults);
  if (!Object)
    return std::nullopt;
  const LedgerMember Member = parseMember(*Object, Faults);
  if (!Faults.Faults.empty())
    return std::nullopt;
  return Member;
}

std::optional<ViewVersion> decodeSynced(const std::string &Text) {
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Version);
  const bool IsWhole = Parsed.ec == std::errc() && Parsed.ptr == End;
  if (!IsWhole || Version > MaxViewVersion)
    return std::nullopt;
  return ViewVersion(Version);
}

} // namespace tanagerlanding
