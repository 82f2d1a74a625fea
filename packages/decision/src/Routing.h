/// \file
/// Choice of the target for an attempt.
#ifndef TANAGERLANDING_DECISION_ROUTING_H
#define TANAGERLANDING_DECISION_ROUTING_H

#include "EntryContext.h"

#include <optional>

namespace tanagerlanding {

/// The properties of a call on which the choice of its target depends.
struct RoutingRequest {
  ServiceName Service;
  /// The target that holds the agent's prefix, empty if none does.
  HostId PrefixTarget;
  std::size_t PrefixBytes = 0;
  /// Targets at which the call has already been tried.
  std::set<HostId> TriedTargets;
};

/// The chosen target, or the reason why none is available.
struct RoutingChoice {
  std::optional<HostId> Target;
  CallError Reason = CallError::NoTarget;
};

/// Returns the target for an attempt according to the configured policy.
RoutingChoice chooseTarget(EntryState &State, const RoutingRequest &Request);

} // namespace tanagerlanding

#endif
