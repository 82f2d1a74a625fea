/// \file
/// Stable hashes that are the same in every process and version.
#ifndef TANAGERLANDING_BASICS_HASHING_H
#define TANAGERLANDING_BASICS_HASHING_H

#include "tanagerlanding/basics/Ids.h"

#include <string_view>

namespace tanagerlanding {

/// Returns the 64-bit xxHash of Bytes.
std::uint64_t hashBytes(std::string_view Bytes);

/// Returns the shard of a program among ShardCount shards.
ShardId shardOf(const ProgramId &Program, std::uint32_t ShardCount);

} // namespace tanagerlanding

#endif
