/// \file
/// The prefixes that a sidecar's target holds, and for how long.
#ifndef TANAGERLANDING_DECISION_SIDECARPREFIXES_H
#define TANAGERLANDING_DECISION_SIDECARPREFIXES_H

#include "tanagerlanding/decision/SidecarReducer.h"

#include <string>
#include <vector>

namespace tanagerlanding {

/// Holds prefixes for their owners; those that no owner asks for any more are
/// released after a lease.
class SidecarPrefixes {
public:
  SidecarPrefixes(SidecarState &State, std::vector<SidecarEffect> &Effects)
      : State(State), Effects(Effects) {}

  /// Holds the prefix that a starting attempt makes or uses.
  void hold(SidecarAttempt &Attempt);

  /// Gives one lease to the prefix of an attempt that broke off, where it was
  /// not held before. Its owner counts it as never made here, and will not ask
  /// for its release.
  void leaseFresh(const SidecarAttempt &Attempt);

  /// Gives one lease to prefixes that the target holds and nobody here knows.
  void adopt(const std::vector<std::string> &Held);

  /// Keeps prefixes that an owner still wants.
  void keep(ConnectionId Owner, const std::vector<std::string> &Names);

  /// Releases what an owner wants no more.
  void release(const std::vector<std::string> &Names);

  /// Gives one lease to the prefixes of an owner that is gone.
  void loseOwner(ConnectionId Owner);

  /// Releases prefixes whose lease is over.
  void releaseExpired();

private:
  Instant leaseEnd() const;

  SidecarState &State;
  std::vector<SidecarEffect> &Effects;
};

} // namespace tanagerlanding

#endif
