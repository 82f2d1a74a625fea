#include "StreamOrigins.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

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

void sendToReplicas(RelayContext &Context, const RelayCall &Call) {
  const CallerRequest &Inbound = Call.InboundRequest;
  const RelayState &State = Context.State;
  StreamStarted Started;
  Started.Attempt = Inbound.Id;
  Started.Origin = *Call.Origin;
  Started.Retention = Inbound.TimeLeft.value_or(Call.Route.Timeout) +
                      State.Options.StreamOriginMargin;
  for (const HolderId &Each : State.ConnectedReplicas)
    Context.send(Each, Started);
}

} // namespace

std::optional<CallerAttemptId> resumedAttemptOf(const RelayCall &Call) {
  return Call.Route.IsStreaming ? Call.InboundRequest.ResumedAttempt
                                : std::nullopt;
}

void recordStreamStart(RelayContext &Context, RelayCall &Call) {
  if (Call.Origin)
    return;
  Call.Origin =
      StreamOrigin{Call.SentTo.Service, versionOfAttempt(Context.State, Call)};
  if (Call.Route.IsResumable)
    sendToReplicas(Context, Call);
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
  return std::any_of(State.Targets.begin(), State.Targets.end(),
                     [&](const auto &Each) {
                       const RegisteredTarget &Entry = Each.second.Entry;
                       return Entry.Service == Call.Service &&
                              !Entry.IsLeaving && mayContinueAt(Call, Entry);
                     });
}

void invalidateOrigins(RelayContext &Context, const RegisteredTarget &Entry) {
  for (auto &[Request, Call] : Context.State.Calls) {
    const bool IsRunningThere =
        Call.Attempt.Value != 0 && Call.Target == Entry.Id;
    if (!IsRunningThere || !Call.Origin || resumedAttemptOf(Call) ||
        Call.SentTo.run() == Entry.run() ||
        Call.SentTo.Version == Entry.Version)
      continue;
    Call.Origin->Version = SoftwareVersion();
    Context.logCall("stream_origin_unknown", Call,
                    {{"target", Entry.Id.Value}});
    if (Call.Route.IsResumable)
      sendToReplicas(Context, Call);
  }
}

} // namespace tanagerlanding
