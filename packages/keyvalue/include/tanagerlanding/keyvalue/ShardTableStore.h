/// \file
/// Encoding of the shard table's rows in the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_SHARDTABLESTORE_H
#define TANAGERLANDING_KEYVALUE_SHARDTABLESTORE_H

#include "tanagerlanding/decision/ShardTable.h"
#include "tanagerlanding/keyvalue/KeyValueClient.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// Returns a shard's key under the deployment's prefix.
std::string shardKey(const std::string &Prefix, ShardId Shard);

/// Returns the shard of a shardKey(), or nothing for other keys.
std::optional<ShardId> shardOfKey(const std::string &Prefix,
                                  const std::string &Key);

/// Returns a row as JSON text.
std::string encodeShardEntry(const ShardEntry &Entry);

/// Returns the decoded row, or nothing if Value is not valid.
std::optional<ShardEntry> decodeShardEntry(const std::string &Value);

} // namespace tanagerlanding

#endif
