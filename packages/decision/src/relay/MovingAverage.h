/// \file
/// Averages of measured times in which newer samples weigh more.
#ifndef TANAGERLANDING_DECISION_RELAY_MOVINGAVERAGE_H
#define TANAGERLANDING_DECISION_RELAY_MOVINGAVERAGE_H

#include "tanagerlanding/basics.h"

namespace tanagerlanding {

/// Returns a time as a fractional number of milliseconds.
inline double millisOf(Milliseconds Time) {
  return static_cast<double>(Time.count());
}

/// Moves an average towards a sample. A Mean of 0 has no samples yet and takes
/// over the first one.
inline void updateMovingAverage(double &Mean, double Sample, double Weight) {
  Mean = Mean > 0 ? Mean + Weight * (Sample - Mean) : Sample;
}

} // namespace tanagerlanding

#endif
