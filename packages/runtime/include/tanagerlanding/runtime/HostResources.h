/// \file
/// What the host offers to a process whose settings state no limits.
#ifndef TANAGERLANDING_RUNTIME_HOSTRESOURCES_H
#define TANAGERLANDING_RUNTIME_HOSTRESOURCES_H

#include <cstddef>

namespace tanagerlanding {

/// Returns the host's memory in bytes.
std::size_t hostMemoryBytes();

/// Returns how many descriptors the process may open.
std::size_t descriptorLimit();

} // namespace tanagerlanding

#endif
