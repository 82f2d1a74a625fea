/// \file
/// The policies for choosing a target.
#ifndef TANAGERLANDING_DECISION_ROUTINGPOLICY_H
#define TANAGERLANDING_DECISION_ROUTINGPOLICY_H

#include <cstdint>
#include <variant>

namespace tanagerlanding {

/// Selects the targets in turn.
struct RoundRobin {};
/// Selects the target with the fewest requests in its last report.
struct LeastRequests {};
/// Selects the target that holds the agent's prefix if it is usable, otherwise
/// the one with the fewest requests.
struct PrefixAffinity {};
/// Selects the target with the earliest expected finish time. The estimate
/// accounts for the queue, for this entry's own attempts since the last report
/// and for the time to recompute the prefix.
struct LeastExpectedFinish {
  /// Number of randomly sampled targets that are compared, in addition to the
  /// one that holds the prefix.
  std::uint32_t Samples = 8;
};

using RoutingPolicy = std::variant<RoundRobin, LeastRequests, PrefixAffinity,
                                   LeastExpectedFinish>;

} // namespace tanagerlanding

#endif
