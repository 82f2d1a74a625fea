#include "tanagerlanding/keyvalue/ConfigurationStore.h"

#include <nlohmann/json.hpp>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

} // namespace

std::string configurationKey(const std::string &Prefix) {
  return Prefix + "configuration";
}

std::string encodeConfiguration(const StoredConfiguration &Stored) {
  return Json({{"version", Stored.Version.Value},
               {"mark", Stored.WriteId},
               {"document", Stored.Document}})
      .dump();
}

std::optional<StoredConfiguration>
decodeConfiguration(const std::string &Value) {
  const Json Object = Json::parse(Value, nullptr, false);
  if (!Object.is_object())
    return std::nullopt;
  try {
    return StoredConfiguration{
        ConfigVersion(Object.at("version").get<std::uint64_t>()),
        Object.at("mark").get<std::string>(),
        Object.at("document").get<std::string>()};
  } catch (const Json::exception &) {
    return std::nullopt;
  }
}

} // namespace tanagerlanding
