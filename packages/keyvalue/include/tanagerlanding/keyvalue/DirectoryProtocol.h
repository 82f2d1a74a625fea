/// \file
/// How configuration and targets stand in a deployment's key-value service.
#ifndef TANAGERLANDING_KEYVALUE_DIRECTORYPROTOCOL_H
#define TANAGERLANDING_KEYVALUE_DIRECTORYPROTOCOL_H

#include "tanagerlanding/decision/relay/RelayReducer.h"

#include <functional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// The keys of a deployment and the meaning of their values.
struct DirectoryProtocol {
  /// The operators' key with the accepted configuration.
  std::string ConfigurationKey;
  /// Prefix of the targets' registrations; the rest of a key is the target.
  std::string TargetPrefix;
  /// Prefix under which operators ask for hosts to be emptied.
  std::string RetirementPrefix;
  /// Prefix under which such hosts report.
  std::string RetirementStatusPrefix;

  std::function<Result<RelayConfiguration, std::vector<SettingsFault>>(
      const std::string &)>
      DecodeConfiguration;
  std::function<Result<RegisteredTarget, std::vector<SettingsFault>>(
      const TargetId &, const std::string &)>
      DecodeTarget;
  /// Returns the report of a host that is being emptied, or is empty.
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
