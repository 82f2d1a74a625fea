#include "tanagerlanding/runtime/HostResources.h"

#include <sys/resource.h>
#include <unistd.h>

namespace tanagerlanding {

namespace {

/// Used if the system does not tell.
constexpr std::size_t FallbackMemoryBytes = 64 * 1024 * 1024;
constexpr std::size_t FallbackDescriptors = 1024;

} // namespace

std::size_t hostMemoryBytes() {
  const long Pages = ::sysconf(_SC_PHYS_PAGES);
  const long PageBytes = ::sysconf(_SC_PAGESIZE);
  if (Pages <= 0 || PageBytes <= 0)
    return FallbackMemoryBytes;
  return static_cast<std::size_t>(Pages) * static_cast<std::size_t>(PageBytes);
}

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return FallbackDescriptors;
  return static_cast<std::size_t>(Limit.rlim_cur);
}

} // namespace tanagerlanding
