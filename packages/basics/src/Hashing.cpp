#include "tanagerlanding/basics/Hashing.h"

#include <xxhash.h>

namespace tanagerlanding {

std::uint64_t hashBytes(std::string_view Bytes) {
  return XXH64(Bytes.data(), Bytes.size(), /*seed=*/0);
}

ShardId shardOf(const ProgramId &Program, std::uint32_t ShardCount) {
  return ShardId(
      static_cast<std::uint32_t>(hashBytes(Program.Value) % ShardCount));
}

} // namespace tanagerlanding
