/// \file
/// The routes and services that a relay serves.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYCONFIGURATION_H
#define TANAGERLANDING_DECISION_RELAY_RELAYCONFIGURATION_H

#include "tanagerlanding/basics.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerlanding {

/// A service and its weight among the services of a route.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
};

/// Selects requests by host and path prefix, and defines their services and how
/// they are handled.
struct RelayRoute {
  RouteName Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  std::vector<WeightedService> Services;
  /// Whether answers are streams of events.
  bool IsStreaming = false;
  /// Whether a request may run more than once.
  bool IsIdempotent = false;
  /// Whether an interrupted stream may be resumed after its last event.
  bool IsResumable = false;
  /// Whether the system stores turns and adds the history of the previous ones
  /// to requests.
  bool KeepsHistory = false;
  Milliseconds Retention{0};
  /// Maximum time until a caller gets its final answer.
  Milliseconds Timeout{0};
  /// The latency objective.
  Milliseconds LatencyObjective{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Whether callers need no key.
  bool IsPublic = false;
  /// Maximum number of targets at which one caller's attempt may run.
  std::uint32_t MaxAttempts = 1;

  /// Returns whether a request may be retried after an unknown outcome.
  bool isRetryable() const { return this->IsIdempotent || this->IsResumable; }
};

/// A service that routes send requests to.
struct RelayService {
  ServiceName Name;
  /// Connections that one target accepts in total, shared by all relays.
  std::uint32_t ConnectionLimit = 0;
  /// Tokens in each event of a stream; 0 for plain services.
  TokenCount TokensPerEvent;
};

/// The requests that a team may send through all relays together: a rate, and a
/// number of requests that may exceed it at once.
struct RequestQuota {
  RequestRate Rate;
  double Burst = 0;

  bool operator==(const RequestQuota &Other) const {
    return this->Rate == Other.Rate && this->Burst == Other.Burst;
  }
};

/// A team that sends requests with its keys.
struct TeamSettings {
  TeamId Team;
  /// Takes the place of the priority of routes; 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// Absent if the team has no limit.
  std::optional<RequestQuota> Quota;
};

/// Limits on callers' connections and requests.
struct CallerLimits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  /// Time to receive the header of a request, from its first byte.
  Milliseconds HeaderTimeout{3000};
  /// Time that a connection may stay open without a request.
  Milliseconds IdleTimeout{15000};
};

/// One accepted version of the configuration.
struct RelayConfiguration {
  ConfigVersion Version;
  std::vector<RelayRoute> Routes;
  std::map<ServiceName, RelayService> Services;
  CallerLimits Limits;
  /// Empty if requests need no keys.
  std::map<TeamId, TeamSettings> Teams;
  /// The teams by the value of their keys' KeyDigest.
  std::unordered_map<std::string, TeamId> TeamByKey;

  bool needsKeys() const { return !this->Teams.empty(); }
};

/// Returns the route of a host with the longest matching path prefix, or null.
const RelayRoute *findRoute(const RelayConfiguration &Configuration,
                            const std::string &Host, const std::string &Path);

} // namespace tanagerlanding

#endif
