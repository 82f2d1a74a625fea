#include "Directory.h"

#include "CrashDetection.h"
#include "StreamOrigins.h"
#include "TargetLoads.h"

namespace tanagerlanding {

namespace {

/// Longer than a target serves after it has begun to leave.
constexpr Milliseconds LeavingRunRetention{600000};

void removeFromServiceIndex(RelayState &State, const RelayTarget &Target) {
  const auto Registered = State.TargetsByService.find(Target.Entry.Service);
  if (Registered == State.TargetsByService.end())
    return;
  Registered->second.erase(Target.Entry.Id);
  if (Registered->second.empty())
    State.TargetsByService.erase(Registered);
}

void removeTarget(RelayContext &Context, const TargetId &Id) {
  const auto Found = Context.State.Targets.find(Id);
  removeFromServiceIndex(Context.State, Found->second);
  recordFormerVersion(Context.State, Found->second.Entry);
  resetTargetLoad(Context.State, Found->second, /*IsRemoved=*/true);
  Context.State.Targets.erase(Found);
  Context.log("target_forgotten", {{"target", Id.Value}});
}

/// Forgets which prompts a target caches, as a new process starts with none.
void forgetPromptCaches(RelayState &State, const TargetId &Id) {
  auto &Locations = State.PromptCacheLocations;
  for (auto Each = Locations.begin(); Each != Locations.end();)
    Each = Each->second.Target == Id ? Locations.erase(Each) : std::next(Each);
}

} // namespace

void adoptConfiguration(RelayContext &Context,
                        const RelayConfiguration &Configuration) {
  RelayState &State = Context.State;
  const bool IsOlder = State.Configuration &&
                       !(State.Configuration->Version < Configuration.Version);
  Context.log(IsOlder ? "configuration_ignored" : "configuration_adopted",
              {{"version", std::to_string(Configuration.Version.Value)},
               {"routes", std::to_string(Configuration.Routes.size())}});
  if (IsOlder)
    return;
  recordServiceChanges(State, Configuration);
  State.Configuration = Configuration;
}

void registerTarget(RelayContext &Context, const RegisteredTarget &Entry) {
  RelayState &State = Context.State;
  const auto Found = State.Targets.find(Entry.Id);
  const bool IsNew = Found == State.Targets.end();
  const bool IsRestarted =
      !IsNew && Found->second.Entry.StartedAtMillis != Entry.StartedAtMillis;
  detectReplacedRun(Context, Entry);
  if (IsRestarted)
    invalidateOrigins(Context, Entry);
  if (!IsNew) {
    removeFromServiceIndex(State, Found->second);
    recordFormerVersion(State, Found->second.Entry);
  }
  RelayTarget &Target = State.Targets[Entry.Id];
  const bool IsChanged = IsNew || IsRestarted || Target.MissingSince ||
                         Target.Entry.IsLeaving != Entry.IsLeaving;
  Target.Entry = Entry;
  Target.MissingSince.reset();
  // Failures and load of the previous process do not apply to a restarted
  // target.
  if (IsRestarted) {
    Target.ConsecutiveFailures = 0;
    Target.BackoffUntil = Instant();
    Target.Health = TargetHealth();
    forgetPromptCaches(State, Entry.Id);
    Target.Speed = TargetSpeed();
  }
  if (IsNew || IsRestarted)
    resetTargetLoad(State, Target, /*IsRemoved=*/false);
  State.TargetsByService[Entry.Service].insert(Entry.Id);
  if (IsChanged)
    Context.log("target_registered",
                {{"target", Entry.Id.Value},
                 {"service", Entry.Service.Value},
                 {"address", Entry.Address + ":" + std::to_string(Entry.Port)},
                 {"version", Entry.Version.Value},
                 {"leaving", Entry.IsLeaving ? "yes" : "no"},
                 {"restarted", IsRestarted ? "yes" : "no"}});
}

void unregisterTarget(RelayContext &Context, const TargetId &Id) {
  RelayState &State = Context.State;
  const auto Found = State.Targets.find(Id);
  if (Found == State.Targets.end())
    return;
  const bool MayReturn = !State.IsKeyValueServiceReachable ||
                         State.Now - State.KeyValueServiceRegainedAt <
                             State.Options.MissingTargetGrace;
  Context.log("target_unregistered",
              {{"target", Id.Value}, {"may_return", MayReturn ? "yes" : "no"}});
  if (!MayReturn) {
    removeTarget(Context, Id);
    return;
  }
  if (!Found->second.MissingSince)
    Found->second.MissingSince = State.Now;
}

void recordLeavingRun(RelayContext &Context, const TargetRun &Run) {
  auto &Runs = Context.State.LeavingRuns;
  const bool IsNew = Runs.count(Run) == 0;
  Runs[Run] = Context.now();
  if (!IsNew)
    return;
  Context.log("target_leaving",
              {{"target", Run.Target.Value},
               {"started_at_ms", std::to_string(Run.StartedAtMillis)},
               {"sign", "answer"}});
  for (auto Each = Runs.begin(); Each != Runs.end();)
    Each = LeavingRunRetention < Context.now() - Each->second ? Runs.erase(Each)
                                                              : std::next(Each);
}

bool isLeaving(const RelayState &State, const RegisteredTarget &Entry) {
  return Entry.IsLeaving || State.LeavingRuns.count(Entry.run()) > 0;
}

void removeMissingTargets(RelayContext &Context) {
  RelayState &State = Context.State;
  if (!State.IsKeyValueServiceReachable ||
      State.Now - State.KeyValueServiceRegainedAt <
          State.Options.MissingTargetGrace)
    return;
  std::vector<TargetId> Expired;
  for (const auto &[Id, Target] : State.Targets) {
    if (Target.MissingSince)
      Expired.push_back(Id);
  }
  for (const TargetId &Id : Expired)
    removeTarget(Context, Id);
}

} // namespace tanagerlanding
