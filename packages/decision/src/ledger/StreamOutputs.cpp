#include "StreamOutputs.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

using StreamEntry = std::map<Fingerprint, KnownStreamOutput>::iterator;

/// Returns the size of a kept or a reported output.
template <typename Output> std::size_t sizeOf(const Output &Part) {
  return Part.Data.size() + Part.Marks.size() * sizeof(OutputMark);
}

void dropAttempt(LedgerState &State, KnownStreamOutput &Stream,
                 Fingerprint Attempt) {
  const auto Found = Stream.Attempts.find(Attempt);
  if (Found == Stream.Attempts.end())
    return;
  State.StreamOutputBytes -= sizeOf(Found->second);
  Stream.Attempts.erase(Found);
}

StreamEntry dropStream(LedgerState &State, StreamEntry Stream) {
  for (const auto &[Attempt, Output] : Stream->second.Attempts)
    State.StreamOutputBytes -= sizeOf(Output);
  State.StreamsByTurnKey.erase({Stream->second.TurnKey, Stream->first});
  return State.StreamOutputs.erase(Stream);
}

/// Returns the keys of the known streams that answer a turn.
std::vector<Fingerprint> streamsOf(const LedgerState &State,
                                   Fingerprint TurnKey) {
  std::vector<Fingerprint> Found;
  for (auto Each = State.StreamsByTurnKey.lower_bound({TurnKey, Fingerprint()});
       Each != State.StreamsByTurnKey.end() && Each->first == TurnKey; ++Each)
    Found.push_back(Each->second);
  return Found;
}

/// Returns the stream whose first attempt a caller names, if it is known and
/// answers the same turn.
std::optional<Fingerprint> resumedStreamOf(const LedgerState &State,
                                           const OpenTurn &Request) {
  if (!Request.ResumedAt || !Request.ResumedAttempt)
    return std::nullopt;
  const Fingerprint Named = fingerprintOf(*Request.ResumedAttempt);
  const auto Found = State.StreamOutputs.find(Named);
  if (Found == State.StreamOutputs.end() ||
      !(Found->second.TurnKey == Request.ResumedAt->TurnKey))
    return std::nullopt;
  return Named;
}

/// Returns the stream that a report is about. Only the first report of the
/// attempt that began a stream makes it known.
StreamEntry findOrAddStream(LedgerState &State, const StreamOutput &Row) {
  const auto Found = State.StreamOutputs.find(Row.Stream);
  const bool IsBeginning = Row.IsFirst && Row.Attempt == Row.Stream;
  if (Found != State.StreamOutputs.end() || !IsBeginning)
    return Found;
  State.StreamsByTurnKey.insert({Row.TurnKey, Row.Stream});
  KnownStreamOutput Stream;
  Stream.TurnKey = Row.TurnKey;
  return State.StreamOutputs.emplace(Row.Stream, Stream).first;
}

/// Appends the marks of a report to an output that was Known bytes long.
/// Returns whether the ids of the events rise.
bool appendMarks(AttemptOutput &Output, const StreamOutput &Row,
                 std::size_t Known) {
  for (const OutputMark &Each : Row.Marks) {
    const bool IsNewer =
        Output.Marks.empty() || Output.Marks.back().EventId < Each.EventId;
    if (IsNewer && Known <= Each.Bytes)
      Output.Marks.push_back(Each);
    else if (!IsNewer && Known < Each.Bytes)
      return false;
  }
  return true;
}

/// Appends what is new in a report, unless a part before it is missing. Returns
/// whether the report agrees with what is known.
bool appendOutput(AttemptOutput &Output, const StreamOutput &Row) {
  const std::size_t Known = Output.Data.size();
  if (Known < Row.Offset)
    return true;
  const std::size_t Repeated =
      std::min<std::size_t>(Known - Row.Offset, Row.Data.size());
  if (Output.Data.compare(Row.Offset, Repeated, Row.Data, 0, Repeated) != 0)
    return false;
  Output.Data.append(Row.Data, Repeated);
  return appendMarks(Output, Row, Known);
}

void recordStreamOutput(LedgerContext &Context, const StreamOutput &Row) {
  LedgerState &State = Context.State;
  if (State.Options.StreamOutputBytesLimit <
      State.StreamOutputBytes + sizeOf(Row)) {
    Context.count("ledger_stream_outputs_dropped_total", "limit");
    return;
  }
  const StreamEntry Stream = findOrAddStream(State, Row);
  if (Stream == State.StreamOutputs.end())
    return;
  KnownStreamOutput &Known = Stream->second;
  AttemptOutput &Output =
      Known.Attempts
          .emplace(Row.Attempt, AttemptOutput{Row.ContinuedAfter, {}, {}})
          .first->second;
  State.StreamOutputBytes -= sizeOf(Output);
  if (Output.ContinuedAfter != Row.ContinuedAfter || !appendOutput(Output, Row))
    Known.IsContradictory = true;
  State.StreamOutputBytes += sizeOf(Output);
  Known.ExpiresAt = std::max(Known.ExpiresAt, State.Now + Row.Retention);
}

/// Returns the output up to the end of an event; absent if it is not known that
/// far.
std::optional<std::string> outputUpTo(const AttemptOutput &Output,
                                      std::uint64_t EventId) {
  const auto Mark = std::find_if(
      Output.Marks.begin(), Output.Marks.end(),
      [EventId](const OutputMark &Each) { return Each.EventId == EventId; });
  if (Mark == Output.Marks.end())
    return std::nullopt;
  return Output.Data.substr(0, Mark->Bytes);
}

/// Finds the output of a stream before a position. Callers continue a stream at
/// the last event that they have, so of several attempts the one that went on
/// after the last event before the position has brought the rest.
ResumedOutput outputBefore(const KnownStreamOutput &Stream,
                           std::uint64_t Position, Fingerprint OwnAttempt) {
  ResumedOutput Found;
  const AttemptOutput *Last = nullptr;
  for (const auto &[Attempt, Output] : Stream.Attempts) {
    if (Attempt == OwnAttempt || !(Output.ContinuedAfter < Position))
      continue;
    if (Last && Output.ContinuedAfter < Last->ContinuedAfter)
      continue;
    Found.IsAmbiguous = Last && Output.ContinuedAfter == Last->ContinuedAfter;
    Found.Attempt = Attempt;
    Found.ContinuedAfter = Output.ContinuedAfter;
    Last = &Output;
  }
  Found.IsAmbiguous = Found.IsAmbiguous || Stream.IsContradictory;
  if (Position == 0)
    Found.Output.emplace();
  else if (Last)
    Found.Output = outputUpTo(*Last, Position);
  return Found;
}

} // namespace

void recordStreamOutputs(LedgerContext &Context,
                         const StreamOutputs &Reported) {
  for (const StreamOutput &Each : Reported.Rows)
    recordStreamOutput(Context, Each);
}

void recordContinuation(LedgerState &State, const OpenTurn &Request) {
  const auto Key = resumedStreamOf(State, Request);
  if (!Key)
    return;
  KnownStreamOutput &Stream = State.StreamOutputs.at(*Key);
  const std::uint64_t After = Request.ResumedAt->After;
  const auto Attempt = Stream.Attempts.emplace(fingerprintOf(Request.Turn),
                                               AttemptOutput{After, {}, {}});
  if (Attempt.first->second.ContinuedAfter != After)
    Stream.IsContradictory = true;
}

void forgetContinuation(LedgerState &State, const ContinuationFailed &Failed) {
  for (const Fingerprint Each : streamsOf(State, Failed.TurnKey)) {
    if (!(Each == Failed.Attempt))
      dropAttempt(State, State.StreamOutputs.at(Each), Failed.Attempt);
  }
}

std::optional<ResumedOutput> resumedOutputOf(const LedgerState &State,
                                             const OpenTurn &Request) {
  const auto Key = resumedStreamOf(State, Request);
  if (!Key)
    return std::nullopt;
  ResumedOutput Found =
      outputBefore(State.StreamOutputs.at(*Key), Request.ResumedAt->After,
                   fingerprintOf(Request.Turn));
  Found.Stream = *Key;
  return Found;
}

void endStreamOutput(LedgerState &State, const TurnId &Turn) {
  const auto Found = State.StreamOutputs.find(fingerprintOf(Turn));
  if (Found != State.StreamOutputs.end())
    Found->second.ExpiresAt = State.Now + State.Options.EndedOutputRetention;
}

void expireStreamOutputs(LedgerState &State) {
  auto &Streams = State.StreamOutputs;
  for (auto Each = Streams.begin(); Each != Streams.end();)
    Each = State.Now < Each->second.ExpiresAt ? std::next(Each)
                                              : dropStream(State, Each);
}

} // namespace tanagerlanding
