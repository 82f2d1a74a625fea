/// \file
/// Calls of a key-value service.
#ifndef TANAGERLANDING_KEYVALUE_KEYVALUECLIENT_H
#define TANAGERLANDING_KEYVALUE_KEYVALUECLIENT_H

#include "tanagerlanding/keyvalue/KeyValueDialect.h"

#include <functional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Calls a key-value service in its dialect. Answers come on the loop; one
/// that is lost is reported as PlatformError, and whether a write took effect
/// is then open.
class KeyValueClient {
public:
  using ReadCallback =
      std::function<void(Result<std::vector<KeyValue>, PlatformError>)>;
  using WriteCallback = std::function<void(Result<WriteAnswer, PlatformError>)>;
  using ReplyCallback =
      std::function<void(Result<KeyValueReply, PlatformError>)>;

  /// Calls the service at Url, which speaks the etcd v3 JSON gateway.
  KeyValueClient(EventLoop &Loop, std::string Url);
  KeyValueClient(EventLoop &Loop, std::string Url, KeyValueDialect Dialect);
  KeyValueClient(const KeyValueClient &) = delete;
  KeyValueClient &operator=(const KeyValueClient &) = delete;

  /// Performs one operation.
  void call(const KeyValueOperation &Operation, ReplyCallback Done);

  /// Reads all keys that begin with Prefix.
  void readPrefix(const std::string &Prefix, ReadCallback Done);

  /// Writes a value if the key's last change is at Expected; revision 0 means
  /// that the key must be absent.
  void writeIfUnchanged(const std::string &Key, const std::string &Value,
                        Revision Expected, WriteCallback Done);

  /// Performs a conditional write.
  void write(ConditionalWrite Operation, WriteCallback Done);

  /// Returns the calls made so far.
  std::uint64_t callCount() const { return this->Calls; }

private:
  HttpClient Client;
  const std::string Url;
  const KeyValueDialect Dialect;
  std::uint64_t Calls = 0;
};

} // namespace tanagerlanding

#endif
