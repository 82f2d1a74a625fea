/// \file
/// The HTTP dialects of key-value services.
#ifndef TANAGERLANDING_KEYVALUE_KEYVALUEDIALECT_H
#define TANAGERLANDING_KEYVALUE_KEYVALUEDIALECT_H

#include "tanagerlanding/engine/HttpClient.h"
#include "tanagerlanding/keyvalue/KeyValueOperation.h"

#include <functional>

namespace tanagerlanding {

/// An HTTP call to the service.
struct KeyValueCall {
  std::string Method;
  /// Path and query, relative to the service's base URL.
  std::string Path;
  /// Empty for calls without a body.
  std::string Body;
};

/// Encodes operations as HTTP calls and decodes their answers.
struct KeyValueDialect {
  /// Fails with Unsupported if the dialect lacks the operation.
  std::function<Result<KeyValueCall, PlatformError>(const KeyValueOperation &)>
      Encode;
  std::function<Result<KeyValueReply, PlatformError>(const KeyValueOperation &,
                                                     const HttpOutcome &)>
      Decode;
};

/// Returns the dialect of the etcd v3 JSON gateway. It supports only reads and
/// conditional writes.
KeyValueDialect makeEtcdDialect();

/// Returns Bytes in padded base64, as the JSON gateways use it.
std::string encodeBase64(const std::string &Bytes);
/// Returns the decoded bytes, or nothing if Text is not valid base64.
std::optional<std::string> decodeBase64(const std::string &Text);

} // namespace tanagerlanding

#endif
