#include "CrashDetection.h"

#include "Attempts.h"
#include "Directory.h"
#include "RequestContent.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// How often evidence is reviewed; its limits are seconds and more.
constexpr Milliseconds ReviewInterval{500};

bool isServing(const RelayState &State, const TargetId &Id) {
  const auto Found = State.Targets.find(Id);
  return Found != State.Targets.end() && !isLeaving(State, Found->second.Entry);
}

/// Returns whether a call's current attempt has produced output.
bool hasOutput(const RelayCall &Call) {
  return Call.EventsBeforeAttempt < Call.EventsSent ||
         !Call.BufferedBody.empty();
}

CrashExposure exposureOf(const RelayCall &Call) {
  return hasOutput(Call) ? CrashExposure::AfterOutput
                         : CrashExposure::BeforeOutput;
}

void reportEvidence(RelayContext &Context, Fingerprint Content) {
  Context.sendToReplicas(
      noticeOf(Context.State.Quarantine, Content, Context.now()));
}

void logStatus(RelayContext &Context, const char *Event, Fingerprint Content,
               RelayContext::Fields Inputs) {
  const QuarantineTable &Table = Context.State.Quarantine;
  RelayContext::Fields All = {
      {"content", std::to_string(Content.Value)},
      {"crashes", std::to_string(crashCountOf(Table, Content))},
      {"status", toString(statusOf(Table, Content))}};
  All.insert(All.end(), Inputs.begin(), Inputs.end());
  Context.log(Event, std::move(All));
}

/// Voids the crashes of a content everywhere, if there are any.
void clearEvidence(RelayContext &Context, Fingerprint Content,
                   RelayContext::Fields Inputs) {
  if (!clearContent(Context.State.Quarantine, Content, Context.now()))
    return;
  logStatus(Context, "content_cleared", Content, std::move(Inputs));
  reportEvidence(Context, Content);
}

/// Returns the run whose crash ended an attempt. Runs of a target that does not
/// report its start are told apart by time: a crash well before the attempt was
/// sent was of an earlier run.
TargetRun crashedRunOf(const RelayState &State, const TargetRun &Run,
                       const LostAttempt &Lost) {
  const auto Evidence = State.Quarantine.Contents.find(Lost.Content);
  if (Run.StartedAtMillis != 0 || Evidence == State.Quarantine.Contents.end())
    return Run;
  TargetRun Candidate = Run;
  for (;;) {
    const auto Known = Evidence->second.Crashes.find(Candidate);
    const bool IsEarlierRun =
        Known != Evidence->second.Crashes.end() &&
        Known->second.At + State.Options.CrashSettleTime < Lost.SentAt;
    if (!IsEarlierRun)
      return Candidate;
    --Candidate.StartedAtMillis;
  }
}

/// Records that the attempts lost at a run of a target were in flight when it
/// crashed.
void countLostAttempts(RelayContext &Context, const TargetRun &Run,
                       TargetLosses &Losses) {
  for (const LostAttempt &Each : Losses.Attempts) {
    const TargetRun Crashed = crashedRunOf(Context.State, Run, Each);
    if (!recordCrash(Context.State.Quarantine, Each.Content, Crashed,
                     {Each.Exposure, Each.EndedAt}))
      continue;
    Context.State.HasNewCrashEvidence = true;
    logStatus(Context, "content_suspect", Each.Content,
              {{"request", Each.Request.Value},
               {"target", Run.Target.Value},
               {"started_at_ms", std::to_string(Crashed.StartedAtMillis)},
               {"exposure", toString(Each.Exposure)}});
    reportEvidence(Context, Each.Content);
  }
  Losses.Attempts.clear();
}

void concludeCrash(RelayContext &Context, const TargetRun &Run,
                   TargetLosses &Losses, const char *Sign) {
  Losses.CrashedAt = Context.now();
  Context.log("target_crashed",
              {{"target", Run.Target.Value},
               {"started_at_ms", std::to_string(Run.StartedAtMillis)},
               {"sign", Sign},
               {"lost_attempts", std::to_string(Losses.Attempts.size())}});
  Context.count("relay_target_crashes_total", Sign);
  countLostAttempts(Context, Run, Losses);
}

const char *toString(TargetConnectionProbed::Outcome Outcome) {
  switch (Outcome) {
  case TargetConnectionProbed::Outcome::Accepted:
    return "accepted";
  case TargetConnectionProbed::Outcome::Refused:
    return "refused";
  case TargetConnectionProbed::Outcome::NoAnswer:
    return "no_answer";
  }
  return "unknown";
}

/// Returns whether a run that was taken for crashed is still registered after
/// the time in which the registration of a crashed target is removed. Without
/// the start of its process a registration does not tell which run it is of.
bool isRefuted(const RelayState &State, const TargetRun &Run, Instant At) {
  const Milliseconds Lapse = State.Options.RegistrationLapse;
  const auto Found = State.Targets.find(Run.Target);
  const bool IsRegistered =
      Run.StartedAtMillis != 0 && Found != State.Targets.end() &&
      !Found->second.MissingSince &&
      Found->second.Entry.StartedAtMillis == Run.StartedAtMillis;
  // In an outage of the key-value service registrations may stay although their
  // targets are gone.
  const bool IsUpToDate = State.IsKeyValueServiceReachable &&
                          Lapse <= State.Now - State.KeyValueServiceRegainedAt;
  return IsRegistered && IsUpToDate && Lapse <= State.Now - At;
}

void refuteCrashes(RelayContext &Context) {
  QuarantineTable &Table = Context.State.Quarantine;
  for (const auto &[Content, Evidence] : Table.Contents) {
    for (const auto &[Run, Crash] : Evidence.Crashes) {
      if (!isRefuted(Context.State, Run, Crash.At) ||
          !Table.RefutedRuns.insert(Run).second)
        continue;
      Context.log("target_crash_refuted",
                  {{"target", Run.Target.Value},
                   {"started_at_ms", std::to_string(Run.StartedAtMillis)}});
    }
  }
}

void dropOldLosses(RelayState &State) {
  for (auto Each = State.Losses.begin(); Each != State.Losses.end();) {
    const bool IsOld = State.Options.LostAttemptRetention <=
                       State.Now - Each->second.UpdatedAt;
    Each = IsOld ? State.Losses.erase(Each) : std::next(Each);
  }
}

} // namespace

bool isQuarantined(const RelayState &State, const RelayCall &Call) {
  const auto Quarantined = ContentStatus::Quarantined;
  return statusOf(State.Quarantine, Call.Content) == Quarantined ||
         statusOf(State.Quarantine, Call.PathContent) == Quarantined;
}

bool isSuspect(const RelayState &State, const RelayCall &Call) {
  const auto Trusted = ContentStatus::Trusted;
  return statusOf(State.Quarantine, Call.Content) != Trusted ||
         statusOf(State.Quarantine, Call.PathContent) != Trusted;
}

Milliseconds quarantineTimeLeft(const RelayState &State,
                                const RelayCall &Call) {
  return std::max(
      quarantineTimeLeft(State.Quarantine, Call.Content, State.Now),
      quarantineTimeLeft(State.Quarantine, Call.PathContent, State.Now));
}

void recordLostAttempt(RelayContext &Context, const RelayCall &Call,
                       bool IsConnectionClosed) {
  RelayState &State = Context.State;
  // A target that is leaving ends on its own.
  if (!isServing(State, Call.Target))
    return;
  const TargetRun Run = Call.SentTo.run();
  TargetLosses &Losses = State.Losses[Run];
  Losses.Address = Call.SentTo.Address;
  Losses.Port = Call.SentTo.Port;
  Losses.UpdatedAt = State.Now;
  if (Losses.Attempts.size() < State.Options.MaxLostAttemptsPerTarget)
    Losses.Attempts.push_back(
        LostAttempt{Call.InboundRequest.Id, accusedContentOf(State, Call),
                    exposureOf(Call), Call.SentAt, State.Now});
  const bool HasCrashed = Losses.CrashedAt && State.Now - *Losses.CrashedAt <
                                                  State.Options.CrashSettleTime;
  if (HasCrashed) {
    countLostAttempts(Context, Run, Losses);
    return;
  }
  if (!IsConnectionClosed || Losses.IsProbing)
    return;
  Losses.IsProbing = true;
  Context.add(ProbeTargetConnection{Run, Losses.Address, Losses.Port});
}

void handleTargetProbed(RelayContext &Context,
                        const TargetConnectionProbed &Event) {
  const auto Found = Context.State.Losses.find(Event.Run);
  if (Found == Context.State.Losses.end())
    return;
  TargetLosses &Losses = Found->second;
  Losses.IsProbing = false;
  Context.log("target_probed",
              {{"target", Event.Run.Target.Value},
               {"outcome", toString(Event.Result)},
               {"lost_attempts", std::to_string(Losses.Attempts.size())}});
  switch (Event.Result) {
  case TargetConnectionProbed::Outcome::Accepted:
    Losses.Attempts.clear();
    return;
  case TargetConnectionProbed::Outcome::Refused:
    concludeCrash(Context, Event.Run, Losses, "connection_refused");
    return;
  case TargetConnectionProbed::Outcome::NoAnswer:
    // Only the next registration at the address can tell.
    return;
  }
}

void detectReplacedRun(RelayContext &Context, const RegisteredTarget &Entry) {
  for (auto &[Run, Losses] : Context.State.Losses) {
    const bool IsReplaced = Losses.Address == Entry.Address &&
                            Losses.Port == Entry.Port && !(Run == Entry.run());
    if (IsReplaced && !Losses.Attempts.empty())
      concludeCrash(Context, Run, Losses, "replaced");
  }
}

void clearCallContent(RelayContext &Context, const RelayCall &Call) {
  recordAnsweredPath(Context.State, Call);
  for (const Fingerprint Content : {Call.Content, Call.PathContent})
    clearEvidence(Context, Content,
                  {{"request", Call.InboundRequest.Id.Value},
                   {"target", Call.Target.Value}});
}

void handleSuspectNotice(RelayContext &Context, const SuspectNotice &Notice) {
  if (!mergeNotice(Context.State.Quarantine, Notice, Context.now()))
    return;
  logStatus(Context, "content_evidence_received", Notice.Content, {});
  Context.State.HasNewCrashEvidence = true;
  if (isAnsweredPath(Context.State, Notice.Content))
    clearEvidence(Context, Notice.Content, {{"request", "earlier"}});
}

void sendEvidenceTo(RelayContext &Context, const HolderId &Holder) {
  for (SuspectNotice &Each :
       allNotices(Context.State.Quarantine, Context.now()))
    Context.send(Holder, std::move(Each));
}

void reviewCrashEvidence(RelayContext &Context) {
  RelayState &State = Context.State;
  if (State.Now - State.CrashEvidenceReviewedAt < ReviewInterval)
    return;
  State.CrashEvidenceReviewedAt = State.Now;
  refuteCrashes(Context);
  expireEvidence(State.Quarantine, State.Now);
  dropOldLosses(State);
  dropPathsOfRemovedRoutes(State);
}

void stopQuarantinedCalls(RelayContext &Context) {
  RelayState &State = Context.State;
  if (!State.HasNewCrashEvidence)
    return;
  State.HasNewCrashEvidence = false;
  std::vector<RequestId> Stopped;
  for (const auto &[Request, Call] : State.Calls) {
    const bool IsRunning = Call.Attempt.Value != 0 && !Call.Head;
    if (IsRunning && isQuarantined(State, Call))
      Stopped.push_back(Request);
  }
  for (const RequestId Request : Stopped) {
    RelayCall &Call = State.Calls.at(Request);
    ++Call.UncertainSends;
    refuseCall(Context, Call, RelayRefusalReason::Quarantined);
  }
}

} // namespace tanagerlanding
