/// \file
/// Asynchronous client of a key-value service.
#ifndef TANAGERLANDING_KEYVALUE_KEYVALUECLIENT_H
#define TANAGERLANDING_KEYVALUE_KEYVALUECLIENT_H

#include "tanagerlanding/keyvalue/KeyValueDialect.h"

#include <functional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Calls a key-value service in its dialect. Callbacks run on the event loop.
/// A lost answer is reported as PlatformError; the outcome of a write is then
/// unknown.
class KeyValueClient {
public:
  using ReadCallback =
      std::function<void(Result<std::vector<KeyValue>, PlatformError>)>;
  using WriteCallback = std::function<void(Result<WriteAnswer, PlatformError>)>;
  using ReplyCallback =
      std::function<void(Result<KeyValueReply, PlatformError>)>;

  /// Connects to the service at Url with the etcd v3 JSON gateway dialect.
  KeyValueClient(EventLoop &Loop, std::string Url);
  KeyValueClient(EventLoop &Loop, std::string Url, KeyValueDialect Dialect);
  KeyValueClient(const KeyValueClient &) = delete;
  KeyValueClient &operator=(const KeyValueClient &) = delete;

  /// Performs one operation and calls Done with its result.
  void call(const KeyValueOperation &Operation, ReplyCallback Done);

  /// Reads all keys that begin with Prefix.
  void readPrefix(const std::string &Prefix, ReadCallback Done);

  /// Writes a value if the key's last change is at revision Expected; revision
  /// 0 requires that the key is absent.
  void writeIfUnchanged(const std::string &Key, const std::string &Value,
                        Revision Expected, WriteCallback Done);

  /// Performs a conditional write.
  void write(ConditionalWrite Operation, WriteCallback Done);

  /// Returns the number of HTTP calls made so far.
  std::uint64_t callCount() const { return this->Calls; }

private:
  HttpClient Client;
  const std::string Url;
  const KeyValueDialect Dialect;
  std::uint64_t Calls = 0;
};

} // namespace tanagerlanding

#endif
