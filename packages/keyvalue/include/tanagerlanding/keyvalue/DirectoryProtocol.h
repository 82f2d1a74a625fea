/// \file
/// Keys and encodings of a deployment's configuration and target
/// registrations in the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_DIRECTORYPROTOCOL_H
#define TANAGERLANDING_KEYVALUE_DIRECTORYPROTOCOL_H

#include "tanagerlanding/decision/relay/RelayReducer.h"

#include <functional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// The keys of a deployment and the codecs of their values.
struct DirectoryProtocol {
  /// Key under which operators store the accepted configuration.
  std::string ConfigurationKey;
  /// Prefix of the targets' registrations; the rest of a key is the target's
  /// id.
  std::string TargetPrefix;
  /// Prefix under which operators request the retirement of hosts.
  std::string RetirementPrefix;
  /// Prefix under which the status of retiring hosts is reported.
  std::string RetirementStatusPrefix;

  std::function<Result<RelayConfiguration, std::vector<SettingsFault>>(
      const std::string &)>
      DecodeConfiguration;
  /// Returns an encoded configuration without the keys of callers, which
  /// decodes to the same; for files and for messages between processes.
  std::function<std::string(const std::string &)> RedactConfiguration;
  std::function<Result<RegisteredTarget, std::vector<SettingsFault>>(
      const TargetId &, const std::string &)>
      DecodeTarget;
  /// Returns the encoded status of a host whose retirement is in progress or
  /// completed.
  std::function<std::string(bool IsCompleted)> EncodeRetirement;

  bool isTargetKey(const std::string &Key) const {
    return Key.compare(0, this->TargetPrefix.size(), this->TargetPrefix) == 0;
  }
  bool isRetirementKey(const std::string &Key) const {
    return Key.compare(0, this->RetirementPrefix.size(),
                       this->RetirementPrefix) == 0;
  }
};

} // namespace tanagerlanding

#endif
