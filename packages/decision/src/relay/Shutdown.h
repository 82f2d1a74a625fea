/// \file
/// Shuts a relay down within its grace period without cutting off callers.
///
/// The relay is reported as not ready first, so that load balancers can react,
/// and still takes requests meanwhile. What is not expected to end before the
/// process exits is refused at once, with the guarantee that it has not run, so
/// that the caller can send it elsewhere. At the exit every caller whose answer
/// has not begun gets a final one.
#ifndef TANAGERLANDING_DECISION_RELAY_SHUTDOWN_H
#define TANAGERLANDING_DECISION_RELAY_SHUTDOWN_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Records how long a call whose answer is complete has run at its target.
void recordRunTime(RelayState &State, const RelayCall &Call);

/// Returns whether a call that has just arrived may be admitted: the relay is
/// not shutting down, or still accepts connections, or the call's deadline is
/// before the exit.
bool mayAdmitBeforeExit(const RelayState &State, const RelayCall &Call);

/// Returns whether a call that is sent now is expected to end before the exit.
bool mayEndBeforeExit(const RelayState &State, const RelayCall &Call);

/// Advances the shutdown: refuses calls that are not sent yet and can't end in
/// time, accepts no new connections after DrainAcceptPeriod, and exits once
/// nothing is in flight, or after DrainTimeout.
void advanceShutdown(RelayContext &Context);

} // namespace tanagerlanding

#endif
