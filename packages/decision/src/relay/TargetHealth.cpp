#include "TargetHealth.h"

#include "HistoryTransfers.h"
#include "MovingAverage.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

/// Weights of a new sample in the moving averages of a target and a service. A
/// relay sees about one answer per second from a target and fifty from a
/// service.
constexpr double TargetWeight = 0.25;
constexpr double ServiceWeight = 0.02;

/// Returns the factor by which counts taken at Since have decayed by now.
double decayFactor(const RelayState &State, Instant Since) {
  return decayFactor(Since, State.Now, State.Options.HealthHalfLife);
}

void decay(const RelayState &State, TargetHealth &Health) {
  const double Decay = decayFactor(State, Health.CountedAt);
  Health.Answers *= Decay;
  Health.Failures *= Decay;
  Health.CountedAt = State.Now;
}

double typicalFirstByteMillis(const RelayState &State,
                              const ServiceName &Service) {
  const auto Found = State.TypicalFirstByteMillis.find(Service);
  return Found == State.TypicalFirstByteMillis.end() ? 0 : Found->second;
}

/// Returns the loss that a request's chance to fail at a target means.
double failureCostOf(const RelayState &State, const TargetHealth &Health) {
  const double Decay = decayFactor(State, Health.CountedAt);
  const double Failures = Health.Failures * Decay;
  const double Outcomes = Failures + Health.Answers * Decay;
  const double FailureRate = Failures / (Outcomes + State.Options.HealthPrior);
  return FailureRate * static_cast<double>(State.Options.FailureCost.count());
}

/// A cost below that of one more running request is noise and must not decide
/// between targets.
double aboveNoise(const RelayState &State, double Loss) {
  return Loss < static_cast<double>(State.Options.CostPerRunningRequest.count())
             ? 0
             : Loss;
}

} // namespace

void recordAnswerStart(RelayState &State, const RelayCall &Call) {
  const auto Found = State.Targets.find(Call.Target);
  if (Found == State.Targets.end())
    return;
  const auto Elapsed = static_cast<double>((State.Now - Call.SentAt).count());
  TargetHealth &Health = Found->second.Health;
  decay(State, Health);
  ++Health.Answers;
  updateMovingAverage(Health.FirstByteMillis, Elapsed, TargetWeight);
  updateMovingAverage(State.TypicalFirstByteMillis[Call.Service], Elapsed,
                      ServiceWeight);
}

void recordFailedAttempt(RelayState &State, const TargetId &Target) {
  const auto Found = State.Targets.find(Target);
  if (Found == State.Targets.end())
    return;
  decay(State, Found->second.Health);
  ++Found->second.Health.Failures;
}

double expectedFailureCost(const RelayState &State, const RelayTarget &Target) {
  return aboveNoise(State, failureCostOf(State, Target.Health));
}

double expectedHealthCost(const RelayState &State, const RelayTarget &Target) {
  const TargetHealth &Health = Target.Health;
  const double Usual = State.Options.SlowFactor *
                       typicalFirstByteMillis(State, Target.Entry.Service);
  // Slowness decays with time, as the target may have recovered.
  const double Slowness =
      Usual > 0 ? decayFactor(State, Health.CountedAt) *
                      std::max(0.0, Health.FirstByteMillis - Usual)
                : 0;
  return aboveNoise(State, failureCostOf(State, Health) + Slowness);
}

Milliseconds firstByteTimeoutOf(const RelayState &State,
                                const ServiceName &Service) {
  const double Usual = State.Options.FirstByteTimeoutFactor *
                       typicalFirstByteMillis(State, Service);
  return std::max(State.Options.MinFirstByteTimeout,
                  Milliseconds(static_cast<std::int64_t>(Usual)));
}

std::vector<RequestId> takeFirstByteTimeouts(RelayContext &Context) {
  RelayState &State = Context.State;
  std::vector<RequestId> TimedOut;
  for (auto &[Request, Call] : State.Calls) {
    const bool IsAwaitingHead = Call.Phase == RelayPhase::Running &&
                                !Call.Head &&
                                !isHistoryUnderWay(State, Call.Attempt);
    if (!IsAwaitingHead || Call.IsFirstByteTimeoutRecorded)
      continue;
    if (State.Now - Call.SentAt < firstByteTimeoutOf(State, Call.Service))
      continue;
    Call.IsFirstByteTimeoutRecorded = true;
    recordFailedAttempt(State, Call.Target);
    Context.logCall(
        "target_silent", Call,
        {{"target", Call.Target.Value},
         {"silent_ms", RelayContext::millis(State.Now - Call.SentAt)}});
    Context.count("relay_silent_attempts_total", "no_answer");
    TimedOut.push_back(Request);
  }
  return TimedOut;
}

} // namespace tanagerlanding
