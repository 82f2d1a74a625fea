#include "Hedging.h"

#include "Attempts.h"
#include "ConfigurationProof.h"
#include "CrashDetection.h"
#include "HistoryTransfers.h"
#include "Placement.h"
#include "Teams.h"

#include <algorithm>
#include <utility>

namespace tanagerlanding {

namespace {

/// Samples of a service from which its quantile is taken. A relay sees some
/// tens of answers of a service per second.
constexpr std::size_t MaxSamples = 256;
/// Below this number the quantile would be one of the two slowest answers.
constexpr std::size_t MinSamples = 20;
constexpr double HedgeQuantile = 0.95;
/// Largest number of hedges that may be sent at once after a time without any.
constexpr double MaxHedgeCredit = 8;
/// Tokens per unit of known work.
constexpr double TokensPerWorkUnit = 1000;

/// Requests that state their work are compared with each other only.
FirstByteSamples::Key samplesKeyOf(const RelayCall &Call) {
  return {Call.Service, Call.InboundRequest.PromptTokens.Value > 0};
}

double workOf(const RelayCall &Call) {
  const auto Tokens =
      static_cast<double>(Call.InboundRequest.PromptTokens.Value);
  return Tokens > 0 ? Tokens / TokensPerWorkUnit : 1;
}

bool isHedgeable(const RelayCall &Call) {
  return Call.Route.IsIdempotent && !Call.Route.IsStreaming;
}

/// Returns whether a call awaits the first byte of its only attempt.
bool isAwaitingFirstByte(const RelayCall &Call) {
  return Call.Phase == RelayPhase::Running && Call.Attempt.Value != 0 &&
         !Call.Head && !Call.HasBegunAnswer && !Call.Hedge;
}

void denyHedge(RelayContext &Context, RelayCall &Call, const char *Cause) {
  if (std::exchange(Call.IsHedgeDenied, true))
    return;
  Context.count("relay_hedges_denied_total", Cause);
}

/// Sends a hedge for a call that is due, unless a limit forbids it.
void sendHedge(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  // The running attempt and the hedge may both run the request.
  if (Call.Route.MaxAttempts < Call.UncertainSends + 2) {
    denyHedge(Context, Call, "attempts");
    return;
  }
  // The key may have been removed since the first send.
  if (credentialFaultOf(State, Call) || !mayUseKey(State, Call)) {
    denyHedge(Context, Call, "key");
    return;
  }
  if (isSuspect(State, Call)) {
    denyHedge(Context, Call, "suspect");
    return;
  }
  if (State.HedgeCredits[Call.Service] < 1) {
    denyHedge(Context, Call, "share");
    return;
  }
  if (State.Options.HedgeMaxLoad < serviceLoadPerSlot(State, Call.Service)) {
    denyHedge(Context, Call, "load");
    return;
  }
  const auto Chosen = chooseTarget(State, Call);
  if (!Chosen || State.Now < State.Targets.at(Chosen.value()).BackoffUntil) {
    denyHedge(Context, Call, "no_target");
    return;
  }
  swapAttempts(Call);
  if (!beginAttempt(Context, Call, Chosen.value(), "hedge")) {
    swapAttempts(Call);
    Call.Hedge.reset();
    denyHedge(Context, Call, "no_permit");
    return;
  }
  Call.IsHedge = true;
  swapAttempts(Call);
  Call.HasBeenHedged = true;
  State.HedgeCredits[Call.Service] -= 1;
  Context.count("relay_hedges_total", "sent");
}

} // namespace

void FirstByteSamples::add(double Millis) {
  if (this->Recent.size() >= MaxSamples)
    this->Recent.pop_front();
  this->Recent.push_back(Millis);
  if (this->Recent.size() < MinSamples)
    return;
  std::vector<double> Sorted(this->Recent.begin(), this->Recent.end());
  const auto Rank = static_cast<std::ptrdiff_t>(
      HedgeQuantile * static_cast<double>(Sorted.size() - 1));
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
  this->Quantile = Sorted[static_cast<std::size_t>(Rank)];
}

void recordHedgeableRequest(RelayState &State, const RelayCall &Call) {
  if (State.Options.HedgeShare <= 0 || !Call.TriedTargets.empty())
    return;
  double &Credit = State.HedgeCredits[Call.Service];
  Credit = std::min(MaxHedgeCredit, Credit + State.Options.HedgeShare);
}

void recordFirstByteTime(RelayState &State, const RelayCall &Call) {
  if (State.Options.HedgeShare <= 0 || !isHedgeable(Call))
    return;
  const auto Elapsed = static_cast<double>((State.Now - Call.SentAt).count());
  State.FirstByteTimes[samplesKeyOf(Call)].add(Elapsed / workOf(Call));
}

std::optional<Milliseconds> hedgeDelayOf(const RelayState &State,
                                         const RelayCall &Call) {
  const auto Found = State.FirstByteTimes.find(samplesKeyOf(Call));
  if (Found == State.FirstByteTimes.end() || !Found->second.Quantile)
    return std::nullopt;
  return Milliseconds(
      static_cast<std::int64_t>(*Found->second.Quantile * workOf(Call)));
}

void sendDueHedges(RelayContext &Context) {
  RelayState &State = Context.State;
  if (State.Options.HedgeShare <= 0)
    return;
  for (auto &[Request, Call] : State.Calls) {
    if (!isHedgeable(Call) || !isAwaitingFirstByte(Call) ||
        Call.HasBeenHedged || !hasTimeLeft(Context, Call))
      continue;
    const auto Delay = hedgeDelayOf(State, Call);
    if (Delay && *Delay < State.Now - Call.SentAt)
      sendHedge(Context, Call);
  }
}

void swapAttempts(RelayCall &Call) {
  HedgeAttempt Other = Call.Hedge ? std::move(*Call.Hedge) : HedgeAttempt();
  std::swap(Other.Attempt, Call.Attempt);
  std::swap(Other.Target, Call.Target);
  std::swap(Other.SentTo, Call.SentTo);
  std::swap(Other.SentAt, Call.SentAt);
  std::swap(Other.IsFirstByteTimeoutRecorded, Call.IsFirstByteTimeoutRecorded);
  std::swap(Other.Head, Call.Head);
  std::swap(Other.BufferedBody, Call.BufferedBody);
  std::swap(Other.IsHedge, Call.IsHedge);
  Call.Hedge = std::move(Other);
}

void selectAttempt(RelayCall &Call, RelayAttemptId Attempt) {
  if (Call.Hedge && Call.Hedge->Attempt == Attempt)
    swapAttempts(Call);
}

void cancelOtherAttempt(RelayContext &Context, RelayCall &Call) {
  if (!Call.Hedge)
    return;
  RelayState &State = Context.State;
  swapAttempts(Call);
  // A hedge has waited too short a time to tell anything.
  if (!Call.Head && !Call.IsHedge)
    recordFirstByteTime(State, Call);
  if (Call.IsFirstByteTimeoutRecorded && !Call.Head)
    recordLostAttempt(Context, Call, /*IsConnectionClosed=*/false);
  Context.logCall(
      "attempt_cancelled", Call,
      {{"target", Call.Target.Value}, {"hedge", Call.IsHedge ? "yes" : "no"}});
  if (Call.IsHedge)
    Context.count("relay_hedges_total", "cancelled");
  Context.add(CancelTargetAttempt{Call.Attempt});
  State.Attempts.erase(Call.Attempt);
  endHistoryTransfer(State, Call.Attempt);
  removeOutstanding(State, Call.Target);
  swapAttempts(Call);
  Call.Hedge.reset();
}

bool continueOtherAttempt(RelayContext &Context, RelayCall &Call,
                          const char *Cause) {
  if (!Call.Hedge)
    return false;
  Context.logCall("attempt_dropped", Call,
                  {{"target", Call.Target.Value},
                   {"hedge", Call.IsHedge ? "yes" : "no"},
                   {"cause", Cause},
                   {"content", std::to_string(Call.Content.Value)}});
  if (Call.IsHedge)
    Context.count("relay_hedges_total", "failed");
  swapAttempts(Call);
  Call.Hedge.reset();
  return true;
}

void recordHedgeOutcome(RelayContext &Context, const RelayCall &Call) {
  if (Call.IsHedge)
    Context.count("relay_hedges_total", "won");
}

} // namespace tanagerlanding
