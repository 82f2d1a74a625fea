#include "StreamOrigins.h"

#include "Directory.h"
#include "Teams.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Longer than any stream lasts.
constexpr Milliseconds FormerVersionRetention{600000};

/// Returns the version that an attempt was sent to; empty if another run with
/// another version has registered since.
SoftwareVersion versionOfAttempt(const RelayState &State,
                                 const RelayCall &Call) {
  const auto Found = State.Targets.find(Call.Target);
  if (Found == State.Targets.end() ||
      Found->second.Entry.run() == Call.SentTo.run() ||
      Found->second.Entry.Version == Call.SentTo.Version)
    return Call.SentTo.Version;
  return SoftwareVersion();
}

void reportOrigin(RelayContext &Context, const RelayCall &Call) {
  StreamStarted Started;
  Started.Attempt = turnOf(Call);
  Started.Origin = *Call.Origin;
  Started.Retention =
      Call.InboundRequest.TimeLeft.value_or(Call.Route.Timeout) +
      Context.State.Options.StreamOriginMargin;
  Context.sendToReplicas(Started);
}

} // namespace

bool isContinuation(const RelayCall &Call) {
  return Call.Route.IsStreaming && Call.InboundRequest.ResumedAttempt;
}

std::optional<CallerAttemptId> resumedAttemptOf(const RelayCall &Call) {
  if (!isContinuation(Call) ||
      Call.InboundRequest.ResumedAttempt->Value.empty())
    return std::nullopt;
  return CallerAttemptId(
      qualifiedId(Call.Team, Call.InboundRequest.ResumedAttempt->Value));
}

std::optional<StreamOrigin> soleOriginOf(const RelayState &State,
                                         const RelayCall &Call) {
  const Milliseconds Window =
      Call.Route.Timeout + State.Options.StreamOriginMargin;
  const bool HasWatched = State.IsKeyValueServiceReachable &&
                          Window <= State.Now - State.KeyValueServiceRegainedAt;
  if (!HasWatched)
    return std::nullopt;
  std::set<SoftwareVersion> Versions;
  for (const auto &[Id, Target] : State.Targets) {
    if (Target.Entry.Service == Call.Service)
      Versions.insert(Target.Entry.Version);
  }
  const auto Former = State.FormerVersions.find(Call.Service);
  if (Former != State.FormerVersions.end()) {
    for (const auto &[Version, LastSeenAt] : Former->second) {
      if (State.Now - LastSeenAt < Window)
        Versions.insert(Version);
    }
  }
  if (Versions.size() != 1)
    return std::nullopt;
  return StreamOrigin{Call.Service, *Versions.begin()};
}

void recordFormerVersion(RelayState &State, const RegisteredTarget &Entry) {
  auto &Versions = State.FormerVersions[Entry.Service];
  for (auto Each = Versions.begin(); Each != Versions.end();)
    Each = FormerVersionRetention < State.Now - Each->second
               ? Versions.erase(Each)
               : std::next(Each);
  Versions[Entry.Version] = State.Now;
}

void logContinuation(RelayContext &Context, const RelayCall &Call) {
  Context.logCall("stream_continued", Call,
                  {{"begun_by", Call.InboundRequest.ResumedAttempt->Value},
                   {"service", Call.Origin->Service.Value},
                   {"version", Call.Origin->Version.Value}});
}

void recordStreamStart(RelayContext &Context, RelayCall &Call) {
  if (Call.Origin)
    return;
  Call.Origin =
      StreamOrigin{Call.SentTo.Service, versionOfAttempt(Context.State, Call)};
  if (Call.Route.IsResumable)
    reportOrigin(Context, Call);
}

void mergeResumedOrigin(RelayState &State, RelayCall &Call,
                        const StreamOrigin &Origin) {
  if (Call.Origin) {
    // Replicas differ only if one has missed that the origin became unknown.
    if (!(*Call.Origin == Origin))
      Call.Origin->Version = SoftwareVersion();
    return;
  }
  Call.Origin = Origin;
  const auto &Services = Call.Route.Services;
  const bool IsAllowed =
      std::any_of(Services.begin(), Services.end(), [&](const auto &Each) {
        return Each.Service == Origin.Service && Each.Weight > 0;
      });
  const auto Service = State.Configuration->Services.find(Origin.Service);
  if (!IsAllowed || Service == State.Configuration->Services.end())
    return;
  Call.Service = Origin.Service;
  Call.TokensPerEvent = Service->second.TokensPerEvent;
}

bool mayContinueAt(const RelayCall &Call, const RegisteredTarget &Target) {
  if (!Call.Origin)
    return true;
  return !Call.Origin->Version.Value.empty() &&
         *Call.Origin == StreamOrigin{Target.Service, Target.Version};
}

bool hasTargetOfOrigin(const RelayState &State, const RelayCall &Call) {
  return std::any_of(
      State.Targets.begin(), State.Targets.end(), [&](const auto &Each) {
        const RegisteredTarget &Entry = Each.second.Entry;
        return Entry.Service == Call.Service && !isLeaving(State, Entry) &&
               mayContinueAt(Call, Entry);
      });
}

void invalidateOrigins(RelayContext &Context, const RegisteredTarget &Entry) {
  for (auto &[Request, Call] : Context.State.Calls) {
    const bool IsRunningThere =
        Call.Attempt.Value != 0 && Call.Target == Entry.Id;
    if (!IsRunningThere || !Call.Origin || isContinuation(Call) ||
        Call.SentTo.run() == Entry.run() ||
        Call.SentTo.Version == Entry.Version)
      continue;
    Call.Origin->Version = SoftwareVersion();
    Context.logCall("stream_origin_unknown", Call,
                    {{"target", Entry.Id.Value}});
    if (Call.Route.IsResumable)
      reportOrigin(Context, Call);
  }
}

} // namespace tanagerlanding
