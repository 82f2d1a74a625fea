/// \file
/// Rows of the shard table as values of the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_SHARDTABLESTORE_H
#define TANAGERLANDING_KEYVALUE_SHARDTABLESTORE_H

#include "tanagerlanding/decision/ShardTable.h"
#include "tanagerlanding/keyvalue/KeyValueClient.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// Returns a shard's key below the deployment's prefix.
std::string shardKey(const std::string &Prefix, ShardId Shard);

/// Returns the shard that a key is of, or nothing if it is of none.
std::optional<ShardId> shardOfKey(const std::string &Prefix,
                                  const std::string &Key);

/// Returns a row as the text of a value.
std::string encodeShardEntry(const ShardEntry &Entry);

/// Returns the row, or nothing where the text is not one.
std::optional<ShardEntry> decodeShardEntry(const std::string &Value);

} // namespace tanagerlanding

#endif
