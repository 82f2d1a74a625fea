#include "LoadCurve.h"

#include "MovingAverage.h"
#include "TargetLoads.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// The highest limit. It is above one turn per slot since targets are not
/// loaded evenly: turns wait at some while others have free slots.
constexpr double MaxTurnLoad = 1.1;
/// Samples from which the time at a load counts as known.
constexpr std::uint32_t MinSamples = 20;
/// The smallest weight of a sample in the average of its load.
constexpr double MinWeight = 0.02;

std::size_t binOf(double LoadPerSlot) {
  const auto Bin =
      static_cast<std::size_t>(LoadPerSlot * LoadCurve::BinsPerSlot);
  return std::min(Bin, LoadCurve::BinCount - 1);
}

bool isKnown(const LoadCurve::Bin &Each) { return MinSamples <= Each.Samples; }

/// Returns the time at the load at which turns are fastest; 0 if none is known.
double fastestMillis(const LoadCurve &Curve) {
  double Fastest = 0;
  for (const LoadCurve::Bin &Each : Curve.Bins) {
    if (isKnown(Each) && (Fastest <= 0 || Each.Millis < Fastest))
      Fastest = Each.Millis;
  }
  return Fastest;
}

/// Returns the average time at a load and at the next higher one, as far as
/// they are known; 0 if neither is.
double smoothedMillis(const LoadCurve &Curve, std::size_t Bin) {
  double Sum = 0;
  double Count = 0;
  for (std::size_t Each = Bin; Each <= Bin + 1 && Each < LoadCurve::BinCount;
       ++Each) {
    if (!isKnown(Curve.Bins[Each]))
      continue;
    Sum += Curve.Bins[Each].Millis;
    ++Count;
  }
  return Count > 0 ? Sum / Count : 0;
}

} // namespace

void recordLoadSample(RelayState &State, const RelayCall &Call) {
  const auto *Stated = std::get_if<TargetLoad>(&Call.Head->Load);
  const auto Target = State.Targets.find(Call.Target);
  const std::uint32_t Events = Call.EventsSent - Call.EventsBeforeAttempt;
  if (!Stated || Target == State.Targets.end() || Events == 0 ||
      !Call.Head->IsEventStream)
    return;
  const double Load = static_cast<double>(Stated->Running + Stated->Waiting) /
                      slotsOf(State, Target->second);
  const double Millis =
      millisOf(State.Now - Call.SentAt) / Events / Stated->Slowdown.value_or(1);
  LoadCurve::Bin &Bin = State.LoadCurves[Call.Service].Bins[binOf(Load)];
  ++Bin.Samples;
  updateMovingAverage(Bin.Millis, Millis,
                      std::max(MinWeight, 1.0 / Bin.Samples));
}

double turnLoadLimitOf(const RelayState &State, const ServiceName &Service) {
  const RelayOptions &Options = State.Options;
  const auto Found = State.LoadCurves.find(Service);
  if (Found == State.LoadCurves.end())
    return MaxTurnLoad;
  const double Bound = Options.MaxTurnSlowdown * fastestMillis(Found->second);
  for (std::size_t Bin = binOf(Options.MinStartLoadPerSlot);
       Bin < binOf(MaxTurnLoad); ++Bin) {
    if (Bound < smoothedMillis(Found->second, Bin))
      return static_cast<double>(Bin) / LoadCurve::BinsPerSlot;
  }
  return MaxTurnLoad;
}

} // namespace tanagerlanding
