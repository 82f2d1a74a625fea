/// \file
/// Counts from which the rates of recent events are estimated.
#ifndef TANAGERLANDING_DECISION_DECAYINGCOUNT_H
#define TANAGERLANDING_DECISION_DECAYINGCOUNT_H

#include "tanagerlanding/basics.h"

namespace tanagerlanding {

/// Returns the factor by which counts taken at Since have decayed by Now.
double decayFactor(Instant Since, Instant Now, Milliseconds HalfLife);

/// A number of events, with exponential decay.
struct DecayingCount {
  double Value = 0;
  Instant CountedAt;

  void add(double Count, Instant Now, Milliseconds HalfLife);
  double valueAt(Instant Now, Milliseconds HalfLife) const;
  /// Returns the average number of events per second of the recent past.
  double ratePerSecond(Instant Now, Milliseconds HalfLife) const;
};

} // namespace tanagerlanding

#endif
