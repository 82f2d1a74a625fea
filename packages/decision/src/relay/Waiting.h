/// \file
/// Turns that wait at the relay until a target has room, and their order.
#ifndef TANAGERLANDING_DECISION_RELAY_WAITING_H
#define TANAGERLANDING_DECISION_RELAY_WAITING_H

#include "RelayContext.h"

namespace tanagerlanding {

/// How urgent a request is; the most urgent first.
///
/// Only the end of a whole program counts. When more begin than the targets
/// can carry, all of them would end late if they were served in the order of
/// their arrival; so those under way are finished in time first.
enum class Urgency : std::uint8_t {
  /// Belongs to no program, or to one that is under way and in time.
  Underway,
  /// The first turn of a program that can still end in time.
  Starting,
  /// The program's time is up, or was used up by waiting.
  Late,
};

Urgency urgencyOf(const RelayState &State, const RelayCall &Call);

/// Returns whether a call that waits has waited as long as it may.
bool hasWaitedEnough(const RelayState &State, const RelayCall &Call);

/// Returns the requests per slot up to which a target may get this call.
double loadLimitOf(const RelayState &State, const RelayCall &Call);

/// Lets a call wait, unless it is the next one and there is room for it. The
/// call may be gone afterwards.
void parkCall(RelayContext &Context, RelayCall &Call);

/// Sends the most urgent calls that wait, as far as there is room, and at most
/// Most of them.
void reviewWaiting(RelayContext &Context, std::uint32_t Most);

} // namespace tanagerlanding

#endif
