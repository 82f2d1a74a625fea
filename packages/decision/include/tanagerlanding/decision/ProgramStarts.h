/// \file
/// The messages by which one ledger replica decides on the starts of programs
/// at a service, for all relays.
#ifndef TANAGERLANDING_DECISION_PROGRAMSTARTS_H
#define TANAGERLANDING_DECISION_PROGRAMSTARTS_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace tanagerlanding {

/// The priority of programs that can't meet their deadline any more: they start
/// after all others.
constexpr std::uint32_t OverdueStartPriority =
    std::numeric_limits<std::uint32_t>::max();

/// First turns of one priority that wait at a relay for their program to start.
struct WaitingStarts {
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::uint32_t Count = 0;
};

/// Tells the deciding replica what a relay has in progress at a service, and
/// how many programs it wants to start there.
struct ProgramStartRequest {
  ServiceName Service;
  /// When the relay sent this, on its own clock.
  Instant AskedAt;
  std::vector<WaitingStarts> Waiting;
  /// Turns that run or are queued for programs in progress, and granted starts
  /// that are not used yet.
  std::uint32_t InFlight = 0;
  /// Slots of the targets of the service that the relay may use.
  std::uint32_t Slots = 0;
  /// The load, in turns per slot, up to which programs meet their deadlines by
  /// what the relay has seen.
  double LoadLimit = 1;
  /// The Sequence of the last grant that the relay has received.
  std::uint64_t LastGrant = 0;
};

/// Answers a ProgramStartRequest.
struct ProgramStartGrant {
  ServiceName Service;
  /// AskedAt of the request.
  Instant AskedAt;
  /// Programs that the relay may start.
  std::uint32_t Count = 0;
  std::uint64_t Sequence = 0;
  /// The expected time until the next start; zero if all were granted.
  Milliseconds NextIn{0};
};

} // namespace tanagerlanding

#endif
