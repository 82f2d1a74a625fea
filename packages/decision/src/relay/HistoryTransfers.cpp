#include "HistoryTransfers.h"

#include "Attempts.h"
#include "Hedging.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns the query for the next part of a history, without an operation.
HistoryQuery nextPartOf(const HistoryTransfer &Transfer,
                        std::uint32_t MaxBytes) {
  const HistorySegment &Segment = Transfer.Unread.front();
  HistoryQuery Query;
  Query.End = Segment.End;
  Query.After = Segment.After;
  Query.Offset = Transfer.Offset;
  Query.Bytes = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(MaxBytes, Segment.Bytes - Transfer.Offset));
  return Query;
}

/// Advances a transfer by the part that it has received.
void advance(HistoryTransfer &Transfer, std::uint64_t Bytes) {
  Transfer.Offset += Bytes;
  if (Transfer.Offset < Transfer.Unread.front().Bytes)
    return;
  Transfer.Unread.pop_front();
  Transfer.Offset = 0;
}

/// Sends the query of a transfer's next part to an untried replica. Without
/// one, the next review tries all again.
void askForPart(RelayContext &Context, RelayAttemptId Attempt,
                HistoryTransfer &Transfer) {
  RelayState &State = Context.State;
  // A late answer to the last query is ignored.
  State.PendingParts.erase(Transfer.Wanted->Operation);
  Transfer.Source = pickHistorySource(State, Transfer.TriedSources);
  if (!Transfer.Source) {
    Transfer.TriedSources.clear();
    return;
  }
  Transfer.TriedSources.insert(*Transfer.Source);
  Transfer.AskedAt = State.Now;
  Transfer.Wanted->Operation = LedgerOperationId(State.NextOperation++);
  State.PendingParts[Transfer.Wanted->Operation] = Attempt;
  Context.send(*Transfer.Source, *Transfer.Wanted);
}

/// Asks for the next part of a transfer, unless one is wanted already, two are
/// held for the target, or there is no room for it.
void readOn(RelayContext &Context, RelayAttemptId Attempt,
            HistoryTransfer &Transfer) {
  RelayState &State = Context.State;
  const std::uint32_t PartBytes = State.Options.HistoryPartBytes;
  if (Transfer.Wanted || Transfer.Unread.empty() ||
      PartBytes < Transfer.UnwrittenBytes)
    return;
  HistoryQuery Query = nextPartOf(Transfer, PartBytes);
  // Transfers that wait come first.
  const bool IsNext = State.TransfersAwaitingRoom.empty() ||
                      State.TransfersAwaitingRoom.front() == Attempt;
  if (!IsNext || !State.HistoryParts.reserve(Query.Bytes)) {
    const auto &Waiting = State.TransfersAwaitingRoom;
    if (std::find(Waiting.begin(), Waiting.end(), Attempt) == Waiting.end())
      State.TransfersAwaitingRoom.push_back(Attempt);
    return;
  }
  if (!State.TransfersAwaitingRoom.empty())
    State.TransfersAwaitingRoom.pop_front();
  Transfer.Wanted = std::move(Query);
  Transfer.WantedSince = State.Now;
  askForPart(Context, Attempt, Transfer);
}

/// Lets transfers read on that wait for room, as far as there is any.
void useFreeRoom(RelayContext &Context) {
  RelayState &State = Context.State;
  while (!State.TransfersAwaitingRoom.empty()) {
    const RelayAttemptId First = State.TransfersAwaitingRoom.front();
    readOn(Context, First, State.HistoryTransfers.at(First));
    const auto &Waiting = State.TransfersAwaitingRoom;
    if (!Waiting.empty() && Waiting.front() == First)
      return;
  }
}

/// Ends a call whose history can't be read. Its target has got part of it and
/// may have begun to run it.
void refuseWithoutHistory(RelayContext &Context, RelayAttemptId Attempt) {
  RelayState &State = Context.State;
  RelayCall &Call = State.Calls.at(State.Attempts.at(Attempt));
  selectAttempt(Call, Attempt);
  Context.logCall(
      "history_unavailable", Call,
      {{"target", Call.Target.Value},
       {"connected", std::to_string(State.ConnectedReplicas.size())}});
  refuseUnfinishedCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
}

/// Ends a transfer whose target has received the whole history. The target's
/// time counts from now on.
void completeTransfer(RelayState &State, RelayAttemptId Attempt) {
  RelayCall &Call = State.Calls.at(State.Attempts.at(Attempt));
  endHistoryTransfer(State, Attempt);
  selectAttempt(Call, Attempt);
  Call.SentAt = State.Now;
}

} // namespace

std::optional<HolderId> pickHistorySource(const RelayState &State,
                                          const std::set<HolderId> &Tried) {
  std::optional<HolderId> Best;
  for (const LedgerMember &Each : State.View.Current) {
    if (State.ConnectedReplicas.count(Each.Holder) == 0 ||
        Tried.count(Each.Holder) > 0)
      continue;
    if (Each.Zone == State.Zone)
      return Each.Holder;
    if (!Best)
      Best = Each.Holder;
  }
  return Best;
}

void startHistoryTransfer(RelayContext &Context, const RelayCall &Call) {
  const TurnLedger &Ledger = Call.Ledger;
  if (!Ledger.IsHistoryLong || Ledger.historyBytes() == 0)
    return;
  HistoryTransfer &Transfer = Context.State.HistoryTransfers[Call.Attempt];
  // The target gets the oldest turns first.
  for (const HistorySegment &Each : Ledger.HistorySegments) {
    if (Each.Bytes > 0)
      Transfer.Unread.push_front(Each);
  }
  readOn(Context, Call.Attempt, Transfer);
}

void endHistoryTransfer(RelayState &State, RelayAttemptId Attempt) {
  const auto Found = State.HistoryTransfers.find(Attempt);
  if (Found == State.HistoryTransfers.end())
    return;
  const HistoryTransfer &Transfer = Found->second;
  State.HistoryParts.release(Transfer.UnwrittenBytes);
  if (Transfer.Wanted) {
    State.HistoryParts.release(Transfer.Wanted->Bytes);
    State.PendingParts.erase(Transfer.Wanted->Operation);
  }
  auto &Waiting = State.TransfersAwaitingRoom;
  Waiting.erase(std::remove(Waiting.begin(), Waiting.end(), Attempt),
                Waiting.end());
  State.HistoryTransfers.erase(Found);
}

bool isHistoryUnderWay(const RelayState &State, RelayAttemptId Attempt) {
  return State.HistoryTransfers.count(Attempt) > 0;
}

void handleHistoryPart(RelayContext &Context, const HolderId &Holder,
                       const HistoryPart &Part) {
  RelayState &State = Context.State;
  const auto Pending = State.PendingParts.find(Part.Operation);
  if (Pending == State.PendingParts.end())
    return;
  const RelayAttemptId Attempt = Pending->second;
  HistoryTransfer &Transfer = State.HistoryTransfers.at(Attempt);
  const std::size_t Bytes = Part.Data ? Part.Data->size() : 0;
  if (!Part.Data || Bytes != Transfer.Wanted->Bytes) {
    Context.log("history_part_missing",
                {{"holder", Holder.Value},
                 {"end", Transfer.Wanted->End.Value},
                 {"offset", std::to_string(Transfer.Wanted->Offset)}});
    askForPart(Context, Attempt, Transfer);
    return;
  }
  State.PendingParts.erase(Pending);
  Transfer.Wanted.reset();
  Transfer.TriedSources.clear();
  Transfer.UnwrittenBytes += Bytes;
  advance(Transfer, Bytes);
  Context.add(SendAttemptPart{Attempt, *Part.Data});
  readOn(Context, Attempt, Transfer);
}

void handlePartWritten(RelayContext &Context, const AttemptPartWritten &Event) {
  RelayState &State = Context.State;
  const auto Found = State.HistoryTransfers.find(Event.Attempt);
  if (Found == State.HistoryTransfers.end())
    return;
  HistoryTransfer &Transfer = Found->second;
  Transfer.UnwrittenBytes -= Event.Bytes;
  State.HistoryParts.release(Event.Bytes);
  const bool IsComplete = Transfer.Unread.empty() && !Transfer.Wanted &&
                          Transfer.UnwrittenBytes == 0;
  if (IsComplete)
    completeTransfer(State, Event.Attempt);
  else
    readOn(Context, Event.Attempt, Transfer);
  useFreeRoom(Context);
}

void replaceHistorySource(RelayContext &Context, const HolderId &Lost) {
  for (auto &[Attempt, Transfer] : Context.State.HistoryTransfers) {
    if (Transfer.Wanted && Transfer.Source == Lost)
      askForPart(Context, Attempt, Transfer);
  }
}

void reviewHistoryTransfers(RelayContext &Context) {
  RelayState &State = Context.State;
  const RelayOptions &Options = State.Options;
  useFreeRoom(Context);
  std::vector<RelayAttemptId> Lost;
  for (auto &[Attempt, Transfer] : State.HistoryTransfers) {
    if (!Transfer.Wanted)
      continue;
    if (Options.HistoryLossTimeout <= State.Now - Transfer.WantedSince)
      Lost.push_back(Attempt);
    else if (!Transfer.Source ||
             Options.HistoryPartTimeout <= State.Now - Transfer.AskedAt)
      askForPart(Context, Attempt, Transfer);
  }
  for (const RelayAttemptId Attempt : Lost) {
    // Both attempts of a call may be in the list.
    if (State.HistoryTransfers.count(Attempt) > 0)
      refuseWithoutHistory(Context, Attempt);
  }
}

} // namespace tanagerlanding
