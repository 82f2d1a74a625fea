#include "Placement.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// A target's word about its load counts this long: requests last some
/// hundred milliseconds, so that an older word tells nothing.
constexpr Milliseconds LoadValidity{500};
/// What a request to another zone must gain in load per slot to be worth the
/// bytes between zones.
constexpr double OtherZonePenalty = 0.25;

double slotsOf(const RelayState &State, const RelayTarget &Target) {
  return Target.Entry.Slots > 0 ? Target.Entry.Slots
                                : State.Options.DefaultSlots;
}

/// Returns requests per slot, own attempts counted exactly.
double fillOf(const RelayState &State, const RelayTarget &Target) {
  const bool IsRecent = State.Now - Target.LoadAt < LoadValidity;
  const std::uint32_t Others = IsRecent ? Target.OthersLoad : 0;
  return (Target.Outstanding + Others) / slotsOf(State, Target);
}

bool isUsable(const RelayState &State, const RelayTarget &Target,
              const RelayCall &Call) {
  if (Target.Entry.IsLeaving || Call.Tried.count(Target.Entry.Id) > 0)
    return false;
  if (!Target.MissingSince)
    return true;
  // The registration may only have lapsed with the service.
  return !State.IsServiceReachable ||
         State.Now - State.ServiceRegainedAt < State.Options.MissingTargetGrace;
}

/// Returns what keeps related requests together: a program's turns share their
/// prompt, requests for one object share what a target has read of it.
std::string affinityOf(const RelayCall &Call) {
  if (Call.Route.IsStreaming && Call.Asked.Program)
    return Call.Asked.Program->Program.Value;
  return Call.Asked.AffinityKey.value_or(std::string());
}

/// One target that may be chosen.
struct Candidate {
  const RelayTarget *Target = nullptr;
  double Fill = 0;
  bool IsAvoided = false;
  bool IsNear = false;
  std::uint64_t Rank = 0;
};

std::vector<Candidate> candidatesOf(RelayState &State, const RelayCall &Call) {
  std::vector<Candidate> Found;
  const auto Listed = State.TargetsByService.find(Call.Service);
  if (Listed == State.TargetsByService.end())
    return Found;
  const std::string Affinity = affinityOf(Call);
  for (const TargetId &Id : Listed->second) {
    const RelayTarget &Target = State.Targets.at(Id);
    if (!isUsable(State, Target, Call))
      continue;
    Candidate Each;
    Each.Target = &Target;
    Each.Fill = fillOf(State, Target);
    Each.IsAvoided = State.Now < Target.AvoidUntil;
    Each.IsNear = Target.Entry.Zone == State.Zone;
    Each.Rank = Affinity.empty() ? State.Random()
                                 : hashBytes(Affinity + '/' + Id.Value);
    Found.push_back(Each);
  }
  return Found;
}

/// Returns the least loaded candidate, avoided ones last.
const Candidate *leastLoaded(const std::vector<Candidate> &Candidates) {
  const auto CostOf = [](const Candidate &Each) {
    return Each.Fill + (Each.IsNear ? 0 : OtherZonePenalty);
  };
  const auto Best = std::min_element(
      Candidates.begin(), Candidates.end(),
      [&](const Candidate &Left, const Candidate &Right) {
        return std::make_tuple(Left.IsAvoided, CostOf(Left), Left.Rank) <
               std::make_tuple(Right.IsAvoided, CostOf(Right), Right.Rank);
      });
  return Best == Candidates.end() ? nullptr : &*Best;
}

/// Returns the candidate that related requests went to, as far as it has room:
/// the first by rank in this zone, then elsewhere. Every relay of a zone finds
/// the same one without asking.
const Candidate *preferred(const RelayState &State,
                           const std::vector<Candidate> &Candidates) {
  const Candidate *Best = nullptr;
  for (const Candidate &Each : Candidates) {
    if (Each.IsAvoided || Each.Fill >= State.Options.PreferredFill)
      continue;
    const bool IsBetter =
        !Best || std::make_pair(!Each.IsNear, Each.Rank) <
                     std::make_pair(!Best->IsNear, Best->Rank);
    if (IsBetter)
      Best = &Each;
  }
  return Best;
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
  if (!affinityOf(Call).empty()) {
    if (const Candidate *Home = preferred(State, Candidates))
      return Home->Target->Entry.Id;
  }
  const Candidate *Least = leastLoaded(Candidates);
  if (Least->Fill >= State.Options.FullFactor)
    return PlacementFailure::Overloaded;
  return Least->Target->Entry.Id;
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
