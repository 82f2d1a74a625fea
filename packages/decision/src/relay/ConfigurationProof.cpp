#include "ConfigurationProof.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Source of the proofs that come from the relay's own watch.
constexpr const char *OwnWatch = "own_watch";
/// Vouches may be for several changes of the configuration that are still in
/// transit; more than a few mean that their values never arrive.
constexpr std::size_t MaxPendingVouches = 16;
/// Shares of the maximum age of a proof. At 4,750 ms they leave the usual delay
/// of a second between watches and 790 ms for slow answers of the service,
/// which take some hundred milliseconds.
constexpr int WatchDelayDivisor = 4;
constexpr int AnswerTimeDivisor = 6;

bool needsProof(const RelayState &State) {
  return State.Options.IsRevocationStrict && State.Configuration &&
         State.Configuration->needsKeys();
}

bool isRecent(const RelayState &State, Instant ProvenAt) {
  return State.Now - ProvenAt < State.Options.MaxProofAge;
}

void recordProof(RelayState &State, Instant ProvenAt,
                 const std::string &Source) {
  ConfigurationProof &Proof = State.ConfigurationProof;
  if (Proof.ProvenAt && ProvenAt <= *Proof.ProvenAt)
    return;
  Proof.ProvenAt = ProvenAt;
  Proof.Source = Source;
}

void keepVouch(RelayState &State, Revision KeyRevision,
               const PendingVouch &Vouch) {
  auto &Pending = State.ConfigurationProof.PendingVouches;
  for (auto Each = Pending.begin(); Each != Pending.end();)
    Each = isRecent(State, Each->second.ProvenAt) ? std::next(Each)
                                                  : Pending.erase(Each);
  const auto [Known, IsNew] = Pending.emplace(KeyRevision, Vouch);
  if (!IsNew && Known->second.ProvenAt < Vouch.ProvenAt)
    Known->second = Vouch;
  if (MaxPendingVouches < Pending.size())
    Pending.erase(std::prev(Pending.end()));
}

} // namespace

Heartbeat heartbeatOf(const RelayState &State, Instant Now) {
  Heartbeat Beat;
  if (State.Options.IsRevocationStrict)
    Beat.SentAt = Now + State.HeartbeatOffset;
  return Beat;
}

Milliseconds configurationProofAge(const RelayState &State) {
  return State.Now - State.ConfigurationProof.ProvenAt.value_or(Instant());
}

WatchTiming boundWatchTiming(Milliseconds MaxProofAge, WatchTiming Longest) {
  // A proof dates from when its watch was sent. Shortly before the next watch
  // is answered it is as old as two waits, the delay between them, and the time
  // that the service takes for its answers.
  WatchTiming Bounded;
  Bounded.Delay = std::min(Longest.Delay, MaxProofAge / WatchDelayDivisor);
  const Milliseconds Waits =
      MaxProofAge - MaxProofAge / AnswerTimeDivisor - Bounded.Delay;
  Bounded.Timeout = std::min(Longest.Timeout, Waits / 2);
  return Bounded;
}

bool isConfigurationProven(const RelayState &State) {
  const auto &ProvenAt = State.ConfigurationProof.ProvenAt;
  return !needsProof(State) || (ProvenAt && isRecent(State, *ProvenAt));
}

bool mayUseKey(const RelayState &State, const RelayCall &Call) {
  return !Call.Team || Call.HasBegunAnswer || isConfigurationProven(State);
}

std::optional<Instant> sendDeadlineOf(const RelayState &State,
                                      const RelayCall &Call) {
  const auto &ProvenAt = State.ConfigurationProof.ProvenAt;
  if (!Call.Team || Call.HasBegunAnswer || !needsProof(State) || !ProvenAt)
    return std::nullopt;
  return *ProvenAt + State.Options.MaxProofAge;
}

void recordConfigurationKey(RelayContext &Context, Revision KeyRevision) {
  RelayState &State = Context.State;
  ConfigurationProof &Proof = State.ConfigurationProof;
  Proof.KeyRevision = std::max(Proof.KeyRevision, KeyRevision);
  auto &Pending = Proof.PendingVouches;
  while (!Pending.empty() && !(Proof.KeyRevision < Pending.begin()->first)) {
    const PendingVouch &Vouch = Pending.begin()->second;
    recordProof(State, Vouch.ProvenAt, Vouch.Source.Value);
    Pending.erase(Pending.begin());
  }
}

void recordOwnProof(RelayContext &Context, Instant AskedAt) {
  recordProof(Context.State, AskedAt, OwnWatch);
}

void handleConfigurationVouch(RelayContext &Context, const HolderId &Holder,
                              const ConfigurationVouch &Vouch) {
  RelayState &State = Context.State;
  if (!State.Options.IsRevocationStrict ||
      Vouch.SentAt.SinceStart < State.HeartbeatOffset)
    return;
  const Instant ProvenAt = Vouch.SentAt - State.HeartbeatOffset;
  // A time in the future is from the clock of another process.
  if (State.Now < ProvenAt)
    return;
  if (State.ConfigurationProof.KeyRevision < Vouch.KeyRevision)
    keepVouch(State, Vouch.KeyRevision, PendingVouch{ProvenAt, Holder});
  else
    recordProof(State, ProvenAt, Holder.Value);
}

void reviewConfigurationProof(RelayContext &Context) {
  RelayState &State = Context.State;
  ConfigurationProof &Proof = State.ConfigurationProof;
  if (!needsProof(State))
    return;
  const bool IsValid = isConfigurationProven(State);
  if (IsValid == Proof.WasValid)
    return;
  Context.log(
      IsValid ? "configuration_proof_gained" : "configuration_proof_lost",
      {{"source", Proof.Source},
       {"age_ms", RelayContext::millis(configurationProofAge(State))},
       {"limit_ms", RelayContext::millis(State.Options.MaxProofAge)},
       {"config", std::to_string(State.Configuration->Version.Value)},
       {"revision", std::to_string(Proof.KeyRevision.Value)},
       {"pending_vouches", std::to_string(Proof.PendingVouches.size())},
       {"passed_ms", RelayContext::millis(State.Now - Proof.ChangedAt)}});
  Context.count("relay_configuration_proof_changes_total",
                IsValid ? "gained" : "lost");
  Proof.WasValid = IsValid;
  Proof.ChangedAt = State.Now;
}

} // namespace tanagerlanding
