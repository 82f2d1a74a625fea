/// \file
/// Tracks the prefixes that a sidecar's target holds, and their leases.
#ifndef TANAGERLANDING_DECISION_SIDECARPREFIXES_H
#define TANAGERLANDING_DECISION_SIDECARPREFIXES_H

#include "tanagerlanding/decision/SidecarReducer.h"

#include <string>
#include <vector>

namespace tanagerlanding {

/// Tracks the prefixes held for each owner. A prefix that no owner requests any
/// more is released after a lease.
class SidecarPrefixes {
public:
  SidecarPrefixes(SidecarState &State, std::vector<SidecarEffect> &Effects)
      : State(State), Effects(Effects) {}

  /// Marks the prefix that a starting attempt creates or uses as held.
  void hold(SidecarAttempt &Attempt);

  /// Starts a lease for the prefix of an attempt that ended without an answer,
  /// if the attempt created it. Its owner assumes that the prefix was never
  /// created here and will not request its release.
  void leaseIfNew(const SidecarAttempt &Attempt);

  /// Starts a lease for prefixes that the target holds but that are not tracked
  /// here.
  void leaseUntracked(const std::vector<std::string> &Held);

  /// Keeps prefixes that an owner still needs, and ends their lease.
  void keep(ConnectionId Owner, const std::vector<std::string> &Names);

  /// Releases prefixes that an owner no longer needs.
  void release(const std::vector<std::string> &Names);

  /// Starts a lease for the prefixes of an owner that has disconnected.
  void leaseAllOf(ConnectionId Owner);

  /// Releases prefixes whose lease has expired.
  void releaseExpired();

private:
  Instant leaseEnd() const;

  SidecarState &State;
  std::vector<SidecarEffect> &Effects;
};

} // namespace tanagerlanding

#endif
