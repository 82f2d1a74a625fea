#include "tanagerlanding/decision/DecayingCount.h"

#include <cmath>

namespace tanagerlanding {

double decayFactor(Instant Since, Instant Now, Milliseconds HalfLife) {
  const auto Elapsed = static_cast<double>((Now - Since).count());
  return std::exp2(-Elapsed / static_cast<double>(HalfLife.count()));
}

void DecayingCount::add(double Count, Instant Now, Milliseconds HalfLife) {
  this->Value = this->valueAt(Now, HalfLife) + Count;
  this->CountedAt = Now;
}

double DecayingCount::valueAt(Instant Now, Milliseconds HalfLife) const {
  return this->Value * decayFactor(this->CountedAt, Now, HalfLife);
}

double DecayingCount::ratePerSecond(Instant Now, Milliseconds HalfLife) const {
  const double MeanLife =
      std::chrono::duration<double>(HalfLife).count() / std::log(2.0);
  return this->valueAt(Now, HalfLife) / MeanLife;
}

} // namespace tanagerlanding
