/// \file
/// Encoding of the accepted configuration in the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_CONFIGURATIONSTORE_H
#define TANAGERLANDING_KEYVALUE_CONFIGURATIONSTORE_H

#include "tanagerlanding/basics.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// A configuration with its version and a unique mark of the write, by which a
/// writer whose answer was lost finds out whether its write took effect.
struct StoredConfiguration {
  ConfigVersion Version;
  std::string WriteId;
  std::string Document;
};

/// Returns the configuration's key under the deployment's prefix.
std::string configurationKey(const std::string &Prefix);

/// Returns a configuration as JSON text.
std::string encodeConfiguration(const StoredConfiguration &Stored);

/// Returns the decoded configuration, or nothing if Value is not valid.
std::optional<StoredConfiguration>
decodeConfiguration(const std::string &Value);

} // namespace tanagerlanding

#endif
