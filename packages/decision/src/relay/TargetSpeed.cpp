#include "TargetSpeed.h"

#include "MovingAverage.h"
#include "TargetLoads.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

constexpr double MinSlowness = 0.25;
constexpr double MaxSlowness = 4;
/// Weight of a sample in the moving averages of a target and of a service. A
/// relay alone has about one sample a second of a target, and some dozens of a
/// service.
constexpr double TargetWeight = 0.15;
constexpr double ServiceWeight = 0.05;
/// Without samples a slowness halves its distance from the average in this
/// time, so that a target that got no work because it was slow is tried again.
constexpr Milliseconds SlownessHalfLife{5000};
/// How long what all relays have learned is preferred to the own samples.
constexpr Milliseconds SharedLifetime{2000};
/// A stream of fewer events is judged as a whole, as the time of an event is
/// known to 25 ms only.
constexpr std::uint32_t MinStreamEvents = 5;
/// A change by more than half since the last log line is logged.
constexpr double LoggedChange = 1.5;

double decayed(double Slowness, Milliseconds Age) {
  const auto HalfLives = static_cast<double>(Age.count()) /
                         static_cast<double>(SlownessHalfLife.count());
  return 1 + (Slowness - 1) * std::exp2(-HalfLives);
}

/// How long an attempt took, in a unit that allows for what was asked, and the
/// service's moving average in the same unit.
struct Sample {
  double Millis = 0;
  double *Typical = nullptr;
};

/// Returns whether a stated slow-down is so small that it does not matter.
bool isUsual(const std::optional<double> &Slowdown) {
  const double Value = Slowdown.value_or(1);
  return 0.8 < Value && Value < 1.25;
}

/// Returns how fast an attempt's target was; absent if the attempt waited for a
/// slot, as this says how busy the target was.
std::optional<Sample> sampleOf(RelayState &State, const RelayCall &Call) {
  ServiceTimes &Times = State.TypicalTimes[Call.Service];
  const std::uint32_t Events = Call.EventsSent - Call.EventsBeforeAttempt;
  if (Call.Head->IsEventStream && MinStreamEvents <= Events)
    return Sample{millisOf(State.Now - Call.HeadAt) / Events, &Times.PerEvent};
  // A slow-down that began or ended meanwhile holds for an unknown part of the
  // time, and would be taken for the host's own slowness for long after it.
  const auto *Stated = std::get_if<TargetLoad>(&Call.Head->Load);
  if (!Call.HadFreeSlot || Call.Head->IsEventStream ||
      !isUsual(Stated ? Stated->Slowdown : std::nullopt))
    return std::nullopt;
  const double Reading =
      static_cast<double>(Call.InboundRequest.PromptTokens.Value) /
      State.Options.PromptTokensPerMilli;
  return Sample{std::max(1.0, millisOf(State.Now - Call.SentAt) - Reading),
                &Times.PerRequest};
}

void logChange(RelayContext &Context, RelayTarget &Target) {
  const double Slowness = slownessOf(Context.State, Target);
  double &Logged = Target.Speed.LoggedSlowness;
  if (Slowness < Logged * LoggedChange && Logged < Slowness * LoggedChange)
    return;
  Context.log("target_speed_changed", {{"target", Target.Entry.Id.Value},
                                       {"service", Target.Entry.Service.Value},
                                       {"slowness", std::to_string(Slowness)},
                                       {"before", std::to_string(Logged)}});
  Logged = Slowness;
}

} // namespace

double slownessOf(const RelayState &State, const RelayTarget &Target) {
  const TargetSpeed &Speed = Target.Speed;
  const Milliseconds SharedAge = State.Now - Speed.SharedAt;
  const bool IsShared = Speed.SharedSlowness && SharedAge < SharedLifetime;
  const double Slowness =
      IsShared ? decayed(*Speed.SharedSlowness, SharedAge)
               : decayed(Speed.Slowness, State.Now - Speed.SampledAt);
  return std::clamp(Slowness, MinSlowness, MaxSlowness);
}

double typicalRequestMillis(const RelayState &State,
                            const ServiceName &Service) {
  const auto Found = State.TypicalTimes.find(Service);
  return Found == State.TypicalTimes.end() ? 0 : Found->second.PerRequest;
}

void recordSpeedConditions(const RelayState &State, RelayCall &Call,
                           const RelayTarget &Target) {
  const auto Known = knownLoadOf(State, Target);
  const bool HasFreeSlot = Known ? Known->requests() < Known->Slots
                                 : Target.Outstanding < slotsOf(State, Target);
  Call.HadFreeSlot = HasFreeSlot && isUsual(Target.Load.Report.Slowdown);
}

void recordCompletion(RelayContext &Context, const RelayCall &Call) {
  RelayState &State = Context.State;
  const auto Found = State.Targets.find(Call.Target);
  if (Found == State.Targets.end() ||
      !(Found->second.Entry.run() == Call.SentTo.run()))
    return;
  // The answer itself states how slow the target was just then.
  const auto *Stated = std::get_if<TargetLoad>(&Call.Head->Load);
  const double Slowdown = Stated ? Stated->Slowdown.value_or(1) : 1;
  if (Call.Head->IsEventStream && Call.HadFreeSlot)
    updateMovingAverage(State.TypicalTimes[Call.Service].PerRequest,
                        millisOf(State.Now - Call.SentAt) / Slowdown,
                        ServiceWeight);
  const auto Taken = sampleOf(State, Call);
  if (!Taken)
    return;
  const double Millis = Taken->Millis / Slowdown;
  updateMovingAverage(*Taken->Typical, Millis, ServiceWeight);
  const double Ratio =
      std::clamp(Millis / *Taken->Typical, MinSlowness, MaxSlowness);
  TargetSpeed &Speed = Found->second.Speed;
  const double Former = decayed(Speed.Slowness, State.Now - Speed.SampledAt);
  Speed.Slowness = Former + TargetWeight * (Ratio - Former);
  Speed.SampledAt = State.Now;
  Speed.UnsentSum += Ratio;
  ++Speed.UnsentSamples;
  logChange(Context, Found->second);
}

std::optional<double> takeSpeedSamples(RelayTarget &Target) {
  TargetSpeed &Speed = Target.Speed;
  if (Speed.UnsentSamples == 0)
    return std::nullopt;
  const double Mean = Speed.UnsentSum / Speed.UnsentSamples;
  Speed.UnsentSum = 0;
  Speed.UnsentSamples = 0;
  return Mean;
}

void adoptSharedSlowness(RelayContext &Context, RelayTarget &Target,
                         double Slowness) {
  Target.Speed.SharedSlowness = Slowness;
  Target.Speed.SharedAt = Context.now();
  logChange(Context, Target);
}

} // namespace tanagerlanding
