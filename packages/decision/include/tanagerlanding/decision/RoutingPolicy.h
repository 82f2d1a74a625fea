/// \file
/// The ways to choose a target.
#ifndef TANAGERLANDING_DECISION_ROUTINGPOLICY_H
#define TANAGERLANDING_DECISION_ROUTINGPOLICY_H

#include <cstdint>
#include <variant>

namespace tanagerlanding {

/// One target after the other.
struct RoundRobin {};
/// The target with the fewest requests in its last report.
struct LeastRequests {};
/// The target that holds the agent's prefix, else the least loaded.
struct PrefixAffinity {};
/// The target expected to finish first, with queue, own sends since the last
/// report, and prefix to recompute all in time.
struct LeastExpectedFinish {
  /// Targets weighed beside the one that holds the prefix.
  std::uint32_t Samples = 8;
};

using RoutingPolicy = std::variant<RoundRobin, LeastRequests, PrefixAffinity,
                                   LeastExpectedFinish>;

} // namespace tanagerlanding

#endif
