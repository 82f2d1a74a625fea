/// \file
/// Generation of random identifiers.
#ifndef TANAGERLANDING_RUNTIME_IDENTITY_H
#define TANAGERLANDING_RUNTIME_IDENTITY_H

#include <cstdint>
#include <string>

namespace tanagerlanding {

/// Returns a random UUID in text form.
std::string makeUniqueId();

/// Returns a nondeterministic random number, such as for seeding a generator.
std::uint64_t makeSeed();

} // namespace tanagerlanding

#endif
