/// \file
/// The HTTP dialects of key-value services.
#ifndef TANAGERLANDING_KEYVALUE_KEYVALUEDIALECT_H
#define TANAGERLANDING_KEYVALUE_KEYVALUEDIALECT_H

#include "tanagerlanding/engine/HttpClient.h"
#include "tanagerlanding/keyvalue/KeyValueOperation.h"

#include <functional>

namespace tanagerlanding {

/// One call of a service, relative to its base URL.
struct KeyValueCall {
  std::string Method;
  std::string Path;
  /// Empty for calls without a body.
  std::string Body;
};

/// Translates operations into HTTP calls and their answers back.
struct KeyValueDialect {
  /// Fails with Unsupported where the service has no such operation.
  std::function<Result<KeyValueCall, PlatformError>(const KeyValueOperation &)>
      Encode;
  std::function<Result<KeyValueReply, PlatformError>(const KeyValueOperation &,
                                                     const HttpOutcome &)>
      Decode;
};

/// The etcd v3 JSON gateway: reads and conditional writes.
KeyValueDialect makeEtcdDialect();

/// Base64 as the JSON gateways use it.
std::string encodeBase64(const std::string &Bytes);
/// Returns the bytes, or nothing where Text is not base64.
std::optional<std::string> decodeBase64(const std::string &Text);

} // namespace tanagerlanding

#endif
