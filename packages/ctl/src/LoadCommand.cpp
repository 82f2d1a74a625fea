#include "Commands.h"

namespace tanagerlanding {

ExitCode runLoad(const LoadOptions &) { return ExitCode::Failure; }

} // namespace tanagerlanding
