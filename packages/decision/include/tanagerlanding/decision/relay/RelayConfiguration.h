/// \file
/// The routes and services that a relay serves.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYCONFIGURATION_H
#define TANAGERLANDING_DECISION_RELAY_RELAYCONFIGURATION_H

#include "tanagerlanding/basics.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// A service and its share of a route's requests.
struct WeightedService {
  ServiceName Service;
  std::uint32_t Weight = 1;
};

/// Which requests go where, and what may be done with them.
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
  /// Whether a stream may be continued behind its last event.
  bool IsResumable = false;
  /// Whether the system adds the history of the previous turns.
  bool KeepsHistory = false;
  Milliseconds Retention{0};
  /// The longest time that a caller may be kept waiting.
  Milliseconds Timeout{0};
  /// The latency objective.
  Milliseconds Objective{0};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  /// The most targets that one caller's attempt may be sent to.
  std::uint32_t Attempts = 1;

  /// Returns whether a request may be run again after an unknown outcome.
  bool mayRepeat() const { return this->IsIdempotent || this->IsResumable; }
};

/// A service behind routes.
struct RelayService {
  ServiceName Name;
  /// Connections that one target takes from all callers together.
  std::uint32_t ConnectionLimit = 0;
  /// Tokens in each event of a stream; 0 for plain services.
  TokenCount TokensPerEvent;
};

/// What callers may send.
struct CallerLimits {
  std::size_t HeaderBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  /// For the header of a request, from its first byte.
  Milliseconds HeaderTimeout{3000};
  /// For a connection without a request.
  Milliseconds IdleTimeout{15000};
};

/// One accepted configuration.
struct RelayConfiguration {
  ConfigVersion Version;
  std::vector<RelayRoute> Routes;
  std::map<ServiceName, RelayService> Services;
  CallerLimits Limits;
};

/// Returns the route of a host with the longest prefix that begins the path,
/// or null.
const RelayRoute *findRoute(const RelayConfiguration &Configuration,
                            const std::string &Host, const std::string &Path);

} // namespace tanagerlanding

#endif
