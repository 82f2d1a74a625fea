#include "StartedStreams.h"

namespace tanagerlanding {

void recordStartedStream(LedgerContext &Context, const StreamStarted &Started) {
  LedgerState &State = Context.State;
  const Fingerprint Attempt = fingerprintOf(Started.Attempt);
  const bool IsFull =
      State.Options.StartedStreamLimit <= State.StartedStreams.size();
  if (IsFull && State.StartedStreams.count(Attempt) == 0) {
    Context.count("ledger_stream_origins_dropped_total", "limit");
    return;
  }
  State.StartedStreams[Attempt] =
      StartedStream{Started.Origin, State.Now + Started.Retention};
}

std::optional<StreamOrigin> originOf(const LedgerState &State,
                                     const CallerAttemptId &Attempt) {
  const auto Found = State.StartedStreams.find(fingerprintOf(Attempt));
  if (Found == State.StartedStreams.end())
    return std::nullopt;
  return Found->second.Origin;
}

void expireStartedStreams(LedgerState &State) {
  for (auto Each = State.StartedStreams.begin();
       Each != State.StartedStreams.end();)
    Each = State.Now < Each->second.ExpiresAt
               ? std::next(Each)
               : State.StartedStreams.erase(Each);
}

} // namespace tanagerlanding
