/// \file
/// Reading and changing the accepted configuration.
#ifndef TANAGERLANDING_KEYVALUE_CONFIGURATIONCLIENT_H
#define TANAGERLANDING_KEYVALUE_CONFIGURATIONCLIENT_H

#include "tanagerlanding/keyvalue/ConfigurationStore.h"
#include "tanagerlanding/keyvalue/KeyValueClient.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// The accepted configuration, or none yet.
struct AcceptedConfiguration {
  std::optional<StoredConfiguration> Stored;
  Revision ModRevision;

  /// Returns the version, 0 if none was accepted yet.
  ConfigVersion version() const {
    return this->Stored ? this->Stored->Version : ConfigVersion();
  }
};

/// How an attempt to change the configuration ended.
enum class ChangeOutcome {
  Accepted,
  /// Another change came first; nothing was written.
  Conflict,
  /// The service does not tell whether the change took effect.
  Unknown,
};

/// Reads and changes the configuration; each call waits for its answer. For
/// programs without a loop of their own.
class ConfigurationClient {
public:
  ConfigurationClient(const std::string &Url, std::string Prefix);
  ConfigurationClient(const ConfigurationClient &) = delete;
  ConfigurationClient &operator=(const ConfigurationClient &) = delete;

  /// Returns the accepted configuration.
  Result<AcceptedConfiguration, PlatformError> read();

  /// Makes Document the next version after Base. A lost answer is resolved by
  /// reading back the mark of this change.
  ChangeOutcome change(const AcceptedConfiguration &Base,
                       const std::string &Document);

private:
  /// Returns how the write ended, as far as a read can tell, or nothing if it
  /// did not take effect.
  std::optional<ChangeOutcome> resolve(const AcceptedConfiguration &Base,
                                       const std::string &Mark);

  EventLoop Loop;
  KeyValueClient Client;
  const std::string Prefix;
};

} // namespace tanagerlanding

#endif
