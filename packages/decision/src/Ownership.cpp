#include "Ownership.h"

#include "CallAdmission.h"
#include "CallAttempts.h"
#include "CallDeadlines.h"
#include "CallOutcomes.h"
#include "Durability.h"
#include "Membership.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Number of holders that must have persisted a record before it is durable.
constexpr std::size_t HolderCount = 2;

std::uint64_t rendezvousWeight(ShardId Shard, const HostId &Host) {
  return hashBytes(std::to_string(Shard.Value) + "@" + Host.Value);
}

/// Returns the number of live entries that rank before this one as candidates
/// for the shard.
unsigned candidateRank(const EntryState &State, ShardId Shard) {
  const std::uint64_t Own = rendezvousWeight(Shard, State.Self);
  unsigned Rank = 0;
  for (const auto &[Host, Peer] : State.Peers) {
    if (isEntryLive(State, Host) && rendezvousWeight(Shard, Host) > Own)
      ++Rank;
  }
  return Rank;
}

/// Returns the journals that are available now: this entry's own first, then
/// the others by rendezvous weight.
std::vector<HolderRef> availableHolders(const EntryState &State,
                                        ShardId Shard) {
  std::vector<HolderRef> Found;
  for (const auto &[Host, Peer] : State.Peers) {
    if (Peer.Holder && isEntryLive(State, Host) &&
        State.FailedHolders.count(*Peer.Holder) == 0)
      Found.push_back(HolderRef{*Peer.Holder, Host});
  }
  std::sort(Found.begin(), Found.end(), [&](const auto &A, const auto &B) {
    return rendezvousWeight(Shard, A.Host) > rendezvousWeight(Shard, B.Host);
  });
  if (State.Holder && State.FailedHolders.count(*State.Holder) == 0)
    Found.insert(Found.begin(), HolderRef{*State.Holder, State.Self});
  return Found;
}

/// Returns HolderCount journals in different availability zones, or fewer if
/// not enough are available.
std::vector<HolderRef> chooseHolders(const EntryState &State, ShardId Shard) {
  std::vector<HolderRef> Chosen;
  std::set<ZoneId> Zones;
  for (const HolderRef &Holder : availableHolders(State, Shard)) {
    const auto Host = State.Accepted.Hosts.find(Holder.Host);
    if (Host == State.Accepted.Hosts.end())
      continue;
    if (Chosen.size() < HolderCount && Zones.insert(Host->second.Zone).second)
      Chosen.push_back(Holder);
  }
  return Chosen;
}

/// Returns the row with which this entry takes the shard over from the owner in
/// the row Present.
ShardEntry takeoverRow(const EntryState &State, const ShardEntry &Present,
                       std::vector<HolderRef> Holders) {
  ShardEntry Entry;
  Entry.OwnerEpoch = Epoch(Present.OwnerEpoch.Value + 1);
  Entry.Owner = State.Self;
  Entry.OwnerInstance = State.Instance;
  Entry.Holders = std::move(Holders);
  Entry.Source = Present.IsServing ? Present.Holders : Present.Source;
  Entry.SourceEpoch =
      Present.IsServing ? Present.OwnerEpoch : Present.SourceEpoch;
  return Entry;
}

void setPhase(EntryContext &Context, OwnedShard &Shard, ShardPhase Phase) {
  Shard.Phase = Phase;
  Shard.PhaseSince = Context.now();
}

void writeRow(EntryContext &Context, const OwnedShard &Shard, ShardId Id) {
  const bool IsClaim = Shard.Phase == ShardPhase::Claiming;
  const Revision Expected =
      IsClaim ? Shard.ClaimedFrom : Context.State.Table[Id].ModRevision;
  Context.Effects.push_back(WriteShardEntry{Id, Expected, Shard.Entry});
}

/// Starts a new epoch of the shard with this entry as its owner. Returns false
/// if too few journals are available.
bool claim(EntryContext &Context, ShardId Id) {
  std::vector<HolderRef> Holders = chooseHolders(Context.State, Id);
  if (Holders.size() < HolderCount)
    return false;
  OwnedShard &Shard = Context.State.Owned[Id];
  const VersionedShardEntry &Present = Context.State.Table[Id];
  Shard.Entry = takeoverRow(Context.State, Present.Entry, std::move(Holders));
  Shard.ClaimedFrom = Present.ModRevision;
  if (Shard.Phase == ShardPhase::Serving)
    Shard.StoppedAt = Context.now();
  setPhase(Context, Shard, ShardPhase::Claiming);
  Context.log("shard_claiming",
              {{"shard", std::to_string(Id.Value)},
               {"epoch", std::to_string(Shard.Entry.OwnerEpoch.Value)}});
  writeRow(Context, Shard, Id);
  return true;
}

void requestSeal(EntryContext &Context, const OwnedShard &Shard, ShardId Id) {
  for (const HolderRef &Holder : Shard.Entry.Source)
    Context.send(Holder.Host,
                 SealLog{Id, Shard.Entry.SourceEpoch, Shard.Entry.OwnerEpoch});
}

void startCopy(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  setPhase(Context, Shard, ShardPhase::Copying);
  Shard.HasOwnState = true;
  Shard.NextIndex = 1;
  Shard.Acknowledged.clear();
  for (PendingRecord &Waiting : Shard.Pending) {
    // The snapshot contains the record.
    Waiting.Index = 0;
    Waiting.Since = Context.now();
  }
  sendSnapshot(Context, Shard, Id);
}

void handleClaimed(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  Shard.NextSequence = 1;
  if (Shard.HasOwnState || Shard.Entry.Source.empty()) {
    startCopy(Context, Shard, Id);
    return;
  }
  setPhase(Context, Shard, ShardPhase::Sealing);
  requestSeal(Context, Shard, Id);
}

void releaseOldLogs(EntryContext &Context, const OwnedShard &Shard,
                    ShardId Id) {
  const ReleaseLog Release{Id, Shard.Entry.OwnerEpoch};
  if (Context.State.Holder)
    Context.send(Context.State.Self, Release);
  for (const auto &[Host, Peer] : Context.State.Peers) {
    if (Peer.IsConnected && Peer.Holder)
      Context.send(Host, Release);
  }
}

void handleServing(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  setPhase(Context, Shard, ShardPhase::Serving);
  Shard.HasServed = true;
  Context.log("shard_serving",
              {{"shard", std::to_string(Id.Value)},
               {"epoch", std::to_string(Shard.Entry.OwnerEpoch.Value)},
               {"programs", std::to_string(Shard.DurableState.size())}});
  releaseOldLogs(Context, Shard, Id);
  runDurableActions(Context, Shard, Id);
  adoptPrograms(Context, Shard, Id);
  adoptOpenIntents(Context, Shard, Id);
  sendKeptPrefixesToAll(Context);
  startWaitingCalls(Context, Shard, Id);
}

/// Releases ownership of the shard after another entry has taken it over. Only
/// the new owner can determine the outcome of the calls, so their execution is
/// reported as unknown.
void stepDown(EntryContext &Context, ShardId Id) {
  const auto Found = Context.State.Owned.find(Id);
  OwnedShard Shard = std::move(Found->second);
  Context.State.Owned.erase(Found);
  Context.log("shard_lost", {{"shard", std::to_string(Id.Value)}});
  const CallFailure Failure{CallError::OwnerLost, Execution::Unknown,
                            Context.State.Options.RetryAfter,
                            "another entry took the program over"};
  for (auto &[Program, Runtime] : Shard.Programs) {
    for (auto &[Agent, Queue] : Runtime.AgentQueues) {
      if (Queue.Active) {
        removeFromTargetLoad(Context.State, *Queue.Active);
        answerWaiters(Context, Queue.Active->Pending.Waiters, Failure);
      }
      for (const PendingCall &Pending : Queue.Waiting)
        answerWaiters(Context, Pending.Waiters, Failure);
    }
  }
  for (const PendingRecord &Waiting : Shard.Pending) {
    if (const auto *End = std::get_if<ConfirmEnd>(&Waiting.Action))
      answerRoute(Context, End->Route, Failure);
  }
}

/// Handles a row that was changed during a claim but has a lower epoch than the
/// claim: its owner has started serving. A claim based on the older row would
/// read the log from the wrong holders, or from none.
void dropVoidClaim(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  Context.log("shard_claim_void",
              {{"shard", std::to_string(Id.Value)},
               {"epoch", std::to_string(Shard.Entry.OwnerEpoch.Value)}});
  // A ledger that is already loaded here need not be read from holders, so the
  // shard can be claimed again at once.
  if (!Shard.HasOwnState)
    stepDown(Context, Id);
  else if (!claim(Context, Id))
    refuseUndurable(Context, Shard, Id);
}

/// Advances a claim according to the row that is now in the table.
void advance(EntryContext &Context, ShardId Id) {
  const auto Found = Context.State.Owned.find(Id);
  if (Found == Context.State.Owned.end())
    return;
  OwnedShard &Shard = Found->second;
  const VersionedShardEntry &Present = Context.State.Table[Id];
  const ShardEntry &Row = Present.Entry;
  const bool IsOwn = Row == Shard.Entry;
  if (Shard.Phase == ShardPhase::Claiming) {
    if (IsOwn)
      handleClaimed(Context, Shard, Id);
    else if (!(Row.OwnerEpoch < Shard.Entry.OwnerEpoch))
      stepDown(Context, Id);
    else if (Shard.ClaimedFrom < Present.ModRevision)
      dropVoidClaim(Context, Shard, Id);
    return;
  }
  if (Shard.Entry.OwnerEpoch < Row.OwnerEpoch) {
    stepDown(Context, Id);
    return;
  }
  if (Shard.Phase == ShardPhase::Confirming && IsOwn)
    handleServing(Context, Shard, Id);
}

/// Repeats a step of a claim that has not been answered, and starts a new epoch
/// if the holders do not acknowledge records.
void superviseOwned(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  const EntryOptions &Options = Context.State.Options;
  const Milliseconds Elapsed = Context.now() - Shard.PhaseSince;
  switch (Shard.Phase) {
  case ShardPhase::Claiming:
  case ShardPhase::Confirming:
    if (Elapsed < Options.TableWriteRetryInterval)
      return;
    Shard.PhaseSince = Context.now();
    writeRow(Context, Shard, Id);
    refuseUndurable(Context, Shard, Id);
    return;
  case ShardPhase::Sealing:
    if (Elapsed < Options.TableWriteRetryInterval)
      return;
    Shard.PhaseSince = Context.now();
    requestSeal(Context, Shard, Id);
    return;
  case ShardPhase::Copying:
    if (Elapsed >= Options.AppendTimeout)
      claim(Context, Id);
    return;
  case ShardPhase::Serving:
    if (Shard.Pending.empty() ||
        Context.now() - Shard.Pending.front().Since < Options.AppendTimeout)
      return;
    if (!claim(Context, Id))
      refuseUndurable(Context, Shard, Id);
    return;
  }
}

void claimIfOrphaned(EntryContext &Context, ShardId Id) {
  EntryState &State = Context.State;
  const auto Row = State.Table.find(Id);
  // A row that names this entry has no live owner if this entry no longer owns
  // the shard.
  const bool HasOwner = Row != State.Table.end() &&
                        Row->second.Entry.Owner != State.Self &&
                        isOwnerLive(State, Row->second.Entry);
  if (HasOwner) {
    State.OrphanedSince.erase(Id);
    return;
  }
  const Instant Since =
      State.OrphanedSince.emplace(Id, State.Now).first->second;
  const unsigned Rank = candidateRank(State, Id);
  if (State.Now < Since + State.Options.TakeoverStagger * Rank)
    return;
  if (claim(Context, Id))
    State.OrphanedSince.erase(Id);
}

} // namespace

bool isOwnerLive(const EntryState &State, const ShardEntry &Entry) {
  if (Entry.Owner.Value.empty())
    return false;
  if (Entry.Owner == State.Self)
    return Entry.OwnerInstance == State.Instance;
  const auto Peer = State.Peers.find(Entry.Owner);
  if (Peer == State.Peers.end())
    return false;
  // After this entry's start, peers get time to connect and send their Hello.
  if (Peer->second.Instance.Value.empty())
    return State.Now < State.StartedAt + State.Options.PeerHeartbeatTimeout;
  return isEntryLive(State, Entry.Owner) &&
         Peer->second.Instance == Entry.OwnerInstance;
}

OwnedShard *findUsable(EntryState &State, ShardId Id) {
  const auto Found = State.Owned.find(Id);
  if (Found == State.Owned.end() || !Found->second.HasServed)
    return nullptr;
  return &Found->second;
}

void handleTable(EntryContext &Context, const TableObserved &Event) {
  if (Event.IsWhole)
    Context.State.HasTable = true;
  for (const auto &[Id, Row] : Event.Rows) {
    VersionedShardEntry &Known = Context.State.Table[Id];
    if (Known.ModRevision < Row.ModRevision)
      Known = Row;
    advance(Context, Id);
  }
}

void superviseShards(EntryContext &Context) {
  EntryState &State = Context.State;
  if (!State.HasTable)
    return;
  for (std::uint32_t Number = 0; Number < State.Options.ShardCount; ++Number) {
    const ShardId Id(Number);
    const auto Owned = State.Owned.find(Id);
    if (Owned != State.Owned.end())
      superviseOwned(Context, Owned->second, Id);
    else if (!State.IsDraining)
      claimIfOrphaned(Context, Id);
  }
}

void confirmIfCopied(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  if (!isDurable(Shard, Shard.SnapshotEnd))
    return;
  setPhase(Context, Shard, ShardPhase::Confirming);
  Shard.Entry.IsServing = true;
  Shard.Entry.Source.clear();
  Shard.Entry.SourceEpoch = Epoch();
  writeRow(Context, Shard, Id);
}

void handleSealed(EntryContext &Context, const LogSealed &Answer) {
  const auto Found = Context.State.Owned.find(Answer.Shard);
  if (Found == Context.State.Owned.end())
    return;
  OwnedShard &Shard = Found->second;
  const bool IsAwaited = Shard.Phase == ShardPhase::Sealing &&
                         Answer.NewEpoch == Shard.Entry.OwnerEpoch &&
                         Answer.SourceEpoch == Shard.Entry.SourceEpoch;
  if (!IsAwaited || !Answer.IsKnown)
    return;
  auto &[NextPart, Received] = Shard.Sealed[Answer.Holder];
  // The holder received the seal request again and restarts with part 0.
  if (Answer.Part == 0) {
    NextPart = 0;
    Received.clear();
  }
  if (Answer.Part != NextPart)
    return;
  ++NextPart;
  Received.insert(Received.end(), Answer.Records.begin(), Answer.Records.end());
  Shard.PhaseSince = Context.now();
  if (!Answer.IsLast)
    return;
  Shard.DurableState.clear();
  for (const Record &Content : Received)
    applyRecord(Shard.DurableState, Content);
  Shard.Sealed.clear();
  startCopy(Context, Shard, Answer.Shard);
  // Must precede the admission of calls, so that a repeated call finds the call
  // that is still open.
  adoptPrograms(Context, Shard, Answer.Shard);
  adoptOpenIntents(Context, Shard, Answer.Shard);
}

void handleRejected(EntryContext &Context, const AppendRejected &Answer) {
  const auto Found = Context.State.Owned.find(Answer.Shard);
  if (Found == Context.State.Owned.end() ||
      Found->second.Entry.OwnerEpoch != Answer.OwnerEpoch)
    return;
  if (Answer.OwnerEpoch < Answer.HighestEpoch) {
    stepDown(Context, Answer.Shard);
    return;
  }
  // The host may have been replaced and store another journal, which is not a
  // holder of this shard and must not be marked as failed.
  const auto &Holders = Found->second.Entry.Holders;
  if (std::any_of(Holders.begin(), Holders.end(), [&](const HolderRef &Kept) {
        return Kept.Holder == Answer.Holder;
      }))
    Context.State.FailedHolders.insert(Answer.Holder);
  if (!claim(Context, Answer.Shard))
    refuseUndurable(Context, Found->second, Answer.Shard);
}

void handleHolderConnected(EntryContext &Context, const HostId &Host,
                           const HolderId &Holder) {
  for (auto &[Id, Shard] : Context.State.Owned) {
    for (const HolderRef &Kept : Shard.Entry.Holders) {
      if (Kept.Holder == Holder)
        resendUnacknowledged(Context, Shard, Id, Kept);
    }
    if (Shard.Phase == ShardPhase::Serving)
      Context.send(Host, ReleaseLog{Id, Shard.Entry.OwnerEpoch});
    if (Shard.Phase == ShardPhase::Sealing)
      requestSeal(Context, Shard, Id);
  }
}

} // namespace tanagerlanding
