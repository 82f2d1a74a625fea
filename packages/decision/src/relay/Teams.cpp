#include "Teams.h"

namespace tanagerlanding {

namespace {

/// Separates the team from the id in a qualified id. Control characters are
/// valid neither in header values, from which ids come, nor in names of teams,
/// so an id without a team never equals one with a team.
constexpr char TeamSeparator = '\x1f';

std::optional<TeamId> teamOfKey(const RelayConfiguration &Configuration,
                                const CallerCredential &Credential) {
  const auto *Key = std::get_if<KeyDigest>(&Credential);
  if (!Key)
    return std::nullopt;
  const auto Found = Configuration.TeamByKey.find(Key->Value);
  if (Found == Configuration.TeamByKey.end())
    return std::nullopt;
  return Found->second;
}

RelayRefusalReason faultOf(const CallerCredential &Credential) {
  return std::holds_alternative<InvalidCredential>(Credential)
             ? RelayRefusalReason::InvalidCredential
             : RelayRefusalReason::UnknownKey;
}

} // namespace

Result<std::optional<TeamId>, RelayRefusalReason>
resolveTeam(const RelayConfiguration &Configuration, const RelayRoute &Route,
            const CallerCredential &Credential) {
  std::optional<TeamId> Team = teamOfKey(Configuration, Credential);
  if (!Team && Configuration.needsKeys() && !Route.IsPublic)
    return faultOf(Credential);
  return Team;
}

std::optional<RelayRefusalReason> credentialFaultOf(const RelayState &State,
                                                    const RelayCall &Call) {
  const RelayConfiguration &Configuration = *State.Configuration;
  const CallerCredential &Credential = Call.InboundRequest.Credential;
  const auto Team = teamOfKey(Configuration, Credential);
  // The call's records at the ledger belong to the team that it was admitted
  // for, so it may not go on for another one.
  if (Call.Team)
    return Team == Call.Team ? std::nullopt
                             : std::optional<RelayRefusalReason>(
                                   RelayRefusalReason::UnknownKey);
  if (!Team && Configuration.needsKeys() && !Call.Route.IsPublic)
    return faultOf(Credential);
  return std::nullopt;
}

std::uint32_t priorityOf(const RelayConfiguration &Configuration,
                         const RelayRoute &Route,
                         const std::optional<TeamId> &Team) {
  if (!Team)
    return Route.Priority;
  const auto Found = Configuration.Teams.find(*Team);
  return Found == Configuration.Teams.end() ? Route.Priority
                                            : Found->second.Priority;
}

std::string qualifiedId(const std::optional<TeamId> &Team,
                        const std::string &Id) {
  return Team ? Team->Value + TeamSeparator + Id : Id;
}

TurnId turnOf(const RelayCall &Call) {
  return TurnId(qualifiedId(Call.Team, Call.InboundRequest.Id.Value));
}

} // namespace tanagerlanding
