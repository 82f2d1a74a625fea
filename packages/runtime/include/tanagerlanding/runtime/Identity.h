/// \file
/// New identifiers.
#ifndef TANAGERLANDING_RUNTIME_IDENTITY_H
#define TANAGERLANDING_RUNTIME_IDENTITY_H

#include <cstdint>
#include <string>

namespace tanagerlanding {

/// Returns a fresh random identifier in text form.
std::string makeUniqueId();

/// Returns a fresh random number to seed a generator.
std::uint64_t makeSeed();

} // namespace tanagerlanding

#endif
