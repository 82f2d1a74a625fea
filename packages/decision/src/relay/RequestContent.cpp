#include "RequestContent.h"

#include "Teams.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

bool isAnswered(const RoutePaths &Paths, Fingerprint PathContent) {
  for (const auto *Generation : {&Paths.Newer, &Paths.Older}) {
    const auto Found = Generation->IsAnswered.find(PathContent);
    if (Found != Generation->IsAnswered.end())
      return Found->second;
  }
  return false;
}

std::size_t pathsOf(const PathGeneration &Generation, const TeamId &Team) {
  const auto Found = Generation.PathsOfTeam.find(Team);
  return Found == Generation.PathsOfTeam.end() ? 0 : Found->second;
}

/// Returns whether a request with the call's path was answered on its route.
bool isAnsweredByRoute(const RelayState &State, const RelayCall &Call) {
  const auto Found = State.PathsByRoute.find(Call.Route.Name);
  return Found != State.PathsByRoute.end() &&
         isAnswered(Found->second, Call.PathContent);
}

/// Returns whether the team's requests of the call's route have so many paths
/// that these tell them apart.
bool arePathsDistinct(const RelayState &State, const RelayCall &Call) {
  const auto Found = State.PathsByRoute.find(Call.Route.Name);
  if (Found == State.PathsByRoute.end())
    return false;
  const TeamId Team = Call.Team.value_or(TeamId());
  return State.Options.MinDistinctPaths <=
         pathsOf(Found->second.Newer, Team) +
             pathsOf(Found->second.Older, Team);
}

void recordPath(RelayState &State, const RelayCall &Call, bool IsAnswered) {
  RoutePaths &Paths = State.PathsByRoute[Call.Route.Name];
  const bool WasAnswered = isAnswered(Paths, Call.PathContent);
  if (State.Options.MaxPathsPerRoute / 2 <= Paths.Newer.IsAnswered.size()) {
    Paths.Older = std::move(Paths.Newer);
    Paths.Newer = PathGeneration();
  }
  const auto Entry = Paths.Newer.IsAnswered.emplace(Call.PathContent, false);
  Entry.first->second = WasAnswered || IsAnswered;
  if (Entry.second)
    ++Paths.Newer.PathsOfTeam[Call.Team.value_or(TeamId())];
}

} // namespace

std::string pathOf(const std::string &RequestTarget) {
  return RequestTarget.substr(0, RequestTarget.find('?'));
}

Fingerprint contentOf(const CallerRequest &Inbound,
                      const std::optional<TeamId> &Team) {
  return fingerprintOfContent({qualifiedId(Team, Inbound.Method), Inbound.Host,
                               Inbound.RequestTarget, Inbound.Body});
}

Fingerprint pathContentOf(const CallerRequest &Inbound,
                          const std::optional<TeamId> &Team) {
  return fingerprintOfContent({qualifiedId(Team, Inbound.Method), Inbound.Host,
                               pathOf(Inbound.RequestTarget)});
}

Fingerprint accusedContentOf(const RelayState &State, const RelayCall &Call) {
  if (isAnsweredByRoute(State, Call))
    return Call.Content;
  // Another relay may have served more paths of the route than this one.
  const bool IsPathSuspect =
      statusOf(State.Quarantine, Call.PathContent) != ContentStatus::Trusted;
  return IsPathSuspect || arePathsDistinct(State, Call) ? Call.PathContent
                                                        : Call.Content;
}

void recordRequestedPath(RelayState &State, const RelayCall &Call) {
  recordPath(State, Call, /*IsAnswered=*/false);
}

void recordAnsweredPath(RelayState &State, const RelayCall &Call) {
  recordPath(State, Call, /*IsAnswered=*/true);
}

bool isAnsweredPath(const RelayState &State, Fingerprint PathContent) {
  return std::any_of(State.PathsByRoute.begin(), State.PathsByRoute.end(),
                     [PathContent](const auto &Each) {
                       return isAnswered(Each.second, PathContent);
                     });
}

void dropPathsOfRemovedRoutes(RelayState &State) {
  if (!State.Configuration)
    return;
  const std::vector<RelayRoute> &Routes = State.Configuration->Routes;
  for (auto Each = State.PathsByRoute.begin();
       Each != State.PathsByRoute.end();) {
    const bool IsConfigured =
        std::any_of(Routes.begin(), Routes.end(), [&](const RelayRoute &Route) {
          return Route.Name == Each->first;
        });
    Each = IsConfigured ? std::next(Each) : State.PathsByRoute.erase(Each);
  }
}

} // namespace tanagerlanding
