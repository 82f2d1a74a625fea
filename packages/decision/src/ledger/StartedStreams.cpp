#include "StartedStreams.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

using StreamMap = std::map<Fingerprint, StartedStream>;

/// Adds an origin under a key. Returns whether there was room for it.
bool addOrigin(LedgerContext &Context, StreamMap &Streams, Fingerprint Key,
               const StreamStarted &Started) {
  const LedgerState &State = Context.State;
  const Instant ExpiresAt = State.Now + Started.Retention;
  const auto Found = Streams.find(Key);
  if (Found != Streams.end()) {
    // Streams of two versions do not fit together, so neither origin may be
    // used for as long as one of them is kept.
    if (!(Found->second.Origin == Started.Origin))
      Found->second.Origin.Version = SoftwareVersion();
    Found->second.ExpiresAt = std::max(Found->second.ExpiresAt, ExpiresAt);
    return true;
  }
  if (State.Options.StartedStreamLimit <= Streams.size())
    return false;
  Streams.emplace(Key, StartedStream{Started.Origin, ExpiresAt});
  return true;
}

std::optional<StreamOrigin> find(const StreamMap &Streams, Fingerprint Key,
                                 Instant Now) {
  const auto Found = Streams.find(Key);
  if (Found == Streams.end() || !(Now < Found->second.ExpiresAt))
    return std::nullopt;
  return Found->second.Origin;
}

void expire(StreamMap &Streams, Instant Now) {
  for (auto Each = Streams.begin(); Each != Streams.end();)
    Each = Now < Each->second.ExpiresAt ? std::next(Each) : Streams.erase(Each);
}

} // namespace

void beginKeepingStreams(LedgerState &State) {
  if (!State.StreamsCompleteSince)
    State.StreamsCompleteSince = State.Now;
}

void recordStartedStream(LedgerContext &Context, const StreamStarted &Started) {
  LedgerState &State = Context.State;
  const bool IsKept = addOrigin(Context, State.StartedStreams,
                                fingerprintOf(Started.Attempt), Started);
  // Relays of an earlier software version do not report the content.
  const bool IsContentKept =
      !(Started.Content == Fingerprint()) &&
      addOrigin(Context, State.StreamsByContent, Started.Content, Started);
  if (IsKept && IsContentKept)
    return;
  State.StreamsCompleteSince = State.Now;
  if (!IsKept || !(Started.Content == Fingerprint()))
    Context.count("ledger_stream_origins_dropped_total", "limit");
}

std::optional<StreamOrigin> originOf(const LedgerState &State,
                                     const OpenTurn &Request) {
  if (Request.ResumedAttempt)
    return find(State.StartedStreams, fingerprintOf(*Request.ResumedAttempt),
                State.Now);
  if (Request.ResumedContent)
    return find(State.StreamsByContent, *Request.ResumedContent, State.Now);
  return std::nullopt;
}

Milliseconds streamsKeptFor(const LedgerState &State) {
  return State.StreamsCompleteSince ? State.Now - *State.StreamsCompleteSince
                                    : Milliseconds(0);
}

void expireStartedStreams(LedgerState &State) {
  expire(State.StartedStreams, State.Now);
  expire(State.StreamsByContent, State.Now);
}

} // namespace tanagerlanding
