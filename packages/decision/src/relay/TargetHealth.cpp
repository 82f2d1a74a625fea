#include "TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

/// Weights of a new sample in the moving averages of a target and a service. A
/// relay sees about one answer per second from a target and fifty from a
/// service.
constexpr double TargetWeight = 0.25;
constexpr double ServiceWeight = 0.02;

void average(double &Mean, double Value, double Weight) {
  Mean = Mean > 0 ? Mean + Weight * (Value - Mean) : Value;
}

/// Returns the factor by which counts taken at Since have decayed by now.
double remainder(const RelayState &State, Instant Since) {
  const auto Passed = static_cast<double>((State.Now - Since).count());
  const auto HalfLife =
      static_cast<double>(State.Options.HealthHalfLife.count());
  return std::exp2(-Passed / HalfLife);
}

void decay(const RelayState &State, TargetHealth &Health) {
  const double Left = remainder(State, Health.CountedAt);
  Health.Answers *= Left;
  Health.Failures *= Left;
  Health.CountedAt = State.Now;
}

double typicalBegin(const RelayState &State, const ServiceName &Service) {
  const auto Found = State.TypicalBegin.find(Service);
  return Found == State.TypicalBegin.end() ? 0 : Found->second;
}

} // namespace

void noteAnswerBegun(RelayState &State, const RelayCall &Call) {
  const auto Found = State.Targets.find(Call.Target);
  if (Found == State.Targets.end())
    return;
  const auto Taken = static_cast<double>((State.Now - Call.SentAt).count());
  TargetHealth &Health = Found->second.Health;
  decay(State, Health);
  ++Health.Answers;
  average(Health.BeginMillis, Taken, TargetWeight);
  average(State.TypicalBegin[Call.Service], Taken, ServiceWeight);
}

void noteFailedAttempt(RelayState &State, const TargetId &Target) {
  const auto Found = State.Targets.find(Target);
  if (Found == State.Targets.end())
    return;
  decay(State, Found->second.Health);
  ++Found->second.Health.Failures;
}

double expectedLoss(const RelayState &State, const RelayTarget &Target) {
  const RelayOptions &Options = State.Options;
  const TargetHealth &Health = Target.Health;
  const double Left = remainder(State, Health.CountedAt);
  const double Failures = Health.Failures * Left;
  const double Seen = Failures + Health.Answers * Left;
  const double FailureRate = Failures / (Seen + Options.HealthPrior);
  const double Usual =
      Options.SlowFactor * typicalBegin(State, Target.Entry.Service);
  // Slowness decays with time, as the target may have recovered.
  const double Slowness =
      Usual > 0 ? Left * std::max(0.0, Health.BeginMillis - Usual) : 0;
  const double Loss =
      FailureRate * static_cast<double>(Options.FailureCost.count()) + Slowness;
  // A cost below that of one more running request is noise and must not decide
  // between targets.
  return Loss < static_cast<double>(Options.CostWhileFree.count()) ? 0 : Loss;
}

Milliseconds silenceLimitOf(const RelayState &State,
                            const ServiceName &Service) {
  const double Usual =
      State.Options.SilenceFactor * typicalBegin(State, Service);
  return std::max(State.Options.SilenceAtLeast,
                  Milliseconds(static_cast<std::int64_t>(Usual)));
}

std::vector<RequestId> takeSilentCalls(RelayContext &Context) {
  RelayState &State = Context.State;
  std::vector<RequestId> Silent;
  for (auto &[Request, Call] : State.Calls) {
    const bool IsOpen = Call.Phase == RelayPhase::Running && !Call.Head;
    if (!IsOpen || Call.IsSilenceNoted)
      continue;
    if (State.Now - Call.SentAt < silenceLimitOf(State, Call.Service))
      continue;
    Call.IsSilenceNoted = true;
    noteFailedAttempt(State, Call.Target);
    Context.logCall(
        "target_silent", Call,
        {{"target", Call.Target.Value},
         {"silent_ms", RelayContext::millis(State.Now - Call.SentAt)}});
    Context.count("relay_silent_attempts_total", "no_answer");
    Silent.push_back(Request);
  }
  return Silent;
}

} // namespace tanagerlanding
