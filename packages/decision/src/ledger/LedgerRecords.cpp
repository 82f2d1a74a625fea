#include "LedgerRecords.h"

#include "MissingTurns.h"
#include "StartedStreams.h"
#include "StreamOutputs.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// A program's claims are kept this many times as long as its turns, since a
/// program that was stopped may be resumed until its last turn expires.
constexpr int ClaimRetentionFactor = 2;

/// Releases one reference to a batch. Removes the batch with its last
/// reference, and drops its segment with the segment's last batch.
void releaseBatch(LedgerContext &Context, std::uint64_t Number) {
  LedgerState &State = Context.State;
  const auto Found = State.StoredBatches.find(Number);
  if (Found == State.StoredBatches.end())
    return;
  if (--Found->second.LiveRecords > 0)
    return;
  const std::uint64_t Segment = Found->second.Place.Segment;
  State.StoredBatches.erase(Found);
  const auto Left = State.BatchesInSegment.find(Segment);
  if (Left == State.BatchesInSegment.end() || --Left->second > 0)
    return;
  State.BatchesInSegment.erase(Left);
  Context.add(DropSegment{Segment});
}

void extendExpiry(Instant &Expiry, Instant NewExpiry) {
  if (Expiry < NewExpiry)
    Expiry = NewExpiry;
}

/// Confirms closes that have waited for a turn, or lets them wait for the next
/// one that their chain lacks.
void forwardCloses(LedgerContext &Context, std::vector<UnconfirmedClose> Closes,
                   const std::optional<TurnId> &Missing) {
  for (UnconfirmedClose &Each : Closes)
    confirmOrAwait(Context, std::move(Each), Missing);
}

/// Applies the expiry and the closes that have waited for a turn that is new in
/// the index.
void fillGap(LedgerContext &Context, const TurnId &Turn) {
  LedgerState &State = Context.State;
  const auto Gap = State.MissingTurns.find(Turn);
  if (Gap == State.MissingTurns.end())
    return;
  MissingTurn Filled = std::move(Gap->second);
  State.MissingTurns.erase(Gap);
  const auto Missing = extendChain(State, Turn, Filled.NeededUntil);
  forwardCloses(Context, std::move(Filled.Closes), Missing);
}

bool isSuperseded(const TokenClaim &Present, const TokenClaim &Offered) {
  return Offered.IsSettled && !Present.IsSettled;
}

/// Adds the records of one batch to the index, with one overload for each type.
/// The overloads return whether the batch has to be kept for the record.
class RecordIndexer {
public:
  RecordIndexer(LedgerContext &Context, std::uint64_t Batch, Instant Expiry,
                Instant ClaimExpiry)
      : Context(Context), Batch(Batch), Expiry(Expiry),
        ClaimExpiry(ClaimExpiry) {}

  bool operator()(const TurnRecord &Kept) {
    LedgerState &State = this->Context.State;
    const bool IsNew =
        State.Turns
            .emplace(Kept.Turn,
                     TurnIndexEntry{Kept.Previous, Kept.Target, this->Batch,
                                    this->Expiry, Kept.textBytes()})
            .second;
    extendChain(State, Kept.Turn, this->Expiry);
    fillGap(this->Context, Kept.Turn);
    return IsNew;
  }

  bool operator()(const TokenClaimRecord &Claimed) {
    ProgramClaims &Program = this->Context.State.Programs[Claimed.Program];
    extendExpiry(Program.ExpiresAt, this->ClaimExpiry);
    StoredClaim &Entry = Program.Claims[Claimed.Claim.Turn];
    const bool IsNew = Entry.Batch == 0 && !Entry.Claim.IsSettled;
    if (!IsNew && !isSuperseded(Entry.Claim, Claimed.Claim))
      return false;
    if (Entry.Batch != 0)
      releaseBatch(this->Context, Entry.Batch);
    Entry = StoredClaim{Claimed.Claim, this->Batch};
    return true;
  }

private:
  LedgerContext &Context;
  const std::uint64_t Batch;
  const Instant Expiry;
  const Instant ClaimExpiry;
};

} // namespace

std::optional<TurnId> extendChain(LedgerState &State, const TurnId &Last,
                                  Instant NewExpiry) {
  std::optional<TurnId> Next = Last;
  while (Next) {
    const auto Found = State.Turns.find(*Next);
    if (Found == State.Turns.end()) {
      extendExpiry(State.MissingTurns[*Next].NeededUntil, NewExpiry);
      return Next;
    }
    extendExpiry(Found->second.ExpiresAt, NewExpiry);
    Next = Found->second.Previous;
  }
  return std::nullopt;
}

void indexBatch(LedgerContext &Context, const LedgerBatch &Batch,
                BatchLocation Place, Milliseconds Age) {
  LedgerState &State = Context.State;
  const std::uint64_t Number = State.NextBatch++;
  // Starts with one reference of its own, so that the batch is not released
  // while its records are added.
  State.StoredBatches[Number] = StoredBatch{Place, 1};
  ++State.BatchesInSegment[Place.Segment];
  const Milliseconds Kept = Batch.Retention + State.Options.RetentionMargin;
  RecordIndexer Index(Context, Number, State.Now + (Kept - Age),
                      State.Now + (Kept * ClaimRetentionFactor - Age));
  for (const LedgerRecord &Each : Batch.Records) {
    if (std::visit(Index, Each))
      ++State.StoredBatches[Number].LiveRecords;
  }
  releaseBatch(Context, Number);
}

void addPendingClaim(LedgerState &State, const TokenClaimRecord &Record,
                     Milliseconds Retention) {
  ProgramClaims &Program = State.Programs[Record.Program];
  extendExpiry(Program.ExpiresAt,
               State.Now + (Retention + State.Options.RetentionMargin) *
                               ClaimRetentionFactor);
  Program.Claims.emplace(Record.Claim.Turn, StoredClaim{Record.Claim, 0});
}

LedgerBatch withoutKnown(const LedgerState &State, LedgerBatch Batch) {
  const auto IsKnown = [&State](const LedgerRecord &Record) {
    if (const auto *Turn = std::get_if<TurnRecord>(&Record))
      return State.Turns.count(Turn->Turn) > 0;
    const auto &Claimed = std::get<TokenClaimRecord>(Record);
    const auto Program = State.Programs.find(Claimed.Program);
    if (Program == State.Programs.end())
      return false;
    const auto Present = Program->second.Claims.find(Claimed.Claim.Turn);
    return Present != Program->second.Claims.end() &&
           Present->second.Batch != 0 &&
           !isSuperseded(Present->second.Claim, Claimed.Claim);
  };
  Batch.Records.erase(
      std::remove_if(Batch.Records.begin(), Batch.Records.end(), IsKnown),
      Batch.Records.end());
  return Batch;
}

std::optional<std::uint64_t> persistCopy(LedgerContext &Context,
                                         const LedgerBatch &Batch) {
  LedgerState &State = Context.State;
  LedgerBatch Unknown = withoutKnown(State, Batch);
  if (Unknown.Records.empty())
    return std::nullopt;
  const std::uint64_t Ticket = State.NextTicket++;
  State.PendingBatches[Ticket] =
      PendingBatch{{}, {}, State.View.Version, Unknown};
  Context.add(PersistLedgerBatch{Ticket, std::move(Unknown)});
  return Ticket;
}

std::vector<TokenClaim> claimsOf(const LedgerState &State,
                                 const ProgramId &Program) {
  std::vector<TokenClaim> Claims;
  const auto Found = State.Programs.find(Program);
  if (Found == State.Programs.end())
    return Claims;
  for (const auto &[Turn, Entry] : Found->second.Claims)
    Claims.push_back(Entry.Claim);
  return Claims;
}

void sweepRecords(LedgerContext &Context) {
  LedgerState &State = Context.State;
  if (State.Now - State.SweptAt < State.Options.SweepInterval)
    return;
  State.SweptAt = State.Now;
  expireEvidence(State.Suspects, State.Now);
  expireStartedStreams(State);
  expireStreamOutputs(State);
  for (auto Turn = State.Turns.begin(); Turn != State.Turns.end();) {
    if (State.Now < Turn->second.ExpiresAt) {
      ++Turn;
      continue;
    }
    releaseBatch(Context, Turn->second.Batch);
    Turn = State.Turns.erase(Turn);
  }
  for (auto Gap = State.MissingTurns.begin();
       Gap != State.MissingTurns.end();) {
    const bool IsNeeded = State.Now < Gap->second.NeededUntil;
    Gap = IsNeeded ? std::next(Gap) : State.MissingTurns.erase(Gap);
  }
  for (auto Each = State.Programs.begin(); Each != State.Programs.end();) {
    if (State.Now < Each->second.ExpiresAt) {
      ++Each;
      continue;
    }
    for (const auto &[Turn, Entry] : Each->second.Claims)
      releaseBatch(Context, Entry.Batch);
    Each = State.Programs.erase(Each);
  }
}

std::optional<TurnId> missingTurnOf(const LedgerState &State,
                                    const TurnId &Last) {
  // Gaps are recorded when a turn is added to the index.
  if (State.MissingTurns.empty())
    return std::nullopt;
  std::optional<TurnId> Next = Last;
  while (Next) {
    const auto Found = State.Turns.find(*Next);
    if (Found == State.Turns.end())
      return Next;
    Next = Found->second.Previous;
  }
  return std::nullopt;
}

TurnChain chainOf(const LedgerState &State, const TurnId &Last) {
  TurnChain Chain;
  std::optional<TurnId> Next = Last;
  while (Next) {
    const auto Found = State.Turns.find(*Next);
    if (Found == State.Turns.end()) {
      Chain.MissingTurn = Next;
      break;
    }
    const StoredBatch &Batch = State.StoredBatches.at(Found->second.Batch);
    Chain.Turns.emplace_back(*Next, Batch.Place);
    Chain.TextBytes += Found->second.TextBytes;
    Next = Found->second.Previous;
  }
  std::reverse(Chain.Turns.begin(), Chain.Turns.end());
  return Chain;
}

std::optional<std::vector<TurnPiece>> piecesOf(const LedgerState &State,
                                               const HistoryQuery &Query) {
  std::vector<std::map<TurnId, TurnIndexEntry>::const_iterator> Chain;
  std::optional<TurnId> Next = Query.End;
  while (Next && !(Next == Query.After)) {
    Chain.push_back(State.Turns.find(*Next));
    if (Chain.back() == State.Turns.end())
      return std::nullopt;
    Next = Chain.back()->second.Previous;
  }
  if (!(Next == Query.After))
    return std::nullopt;
  std::vector<TurnPiece> Pieces;
  std::uint64_t Skipped = Query.Offset;
  std::uint64_t Left = Query.Bytes;
  for (auto Each = Chain.rbegin(); Each != Chain.rend() && Left > 0; ++Each) {
    const auto &[Turn, Entry] = **Each;
    if (Entry.TextBytes <= Skipped) {
      Skipped -= Entry.TextBytes;
      continue;
    }
    const std::uint64_t Bytes = std::min(Left, Entry.TextBytes - Skipped);
    Pieces.push_back(TurnPiece{Turn, State.StoredBatches.at(Entry.Batch).Place,
                               Skipped, Bytes});
    Skipped = 0;
    Left -= Bytes;
  }
  if (Left > 0)
    return std::nullopt;
  return Pieces;
}

} // namespace tanagerlanding
