#include "StreamOrigins.h"

#include "Attempts.h"
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

StreamStarted makeReport(const RelayState &State,
                         const CallerAttemptId &Attempt,
                         const ReportedStream &Stream) {
  StreamStarted Started;
  Started.Attempt = Attempt;
  Started.Content = Stream.Content;
  Started.Origin = Stream.Origin;
  Started.Retention = Stream.ExpiresAt - State.Now;
  return Started;
}

/// Tells the replicas the origin of a stream, and keeps it to tell replicas
/// that connect later.
void reportOrigin(RelayContext &Context, const RelayCall &Call) {
  RelayState &State = Context.State;
  const CallerAttemptId Attempt = turnOf(Call);
  ReportedStream Stream{Call.InboundRequest.Id,
                        Call.Content,
                        *Call.Origin,
                        Call.SentTo.run(),
                        State.Now,
                        State.Now + streamRetentionOf(State, Call)};
  const auto Found = State.ReportedStreams.find(Attempt);
  if (Found != State.ReportedStreams.end()) {
    Stream.ExpiresAt = std::max(Stream.ExpiresAt, Found->second.ExpiresAt);
    if (!(Found->second.Origin == Stream.Origin))
      Stream.Origin.Version = SoftwareVersion();
    Found->second = Stream;
  } else if (State.ReportedStreams.size() < State.Options.ReportedStreamLimit) {
    State.ReportedStreams.emplace(Attempt, Stream);
  }
  Context.sendToReplicas(makeReport(State, Attempt, Stream));
}

/// Returns whether a new run of a target may have begun a stream, since it may
/// have served for some time before its registration was known here.
bool mayHaveBegun(const RelayState &State, const RegisteredTarget &Entry,
                  const ReportedStream &Stream) {
  return Stream.Run.Target == Entry.Id && !(Stream.Run == Entry.run()) &&
         !(Stream.Origin.Version == Entry.Version) &&
         State.Now - Stream.StartedAt < State.Options.StreamOriginMargin;
}

/// Marks the origin of streams as unknown that a new run of a target may have
/// begun, and breaks off answers that have been resumed elsewhere since.
void invalidateReportedStreams(RelayContext &Context,
                               const RegisteredTarget &Entry) {
  RelayState &State = Context.State;
  std::set<CallerAttemptId> Invalid;
  for (auto &[Attempt, Stream] : State.ReportedStreams) {
    if (Stream.Origin.Version.Value.empty() ||
        !mayHaveBegun(State, Entry, Stream))
      continue;
    Stream.Origin.Version = SoftwareVersion();
    Invalid.insert(Attempt);
    Context.log("stream_origin_unknown", {{"request", Stream.Request.Value},
                                          {"target", Entry.Id.Value}});
    Context.sendToReplicas(makeReport(State, Attempt, Stream));
  }
  std::vector<RequestId> Resumed;
  for (auto &[Request, Call] : State.Calls) {
    if (!Call.Origin || Invalid.count(turnOf(Call)) == 0)
      continue;
    Call.Origin->Version = SoftwareVersion();
    Resumed.push_back(Request);
  }
  for (const RequestId Request : Resumed)
    refuseCall(Context, State.Calls.at(Request),
               RelayRefusalReason::NoTargetOfVersion);
}

/// Returns the services to which a route sends requests.
std::set<ServiceName> weightedServicesOf(const RelayRoute &Route) {
  std::set<ServiceName> Services;
  for (const WeightedService &Each : Route.Services) {
    if (Each.Weight > 0)
      Services.insert(Each.Service);
  }
  return Services;
}

const RelayRoute *findRouteNamed(const RelayConfiguration &Configuration,
                                 const RouteName &Name) {
  for (const RelayRoute &Each : Configuration.Routes) {
    if (Each.Name == Name)
      return &Each;
  }
  return nullptr;
}

/// Returns whether this relay has observed which versions and services have
/// been in use for a time.
bool hasWatchedFor(const RelayState &State, const RelayCall &Call,
                   Milliseconds Duration) {
  const auto IsRecent = [&](Instant At) { return State.Now - At < Duration; };
  if (!State.IsKeyValueServiceReachable ||
      IsRecent(State.KeyValueServiceRegainedAt))
    return false;
  if (State.VersionsUnwatchedAt && IsRecent(*State.VersionsUnwatchedAt))
    return false;
  const auto Changed = State.ServicesChangedAt.find(Call.Route.Name);
  return Changed == State.ServicesChangedAt.end() || !IsRecent(Changed->second);
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

bool isUnnamedContinuation(const RelayCall &Call) {
  return isContinuation(Call) && !resumedAttemptOf(Call);
}

Milliseconds streamLifetimeOf(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Stated =
      Call.InboundRequest.TimeLeft.value_or(Milliseconds(0));
  return std::max({Stated, Call.Route.Timeout, State.Options.MaxCallerTime}) +
         State.Options.StreamOriginMargin;
}

Milliseconds streamRetentionOf(const RelayState &State, const RelayCall &Call) {
  const Milliseconds Unstated =
      std::max(Call.Route.Timeout, State.Options.MaxCallerTime);
  return Call.InboundRequest.TimeLeft.value_or(Unstated) +
         State.Options.StreamOriginMargin;
}

std::optional<StreamOrigin> soleOriginOf(const RelayState &State,
                                         const RelayCall &Call) {
  const Milliseconds Window = streamLifetimeOf(State, Call);
  if (!hasWatchedFor(State, Call, Window) ||
      weightedServicesOf(Call.Route).size() != 1)
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

void recordServiceChanges(RelayState &State,
                          const RelayConfiguration &Configuration) {
  if (!State.Configuration)
    return;
  for (const RelayRoute &Each : Configuration.Routes) {
    const RelayRoute *Former = findRouteNamed(*State.Configuration, Each.Name);
    const bool IsSame = Former && Former->Host == Each.Host &&
                        Former->PathPrefix == Each.PathPrefix &&
                        weightedServicesOf(*Former) == weightedServicesOf(Each);
    if (!IsSame)
      State.ServicesChangedAt[Each.Name] = State.Now;
  }
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
    // Attempts of the same content began at two versions, or one replica has
    // missed that the origin became unknown.
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
  RelayState &State = Context.State;
  for (auto &[Request, Call] : State.Calls) {
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
  invalidateReportedStreams(Context, Entry);
}

void sendReportedStreamsTo(RelayContext &Context, const HolderId &Holder) {
  for (const auto &[Attempt, Stream] : Context.State.ReportedStreams)
    Context.send(Holder, makeReport(Context.State, Attempt, Stream));
}

void expireReportedStreams(RelayState &State) {
  auto &Streams = State.ReportedStreams;
  for (auto Each = Streams.begin(); Each != Streams.end();)
    Each = State.Now < Each->second.ExpiresAt ? std::next(Each)
                                              : Streams.erase(Each);
}

} // namespace tanagerlanding
