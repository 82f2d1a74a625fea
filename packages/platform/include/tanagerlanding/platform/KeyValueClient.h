/// \file
/// Reads and conditional writes at the platform's key-value service.
#ifndef TANAGERLANDING_PLATFORM_KEYVALUECLIENT_H
#define TANAGERLANDING_PLATFORM_KEYVALUECLIENT_H

#include "tanagerlanding/engine/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// A key with its value and the revision of its last change.
struct KeyValue {
  std::string Key;
  std::string Value;
  Revision ModRevision;
};

/// The answer to a conditional write.
struct WriteAnswer {
  /// Whether the condition held and the value was written.
  bool Succeeded = false;
  /// The revision of the service when it answered.
  Revision At;
  /// What the key holds instead, where the condition did not hold.
  std::optional<KeyValue> Present;
};

/// Calls the etcd v3 JSON gateway. Answers come on the loop; one that is lost
/// is reported as PlatformError, and whether a write took effect is then
/// open.
class KeyValueClient {
public:
  using ReadCallback =
      std::function<void(Result<std::vector<KeyValue>, PlatformError>)>;
  using WriteCallback = std::function<void(Result<WriteAnswer, PlatformError>)>;

  KeyValueClient(EventLoop &Loop, std::string Url);
  KeyValueClient(const KeyValueClient &) = delete;
  KeyValueClient &operator=(const KeyValueClient &) = delete;

  /// Reads all keys that begin with Prefix.
  void readPrefix(const std::string &Prefix, ReadCallback Done);

  /// Writes a value if the key's last change is at Expected; revision 0 means
  /// that the key must be absent.
  void writeIfUnchanged(const std::string &Key, const std::string &Value,
                        Revision Expected, WriteCallback Done);

  /// Returns the calls made so far.
  std::uint64_t callCount() const { return this->Calls; }

private:
  void call(const std::string &Path, const std::string &Body,
            HttpClient::DoneCallback Done);

  HttpClient Client;
  const std::string Url;
  std::uint64_t Calls = 0;
};

/// Base64 as the JSON gateway uses it.
std::string encodeBase64(const std::string &Bytes);
/// Returns the bytes, or nothing where Text is not base64.
std::optional<std::string> decodeBase64(const std::string &Text);

} // namespace tanagerlanding

#endif
