/// \file
/// Blocking client for reading and changing the accepted configuration.
#ifndef TANAGERLANDING_KEYVALUE_CONFIGURATIONCLIENT_H
#define TANAGERLANDING_KEYVALUE_CONFIGURATIONCLIENT_H

#include "tanagerlanding/keyvalue/ConfigurationStore.h"
#include "tanagerlanding/keyvalue/KeyValueClient.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// The accepted configuration, if any, with the revision of its key.
struct AcceptedConfiguration {
  std::optional<StoredConfiguration> Stored;
  Revision ModRevision;

  /// Returns the version, or 0 if no configuration was accepted yet.
  ConfigVersion version() const {
    return this->Stored ? this->Stored->Version : ConfigVersion();
  }
};

/// Result of an attempt to change the configuration.
enum class ChangeOutcome {
  Accepted,
  /// Another change was made concurrently; nothing was written.
  Conflict,
  /// Whether the change took effect could not be determined.
  Unknown,
};

/// Reads and changes the configuration. Each call blocks until it is answered;
/// for programs that don't run an event loop.
class ConfigurationClient {
public:
  ConfigurationClient(const std::string &Url, std::string Prefix);
  ConfigurationClient(const ConfigurationClient &) = delete;
  ConfigurationClient &operator=(const ConfigurationClient &) = delete;

  Result<AcceptedConfiguration, PlatformError> read();

  /// Makes Document the next version after Base. If an answer is lost, finds
  /// out whether the write took effect by reading back its mark.
  ChangeOutcome change(const AcceptedConfiguration &Base,
                       const std::string &Document);

private:
  /// Reads the configuration to determine how a write ended. Returns nothing
  /// if the write did not take effect or the read failed.
  std::optional<ChangeOutcome> resolve(const AcceptedConfiguration &Base,
                                       const std::string &WriteId);

  EventLoop Loop;
  KeyValueClient Client;
  const std::string Prefix;
};

} // namespace tanagerlanding

#endif
