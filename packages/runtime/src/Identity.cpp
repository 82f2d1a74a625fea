#include "tanagerlanding/runtime/Identity.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <random>

namespace tanagerlanding {

std::string makeUniqueId() {
  return boost::uuids::to_string(boost::uuids::random_generator()());
}

std::uint64_t makeSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

} // namespace tanagerlanding
