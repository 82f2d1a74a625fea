/// \file
/// A limit on the memory of one kind of data.
#ifndef TANAGERLANDING_DECISION_BYTEBUDGET_H
#define TANAGERLANDING_DECISION_BYTEBUDGET_H

#include <cstddef>
#include <limits>

namespace tanagerlanding {

/// Counts bytes that are held against a limit.
class ByteBudget {
public:
  ByteBudget() = default;
  explicit ByteBudget(std::size_t Limit) : Limit(Limit) {}

  /// Reserves bytes if they are within the limit, and returns whether they are.
  /// If nothing is reserved any number is, so that work that needs more than
  /// the limit goes on alone.
  bool reserve(std::size_t Bytes) {
    const std::size_t Left =
        this->Limit < this->Used ? 0 : this->Limit - this->Used;
    if (this->Used > 0 && Left < Bytes)
      return false;
    this->Used += Bytes;
    return true;
  }

  void release(std::size_t Bytes) { this->Used -= Bytes; }

  std::size_t used() const { return this->Used; }

private:
  std::size_t Limit = std::numeric_limits<std::size_t>::max();
  std::size_t Used = 0;
};

} // namespace tanagerlanding

#endif
