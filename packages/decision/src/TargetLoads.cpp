#include "tanagerlanding/decision/TargetLoads.h"

namespace tanagerlanding {

TargetRunKey keyOf(const TargetRun &Run) {
  return TargetRunKey{static_cast<std::uint32_t>(
      hashBytes(Run.Target.Value + '/' + std::to_string(Run.StartedAtMillis)))};
}

} // namespace tanagerlanding
