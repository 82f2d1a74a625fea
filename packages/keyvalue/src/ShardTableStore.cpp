#include "tanagerlanding/keyvalue/ShardTableStore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr const char *ShardsPrefix = "shards/";

Json encodeHolders(const std::vector<HolderRef> &Holders) {
  Json List = Json::array();
  for (const HolderRef &Each : Holders)
    List.push_back({{"holder", Each.Holder.Value}, {"host", Each.Host.Value}});
  return List;
}

std::vector<HolderRef> decodeHolders(const Json &List) {
  std::vector<HolderRef> Holders;
  for (const Json &Each : List)
    Holders.push_back(HolderRef{HolderId(Each.value("holder", "")),
                                HostId(Each.value("host", ""))});
  return Holders;
}

} // namespace

std::string shardKey(const std::string &Prefix, ShardId Shard) {
  return Prefix + ShardsPrefix + std::to_string(Shard.Value);
}

std::optional<ShardId> shardOfKey(const std::string &Prefix,
                                  const std::string &Key) {
  const std::string Start = Prefix + ShardsPrefix;
  if (Key.compare(0, Start.size(), Start) != 0)
    return std::nullopt;
  const std::string Number = Key.substr(Start.size());
  const bool IsNumber =
      !Number.empty() && Number.size() < 10 &&
      std::all_of(Number.begin(), Number.end(),
                  [](unsigned char Each) { return std::isdigit(Each); });
  if (!IsNumber)
    return std::nullopt;
  return ShardId(static_cast<std::uint32_t>(std::stoul(Number)));
}

std::string encodeShardEntry(const ShardEntry &Entry) {
  return Json({{"epoch", Entry.OwnerEpoch.Value},
               {"owner", Entry.Owner.Value},
               {"instance", Entry.OwnerInstance.Value},
               {"serving", Entry.IsServing},
               {"holders", encodeHolders(Entry.Holders)},
               {"source", encodeHolders(Entry.Source)},
               {"source_epoch", Entry.SourceEpoch.Value}})
      .dump();
}

std::optional<ShardEntry> decodeShardEntry(const std::string &Value) {
  const Json Object = Json::parse(Value, nullptr, false);
  if (!Object.is_object())
    return std::nullopt;
  try {
    ShardEntry Entry;
    Entry.OwnerEpoch = Epoch(Object.at("epoch").get<std::uint64_t>());
    Entry.Owner = HostId(Object.at("owner").get<std::string>());
    Entry.OwnerInstance = InstanceId(Object.at("instance").get<std::string>());
    Entry.IsServing = Object.at("serving").get<bool>();
    Entry.Holders = decodeHolders(Object.at("holders"));
    Entry.Source = decodeHolders(Object.at("source"));
    Entry.SourceEpoch = Epoch(Object.at("source_epoch").get<std::uint64_t>());
    return Entry;
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace tanagerlanding
