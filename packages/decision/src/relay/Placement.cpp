#include "Placement.h"

#include "TargetHealth.h"
#include "Waiting.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// How long a load report of a target is used. Requests last some hundred
/// milliseconds, so older reports say nothing about the present load.
constexpr Milliseconds LoadValidity{500};

double slotsOf(const RelayState &State, const RelayTarget &Target) {
  return Target.Entry.Slots > 0 ? Target.Entry.Slots
                                : State.Options.DefaultSlots;
}

bool hasToldLoad(const RelayState &State, const RelayTarget &Target) {
  return State.Now - Target.LoadAt < LoadValidity;
}

/// Returns the average load from outside this relay over the targets of a
/// service with a recent load report. It is the estimate for the other targets,
/// as a relay gets reports from each target only now and then.
double typicalOthersLoad(const RelayState &State, const ServiceName &Service) {
  const auto Listed = State.TargetsByService.find(Service);
  if (Listed == State.TargetsByService.end())
    return 0;
  double Sum = 0;
  double Count = 0;
  for (const TargetId &Id : Listed->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!hasToldLoad(State, Target))
      continue;
    Sum += Target.OthersLoad;
    ++Count;
  }
  return Count > 0 ? Sum / Count : 0;
}

/// Returns the requests at a target: the exact number of own attempts plus the
/// reported or estimated load from elsewhere.
double loadOf(const RelayState &State, const RelayTarget &Target,
              double TypicalOthers) {
  const double Others =
      hasToldLoad(State, Target) ? Target.OthersLoad : TypicalOthers;
  return Target.Outstanding + Others;
}

/// Returns the cost of adding a request at a target with the given load, in
/// milliseconds of delay.
double crowdingCost(const RelayState &State, const RelayTarget &Target,
                    double Load) {
  const double Slots = slotsOf(State, Target);
  const double Free = std::min(Load, Slots);
  const double Waiting = std::max(0.0, Load + 1 - Slots);
  return Free * static_cast<double>(State.Options.CostWhileFree.count()) +
         Waiting * static_cast<double>(State.Options.CostWhenFull.count());
}

bool isUsable(const RelayState &State, const RelayTarget &Target,
              const RelayCall &Call) {
  if (Target.Entry.IsLeaving || Call.Tried.count(Target.Entry.Id) > 0)
    return false;
  if (!Target.MissingSince)
    return true;
  // The target may be alive and its registration have lapsed only because the
  // key-value service is, or was lately, unreachable.
  return !State.IsServiceReachable ||
         State.Now - State.ServiceRegainedAt < State.Options.MissingTargetGrace;
}

/// Returns the keys of a call's prompt cache location, most specific first: its
/// agent, then its program, as a sub-agent's prompt begins with its parent's.
std::vector<std::string> homeKeysOf(const RelayCall &Call) {
  if (!Call.Route.IsStreaming || !Call.Asked.Program)
    return {};
  const ProgramContext &Program = *Call.Asked.Program;
  return {Program.Program.Value + '/' + Program.Agent.Value,
          Program.Program.Value};
}

/// Returns the affinity key that sends related requests to one target: turns of
/// a program share their prompt, and requests for an object share what the
/// target has already read of it.
std::string affinityOf(const RelayCall &Call) {
  if (Call.Route.IsStreaming && Call.Asked.Program)
    return Call.Asked.Program->Program.Value;
  return Call.Asked.AffinityKey.value_or(std::string());
}

/// Returns the target that caches the request's prompt or its longest known
/// prefix; empty if unknown.
TargetId homeOf(const RelayState &State, const RelayCall &Call) {
  for (const std::string &Key : homeKeysOf(Call)) {
    const auto Found = State.Homes.find(Key);
    if (Found != State.Homes.end() &&
        State.Now - Found->second.UsedAt < State.Options.HomeRetention)
      return Found->second.Target;
  }
  return Call.Ledger.PreviousTarget;
}

/// Returns the cost of reading the prompt at a target that does not cache it,
/// in milliseconds: the reading time, and the same again for the delay of other
/// requests there.
double missCost(const RelayState &State, const RelayCall &Call) {
  return 2 * static_cast<double>(Call.Asked.PromptTokens.Value) /
         State.Options.PromptTokensPerMilli;
}

/// A target that may be chosen, with its load and cost.
struct Candidate {
  const RelayTarget *Target = nullptr;
  double Load = 0;
  double Cost = 0;
  bool IsAvoided = false;
  std::uint64_t Rank = 0;
};

/// Returns the usable targets of the call's service with their costs, in
/// milliseconds. Equal costs are ranked by a hash of affinity key and target,
/// which is the same on every relay, so that a prompt that is cached nowhere
/// goes to the same target from all relays.
std::vector<Candidate> candidatesOf(RelayState &State, const RelayCall &Call) {
  std::vector<Candidate> Found;
  const auto Listed = State.TargetsByService.find(Call.Service);
  if (Listed == State.TargetsByService.end())
    return Found;
  const std::string Affinity = affinityOf(Call);
  const TargetId Home = homeOf(State, Call);
  const double TypicalOthers = typicalOthersLoad(State, Call.Service);
  for (const TargetId &Id : Listed->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!isUsable(State, Target, Call))
      continue;
    Candidate Each;
    Each.Target = &Target;
    Each.Load = loadOf(State, Target, TypicalOthers);
    Each.Cost =
        crowdingCost(State, Target, Each.Load) + expectedLoss(State, Target);
    if (!(Target.Entry.Zone == State.Zone))
      Each.Cost += static_cast<double>(State.Options.OtherZoneCost.count());
    if (!(Id == Home))
      Each.Cost += missCost(State, Call);
    Each.IsAvoided = State.Now < Target.AvoidUntil;
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
        return std::make_tuple(Left.IsAvoided, Left.Cost, Left.Rank) <
               std::make_tuple(Right.IsAvoided, Right.Cost, Right.Rank);
      });
  return Best == Candidates.end() ? nullptr : &*Best;
}

RelayTarget *findTarget(RelayState &State, const TargetId &Id) {
  const auto Found = State.Targets.find(Id);
  return Found == State.Targets.end() ? nullptr : &Found->second;
}

} // namespace

Result<TargetId, PlacementFailure> chooseTarget(RelayState &State,
                                                const RelayCall &Call) {
  const std::vector<Candidate> Candidates = candidatesOf(State, Call);
  if (Candidates.empty())
    return PlacementFailure::NoTarget;
  const Candidate *Best = cheapest(Candidates);
  const double Slots = slotsOf(State, *Best->Target);
  if (Best->Load < loadLimitOf(State, Call) * Slots)
    return Best->Target->Entry.Id;
  const bool IsFull = State.Options.FullFactor * Slots <= Best->Load;
  const bool IsWaiting =
      Call.Phase == RelayPhase::Waiting && !hasWaitedEnough(State, Call);
  const bool MayWait = IsWaiting || urgencyOf(State, Call) != Urgency::Underway;
  return IsFull && !MayWait ? PlacementFailure::Overloaded
                            : PlacementFailure::Busy;
}

bool hasHome(const RelayState &State, const RelayCall &Call) {
  return !homeOf(State, Call).Value.empty();
}

void rememberHome(RelayState &State, const RelayCall &Call) {
  if (!Call.Route.IsStreaming)
    return;
  for (const std::string &Key : homeKeysOf(Call))
    State.Homes[Key] = PromptHome{Call.Target, State.Now};
}

void forgetOldHomes(RelayState &State) {
  const bool IsFull = State.Homes.size() >= State.Options.HomeLimit;
  const Milliseconds Kept =
      IsFull ? State.Options.HomeRetention / 4 : State.Options.HomeRetention;
  for (auto Each = State.Homes.begin(); Each != State.Homes.end();) {
    const bool IsOld = Kept <= State.Now - Each->second.UsedAt;
    Each = IsOld ? State.Homes.erase(Each) : std::next(Each);
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

void noteLoad(RelayState &State, const TargetId &Target, std::uint32_t Load) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  Found->OthersLoad = Load > Found->Outstanding ? Load - Found->Outstanding : 0;
  Found->LoadAt = State.Now;
}

void avoidTarget(RelayState &State, const TargetId &Target) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  Milliseconds Pause = State.Options.AvoidBase;
  for (std::uint32_t Each = 0;
       Each < Found->Failures && Pause < State.Options.AvoidLimit; ++Each)
    Pause *= 2;
  ++Found->Failures;
  Found->AvoidUntil = State.Now + std::min(Pause, State.Options.AvoidLimit);
}

void clearFailures(RelayState &State, const TargetId &Target) {
  RelayTarget *Found = findTarget(State, Target);
  if (!Found)
    return;
  Found->Failures = 0;
  Found->AvoidUntil = Instant();
}

} // namespace tanagerlanding
