#include "Placement.h"

#include "CallQueue.h"
#include "CrashDetection.h"
#include "Directory.h"
#include "LimitObservations.h"
#include "RequestPermits.h"
#include "StreamOrigins.h"
#include "TargetHealth.h"
#include "Turns.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// How long a load report of a target is used. Requests last some hundred
/// milliseconds, so older reports do not reflect the current load.
constexpr Milliseconds LoadReportLifetime{500};

double slotsOf(const RelayState &State, const RelayTarget &Target) {
  return Target.Entry.Slots > 0 ? Target.Entry.Slots
                                : State.Options.DefaultSlots;
}

bool hasRecentLoadReport(const RelayState &State, const RelayTarget &Target) {
  return State.Now - Target.LoadReportedAt < LoadReportLifetime;
}

/// Returns the average load from outside this relay over the targets of a
/// service with a recent load report. It is the estimate for the other targets,
/// as a relay receives reports from each target only occasionally.
double averageExternalLoad(const RelayState &State,
                           const ServiceName &Service) {
  const auto Registered = State.TargetsByService.find(Service);
  if (Registered == State.TargetsByService.end())
    return 0;
  double Sum = 0;
  double Count = 0;
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!hasRecentLoadReport(State, Target))
      continue;
    Sum += Target.ExternalLoad;
    ++Count;
  }
  return Count > 0 ? Sum / Count : 0;
}

/// Returns the requests at a target: the exact number of own attempts plus the
/// reported or estimated load from elsewhere.
double loadOf(const RelayState &State, const RelayTarget &Target,
              double TypicalOthers) {
  const double Others =
      hasRecentLoadReport(State, Target) ? Target.ExternalLoad : TypicalOthers;
  return Target.Outstanding + Others;
}

/// Returns the cost of adding a request at a target with the given load, in
/// milliseconds of delay.
double loadCost(const RelayState &State, const RelayTarget &Target,
                double Load) {
  const double Slots = slotsOf(State, Target);
  const double Running = std::min(Load, Slots);
  const double Queued = std::max(0.0, Load + 1 - Slots);
  return Running *
             static_cast<double>(State.Options.CostPerRunningRequest.count()) +
         Queued *
             static_cast<double>(State.Options.CostPerQueuedRequest.count());
}

bool isUsable(const RelayState &State, const RelayTarget &Target,
              const RelayCall &Call) {
  if (isLeaving(State, Target.Entry) ||
      Call.TriedTargets.count(Target.Entry.Id) > 0 ||
      !mayContinueAt(Call, Target.Entry))
    return false;
  if (!Target.MissingSince)
    return true;
  // The registration of a live target may have lapsed because the key-value
  // service is, or recently was, unreachable.
  return !State.IsKeyValueServiceReachable ||
         State.Now - State.KeyValueServiceRegainedAt <
             State.Options.MissingTargetGrace;
}

/// Returns the keys of a call's prompt cache location, most specific first: its
/// agent, then its program, as a sub-agent's prompt begins with its parent's.
std::vector<std::string> promptCacheKeysOf(const RelayCall &Call) {
  if (!Call.Route.IsStreaming || !Call.InboundRequest.Program)
    return {};
  const std::string Program = programOf(Call).Value;
  return {Program + '/' + Call.InboundRequest.Program->Agent.Value, Program};
}

/// Returns the affinity key that sends related requests to one target: turns of
/// a program share their prompt, and requests for an object share what the
/// target has already read of it.
std::string affinityOf(const RelayCall &Call) {
  if (Call.Route.IsStreaming && Call.InboundRequest.Program)
    return programOf(Call).Value;
  return Call.InboundRequest.AffinityKey.value_or(std::string());
}

/// Returns the target that caches the request's prompt or its longest known
/// prefix; empty if unknown.
TargetId promptCacheLocationOf(const RelayState &State, const RelayCall &Call) {
  for (const std::string &Key : promptCacheKeysOf(Call)) {
    const auto Found = State.PromptCacheLocations.find(Key);
    if (Found != State.PromptCacheLocations.end() &&
        State.Now - Found->second.UsedAt < State.Options.PromptCacheRetention)
      return Found->second.Target;
  }
  return Call.Ledger.PreviousTarget;
}

/// Returns the cost of reading the prompt at a target that does not cache it,
/// in milliseconds: the reading time, and the same again for the delay of other
/// requests there.
double cacheMissCost(const RelayState &State, const RelayCall &Call) {
  return 2 * static_cast<double>(Call.InboundRequest.PromptTokens.Value) /
         State.Options.PromptTokensPerMilli;
}

/// A target that may be chosen, with its load and cost.
struct Candidate {
  const RelayTarget *Target = nullptr;
  double Load = 0;
  double Cost = 0;
  bool IsInBackoff = false;
  std::uint64_t Rank = 0;
};

/// Returns the usable targets of the call's service for which this relay needs
/// no permit or has one, with their costs in milliseconds. Equal costs are
/// ranked by a hash of affinity key and target, which is the same on every
/// relay, so that all relays send an uncached prompt to the same target;
/// without a key, they are ranked at random.
std::vector<Candidate> candidatesOf(RelayState &State, const RelayCall &Call) {
  std::vector<Candidate> Found;
  const auto Registered = State.TargetsByService.find(Call.Service);
  if (Registered == State.TargetsByService.end())
    return Found;
  const std::string Affinity = affinityOf(Call);
  const TargetId Home = promptCacheLocationOf(State, Call);
  const double TypicalOthers = averageExternalLoad(State, Call.Service);
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!isUsable(State, Target, Call) || !hasPermit(State, Target.Entry))
      continue;
    Candidate Each;
    Each.Target = &Target;
    Each.Load = loadOf(State, Target, TypicalOthers);
    Each.Cost =
        loadCost(State, Target, Each.Load) + expectedHealthCost(State, Target);
    if (!(Target.Entry.Zone == State.Zone))
      Each.Cost += static_cast<double>(State.Options.CrossZoneCost.count());
    if (!(Id == Home))
      Each.Cost += cacheMissCost(State, Call);
    Each.IsInBackoff = State.Now < Target.BackoffUntil;
    Each.Rank = Affinity.empty() ? State.Random()
                                 : hashBytes(Affinity + '/' + Id.Value);
    Found.push_back(Each);
  }
  return Found;
}

/// Returns the candidate with the lowest cost, those in backoff last; null if
/// there are none.
const Candidate *cheapest(const std::vector<Candidate> &Candidates) {
  const auto Best = std::min_element(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &Left, const Candidate &Right) {
        return std::make_tuple(Left.IsInBackoff, Left.Cost, Left.Rank) <
               std::make_tuple(Right.IsInBackoff, Right.Cost, Right.Rank);
      });
  return Best == Candidates.end() ? nullptr : &*Best;
}

/// Returns the candidate for a suspect content: of those with capacity, the
/// first in an order that is the same on every relay and differs by content.
/// All copies of a content then crash one target at a time, and contents that
/// were lost together run apart, so that the next crash tells them apart. Null
/// if there is none.
const Candidate *forSuspect(const RelayState &State,
                            const std::vector<Candidate> &Candidates,
                            const RelayCall &Call) {
  const std::string Key = std::to_string(Call.PathContent.Value) + '/';
  const double Limit = loadLimitOf(State, Call);
  const Candidate *Best = nullptr;
  std::uint64_t BestRank = 0;
  for (const Candidate &Each : Candidates) {
    if (Each.IsInBackoff || Limit * slotsOf(State, *Each.Target) <= Each.Load)
      continue;
    const std::uint64_t Rank = hashBytes(Key + Each.Target->Entry.Id.Value);
    if (Best && BestRank <= Rank)
      continue;
    Best = &Each;
    BestRank = Rank;
  }
  return Best;
}

bool isKnownWithoutLimit(const RelayState &State, const TargetId &Id) {
  const auto Found = State.Targets.find(Id);
  return Found != State.Targets.end() && !limitOf(State, Found->second.Entry) &&
         !isLeaving(State, Found->second.Entry);
}

RelayTarget *findTarget(RelayState &State, const TargetId &Id) {
  const auto Found = State.Targets.find(Id);
  return Found == State.Targets.end() ? nullptr : &Found->second;
}

} // namespace

double serviceLoadPerSlot(const RelayState &State, const ServiceName &Service) {
  const auto Registered = State.TargetsByService.find(Service);
  if (Registered == State.TargetsByService.end())
    return 0;
  const double TypicalOthers = averageExternalLoad(State, Service);
  double Load = 0;
  double Slots = 0;
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (isLeaving(State, Target.Entry) || Target.MissingSince)
      continue;
    Load += loadOf(State, Target, TypicalOthers);
    Slots += slotsOf(State, Target);
  }
  return Slots > 0 ? Load / Slots : 0;
}

Result<TargetId, PlacementFailure> chooseTarget(RelayState &State,
                                                const RelayCall &Call) {
  const std::vector<Candidate> Candidates = candidatesOf(State, Call);
  const bool HasLimitedTargets = targetsWithoutPermit(State, Call) > 0;
  if (Candidates.empty())
    return HasLimitedTargets ? PlacementFailure::AwaitingPermit
                             : PlacementFailure::NoTarget;
  const bool IsStartHeldBack =
      isStart(State, Call) && State.Options.StartingLoadPerSlot <=
                                  expectedLoadPerSlot(State, Call.Service);
  if (IsStartHeldBack)
    return PlacementFailure::Busy;
  const Candidate *Best =
      isSuspect(State, Call) ? forSuspect(State, Candidates, Call) : nullptr;
  if (!Best)
    Best = cheapest(Candidates);
  const double Slots = slotsOf(State, *Best->Target);
  if (Best->Load < loadLimitOf(State, Call) * Slots)
    return Best->Target->Entry.Id;
  const bool IsFull = State.Options.MaxLoadPerSlot * Slots <= Best->Load;
  const bool MayWait =
      Call.Phase == RelayPhase::Queued ||
      schedulingClassOf(State, Call) != SchedulingClass::InProgress;
  if (!hasReachedQueueTimeLimit(State, Call) && (!IsFull || MayWait))
    return PlacementFailure::Busy;
  return HasLimitedTargets ? PlacementFailure::AwaitingPermit
                           : PlacementFailure::Overloaded;
}

std::size_t targetsWithoutPermit(const RelayState &State,
                                 const RelayCall &Call) {
  const auto Registered = State.TargetsByService.find(Call.Service);
  if (Registered == State.TargetsByService.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Registered->second.begin(), Registered->second.end(),
      [&](const TargetId &Id) {
        const RelayTarget &Target = State.Targets.at(Id);
        return !hasPermit(State, Target.Entry) && isUsable(State, Target, Call);
      }));
}

bool hasPromptCacheLocation(const RelayState &State, const RelayCall &Call) {
  return !promptCacheLocationOf(State, Call).Value.empty();
}

void recordPromptCacheLocation(RelayState &State, const RelayCall &Call) {
  if (!Call.Route.IsStreaming)
    return;
  const bool IsLimited = limitOf(State, Call.SentTo).has_value();
  for (const std::string &Key : promptCacheKeysOf(Call)) {
    PromptCacheLocation &Known = State.PromptCacheLocations[Key];
    Known.UsedAt = State.Now;
    // A target with a limit may not take the program's next turn, so it does
    // not replace one that will.
    if (!IsLimited || !isKnownWithoutLimit(State, Known.Target))
      Known.Target = Call.Target;
  }
}

void evictPromptCacheLocations(RelayState &State) {
  const bool IsFull = State.PromptCacheLocations.size() >=
                      State.Options.PromptCacheLocationLimit;
  const Milliseconds Kept = IsFull ? State.Options.PromptCacheRetention / 4
                                   : State.Options.PromptCacheRetention;
  for (auto Each = State.PromptCacheLocations.begin();
       Each != State.PromptCacheLocations.end();) {
    const bool IsOld = Kept <= State.Now - Each->second.UsedAt;
    Each = IsOld ? State.PromptCacheLocations.erase(Each) : std::next(Each);
  }
}

void addOutstanding(RelayState &State, const TargetId &Target) {
  if (RelayTarget *Found = findTarget(State, Target))
    ++Found->Outstanding;
}

void removeOutstanding(RelayState &State, const TargetId &Target) {
  RelayTarget *Found = findTarget(State, Target);
  if (Found && Found->Outstanding > 0)
    --Found->Outstanding;
}

void recordLoadReport(RelayState &State, const TargetId &Target,
                      std::uint32_t Load) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  Found->ExternalLoad =
      Load > Found->Outstanding ? Load - Found->Outstanding : 0;
  Found->LoadReportedAt = State.Now;
}

void backOffTarget(RelayState &State, const TargetId &Target) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  Milliseconds Backoff = State.Options.BackoffBase;
  for (std::uint32_t Each = 0; Each < Found->ConsecutiveFailures &&
                               Backoff < State.Options.BackoffLimit;
       ++Each)
    Backoff *= 2;
  ++Found->ConsecutiveFailures;
  Found->BackoffUntil =
      State.Now + std::min(Backoff, State.Options.BackoffLimit);
}

void resetBackoff(RelayState &State, const TargetId &Target) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  Found->ConsecutiveFailures = 0;
  Found->BackoffUntil = Instant();
}

} // namespace tanagerlanding
