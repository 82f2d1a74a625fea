/// \file
/// Strong types for quantities.
#ifndef TANAGERLANDING_BASICS_UNITS_H
#define TANAGERLANDING_BASICS_UNITS_H

#include <chrono>
#include <cstdint>

namespace tanagerlanding {

using Milliseconds = std::chrono::milliseconds;

/// A point in time on the process's own monotonic clock; not comparable
/// between processes.
struct Instant {
  Milliseconds SinceStart{0};

  Instant operator+(Milliseconds Delta) const {
    return Instant{this->SinceStart + Delta};
  }
  Instant operator-(Milliseconds Delta) const {
    return Instant{this->SinceStart - Delta};
  }
  Milliseconds operator-(Instant Other) const {
    return this->SinceStart - Other.SinceStart;
  }
  bool operator<(Instant Other) const {
    return this->SinceStart < Other.SinceStart;
  }
  bool operator<=(Instant Other) const { return !(Other < *this); }
};

/// A number of model tokens.
struct TokenCount {
  std::uint64_t Value = 0;

  TokenCount operator+(TokenCount Other) const {
    return TokenCount{this->Value + Other.Value};
  }
  /// Returns the difference, or zero if Other is larger.
  TokenCount saturatingMinus(TokenCount Other) const {
    return TokenCount{this->Value > Other.Value ? this->Value - Other.Value
                                                : 0};
  }
  bool operator<(TokenCount Other) const { return this->Value < Other.Value; }
  bool operator==(TokenCount Other) const { return this->Value == Other.Value; }
};

/// A number of requests per second.
struct RequestRate {
  double PerSecond = 0;

  bool operator<(RequestRate Other) const {
    return this->PerSecond < Other.PerSecond;
  }
  bool operator==(RequestRate Other) const {
    return this->PerSecond == Other.PerSecond;
  }
};

} // namespace tanagerlanding

#endif
