/// \file
/// Choice of the target for an attempt.
#ifndef TANAGERLANDING_DECISION_ROUTING_H
#define TANAGERLANDING_DECISION_ROUTING_H

#include "EntryContext.h"

#include <optional>

namespace tanagerlanding {

/// What the choice depends on beside the state.
struct RoutingRequest {
  ServiceName Service;
  /// The target that holds the agent's prefix, empty if none does.
  HostId PrefixHome;
  std::size_t PrefixBytes = 0;
  /// Targets that this call has been tried at.
  std::set<HostId> Tried;
};

/// A target, or the reason why there is none.
struct RoutingChoice {
  std::optional<HostId> Target;
  CallError Reason = CallError::NoTarget;
};

/// Returns the target for an attempt by the policy in force.
RoutingChoice chooseTarget(EntryState &State, const RoutingRequest &Request);

} // namespace tanagerlanding

#endif
