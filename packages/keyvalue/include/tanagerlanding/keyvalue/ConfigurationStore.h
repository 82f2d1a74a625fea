/// \file
/// The accepted configuration as a value of the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_CONFIGURATIONSTORE_H
#define TANAGERLANDING_KEYVALUE_CONFIGURATIONSTORE_H

#include "tanagerlanding/basics.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// A configuration with its version and its writer's own mark, by which a
/// writer whose answer was lost finds out whether its write took effect.
struct StoredConfiguration {
  ConfigVersion Version;
  std::string Mark;
  std::string Document;
};

/// Returns the configuration's key below the deployment's prefix.
std::string configurationKey(const std::string &Prefix);

/// Returns a configuration as the text of a value.
std::string encodeConfiguration(const StoredConfiguration &Stored);

/// Returns the configuration, or nothing where the text is not one.
std::optional<StoredConfiguration>
decodeConfiguration(const std::string &Value);

} // namespace tanagerlanding

#endif
