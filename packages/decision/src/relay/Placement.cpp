#include "Placement.h"

#include "CallQueue.h"
#include "CrashDetection.h"
#include "Directory.h"
#include "LimitObservations.h"
#include "MovingAverage.h"
#include "ProgramStarts.h"
#include "RequestPermits.h"
#include "StreamOrigins.h"
#include "TargetHealth.h"
#include "TargetLoads.h"
#include "TargetSpeed.h"
#include "Turns.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace tanagerlanding {

namespace {

/// The time that passes on average until a relay knows what the others send:
/// half of the interval at which they report, half of that at which the
/// gatherer passes it on, and the ways between.
constexpr Milliseconds SharingDelay{125};
/// Bounds the work of one choice.
constexpr double MaxUnseenRequests = 100;

/// What the costs of the candidates for one call have in common.
struct ServiceConditions {
  /// Whether targets of the service state their loads.
  bool IsLoadStated = false;
  double AverageExternalLoad = 0;
  /// How long a request takes; 0 if unknown.
  double RequestMillis = 0;
  /// The requests that other relays have probably sent but that are not known
  /// of here.
  double UnseenRequests = 0;
};

/// Returns the requests that are sent to a service within the time that it
/// takes to learn of them: by Little's law, those that run, divided by how long
/// they do.
double unseenRequestsOf(const RelayState &State, const ServiceName &Service,
                        double RequestMillis) {
  if (RequestMillis <= 0 || !hasRecentLoadView(State))
    return 0;
  const double Unseen = loadOfService(State, Service).Running *
                        millisOf(SharingDelay) / RequestMillis;
  return std::min(Unseen, MaxUnseenRequests);
}

ServiceConditions conditionsOf(const RelayState &State,
                               const ServiceName &Service) {
  ServiceConditions Conditions;
  Conditions.AverageExternalLoad = averageExternalLoad(State, Service);
  Conditions.IsLoadStated =
      State.Options.IsLoadShared && hasLoadReports(State, Service);
  if (!Conditions.IsLoadStated)
    return Conditions;
  Conditions.RequestMillis = typicalRequestMillis(State, Service);
  Conditions.UnseenRequests =
      unseenRequestsOf(State, Service, Conditions.RequestMillis);
  return Conditions;
}

/// Returns how many times longer than usual work takes at a target.
double timeFactorOf(const RelayState &State, const RelayTarget &Target,
                    const ServiceConditions &Conditions) {
  return Conditions.IsLoadStated
             ? slownessOf(State, Target) * currentSlowdownOf(State, Target)
             : 1;
}

/// Returns how long a request waits for each request queued before it at a
/// target of average speed.
double queueStepMillis(const RelayState &State, const RelayTarget &Target,
                       const ServiceConditions &Conditions) {
  return Conditions.RequestMillis > 0
             ? Conditions.RequestMillis / slotsOf(State, Target)
             : millisOf(State.Options.CostPerQueuedRequest);
}

/// Returns the time that a request would take at a target of average speed with
/// the given load: it waits for a slot, runs, and delays the others there.
double loadedMillis(const RelayState &State, const RelayTarget &Target,
                    const ServiceConditions &Conditions, double Load) {
  const double Slots = slotsOf(State, Target);
  const double Running = std::min(Load, Slots);
  const double Queued = std::max(0.0, Load + 1 - Slots);
  return Conditions.RequestMillis +
         Running * millisOf(State.Options.CostPerRunningRequest) +
         Queued * queueStepMillis(State, Target, Conditions);
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
  /// The cost of one request more, below which a difference says little: other
  /// relays choose by the same reports at the same time.
  double RequestCost = 0;
  /// The part of the cost that is the same for all requests and does not depend
  /// on the load, and the factor of the rest.
  double FixedCost = 0;
  double Factor = 1;
  /// Requests that other relays have probably sent here meanwhile.
  std::uint32_t Unseen = 0;
  bool IsLoadKnown = false;
  bool IsHome = false;
  bool IsCrossZone = false;
  bool IsInBackoff = false;
  std::uint64_t Rank = 0;
};

/// Returns the cost of one request more at a candidate, without that of reading
/// its prompt.
double costOf(const RelayState &State, const ServiceConditions &Conditions,
              const Candidate &Each) {
  return Each.FixedCost + Each.Factor * loadedMillis(State, *Each.Target,
                                                     Conditions,
                                                     Each.Load + Each.Unseen);
}

/// Adds the requests that other relays have probably sent meanwhile where these
/// relays would send them by the same reports: one by one to the best target.
void placeUnseenRequests(const RelayState &State,
                         const ServiceConditions &Conditions,
                         std::vector<Candidate> &Candidates) {
  using Entry = std::pair<double, std::size_t>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> Best;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    if (!Candidates[Index].IsInBackoff)
      Best.emplace(costOf(State, Conditions, Candidates[Index]), Index);
  }
  for (double Left = Conditions.UnseenRequests; Left >= 1 && !Best.empty();
       --Left) {
    const std::size_t Index = Best.top().second;
    Best.pop();
    ++Candidates[Index].Unseen;
    Best.emplace(costOf(State, Conditions, Candidates[Index]), Index);
  }
}

/// Returns one of the candidates to which requests of the other relays probably
/// went, with a probability in proportion to these. What all relays send then
/// adds up to what the targets have room for. Null if there are none below the
/// call's limit.
const Candidate *amongUnseen(RelayState &State,
                             const std::vector<Candidate> &Candidates,
                             const RelayCall &Call) {
  const double Limit = loadLimitOf(State, Call);
  const auto WeightOf = [&](const Candidate &Each) {
    const bool HasRoom = Each.Load < Limit * slotsOf(State, *Each.Target);
    return HasRoom ? Each.Unseen : 0;
  };
  std::uint32_t Sum = 0;
  for (const Candidate &Each : Candidates)
    Sum += WeightOf(Each);
  if (Sum == 0)
    return nullptr;
  std::uint64_t Drawn = State.Random() % Sum;
  for (const Candidate &Each : Candidates) {
    if (Drawn < WeightOf(Each))
      return &Each;
    Drawn -= WeightOf(Each);
  }
  return nullptr;
}

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
  const ServiceConditions Conditions = conditionsOf(State, Call.Service);
  for (const TargetId &Id : Registered->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!isUsable(State, Target, Call) || !hasPermit(State, Target.Entry))
      continue;
    Candidate Each;
    Each.Target = &Target;
    Each.Load = loadOf(State, Target, Conditions.AverageExternalLoad);
    Each.Factor = timeFactorOf(State, Target, Conditions);
    // How slow a target is that states its load is part of the factor.
    Each.FixedCost = Conditions.IsLoadStated
                         ? expectedFailureCost(State, Target)
                         : expectedHealthCost(State, Target);
    Each.IsCrossZone = !(Target.Entry.Zone == State.Zone);
    if (Each.IsCrossZone)
      Each.FixedCost += millisOf(State.Options.CrossZoneCost);
    Each.IsHome = Id == Home;
    Each.IsLoadKnown =
        Conditions.IsLoadStated && knownLoadOf(State, Target).has_value();
    Each.IsInBackoff = State.Now < Target.BackoffUntil;
    Each.Rank = Affinity.empty() ? State.Random()
                                 : hashBytes(Affinity + '/' + Id.Value);
    Found.push_back(Each);
  }
  placeUnseenRequests(State, Conditions, Found);
  for (Candidate &Each : Found) {
    Each.Cost = costOf(State, Conditions, Each);
    if (!Each.IsHome)
      Each.Cost += Each.Factor * cacheMissCost(State, Call);
    const bool IsFull = slotsOf(State, *Each.Target) <= Each.Load + Each.Unseen;
    Each.RequestCost =
        Each.Factor *
        std::max(millisOf(State.Options.CostPerRunningRequest),
                 IsFull ? queueStepMillis(State, *Each.Target, Conditions) : 0);
  }
  return Found;
}

/// Returns whether two candidates differ by at most a request's cost, so that
/// either may be chosen. A cached prompt and a zone are worth their costs.
bool isAsGood(const Candidate &Best, const Candidate &Second) {
  return Best.IsLoadKnown && Second.IsLoadKnown && !Best.IsHome &&
         !Second.IsHome && Best.IsCrossZone == Second.IsCrossZone &&
         Best.IsInBackoff == Second.IsInBackoff &&
         Second.Cost - Best.Cost <= Best.RequestCost;
}

/// Returns the candidate with the lowest cost, those in backoff last; null if
/// there are none. Of the best two, if one is as good as the other, the one
/// with the lower rank is chosen, so that relays that see the same idle target
/// do not all send their requests there.
const Candidate *cheapest(const std::vector<Candidate> &Candidates) {
  const auto IsBetter = [](const Candidate &Left, const Candidate &Right) {
    return std::make_tuple(Left.IsInBackoff, Left.Cost, Left.Rank) <
           std::make_tuple(Right.IsInBackoff, Right.Cost, Right.Rank);
  };
  const Candidate *Best = nullptr;
  const Candidate *Second = nullptr;
  for (const Candidate &Each : Candidates) {
    if (!Best || IsBetter(Each, *Best)) {
      Second = Best;
      Best = &Each;
    } else if (!Second || IsBetter(Each, *Second)) {
      Second = &Each;
    }
  }
  if (Second && isAsGood(*Best, *Second) && Second->Rank < Best->Rank)
    return Second;
  return Best;
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
  if (isLimitedStart(State, Call) && !mayStartProgram(State, Call.Service))
    return PlacementFailure::Busy;
  const Candidate *Best =
      isSuspect(State, Call) ? forSuspect(State, Candidates, Call) : nullptr;
  if (!Best && affinityOf(Call).empty())
    Best = amongUnseen(State, Candidates, Call);
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
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  ++Found->Outstanding;
  recordSend(State, *Found);
}

void removeOutstanding(RelayState &State, const TargetId &Target) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found || Found->Outstanding == 0)
    return;
  --Found->Outstanding;
  recordEnd(State, *Found);
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
