#include "MissingTurns.h"

#include "LedgerMembership.h"
#include "LedgerRecords.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns whether no write quorum can have a turn, since a read quorum lacks
/// it.
bool isGone(const LedgerState &State, const MissingTurn &Gap) {
  std::set<HolderId> Without = Gap.UnknownTo;
  Without.insert(State.Self.Holder);
  return State.View.hasReadQuorum(Without);
}

bool isDue(const LedgerState &State, const MissingTurn &Gap) {
  const bool IsUnderWay = Gap.RequestedAt && State.Now - *Gap.RequestedAt <
                                                 State.Options.RetryInterval;
  return !IsUnderWay && !isGone(State, Gap);
}

/// Returns the nearest member that may have a turn and was not asked for it
/// yet; if all were, they are asked again.
std::optional<LedgerMember> pickSource(const LedgerState &State,
                                       MissingTurn &Gap) {
  const auto IsSource = [&](const LedgerMember &Each) {
    return !(Each.Holder == State.Self.Holder) &&
           Gap.UnknownTo.count(Each.Holder) == 0;
  };
  const std::vector<LedgerMember> Members = nearestFirst(State);
  const auto Found = std::find_if(
      Members.begin(), Members.end(), [&](const LedgerMember &Each) {
        return IsSource(Each) && Gap.Asked.count(Each.Holder) == 0;
      });
  if (Found != Members.end())
    return *Found;
  Gap.Asked.clear();
  const auto Again = std::find_if(Members.begin(), Members.end(), IsSource);
  if (Again == Members.end())
    return std::nullopt;
  return *Again;
}

std::set<TurnId> turnsIn(const std::vector<LedgerBatch> &Batches) {
  std::set<TurnId> Turns;
  for (const LedgerBatch &Batch : Batches) {
    for (const LedgerRecord &Each : Batch.Records) {
      if (const auto *Kept = std::get_if<TurnRecord>(&Each))
        Turns.insert(Kept->Turn);
    }
  }
  return Turns;
}

void confirm(LedgerContext &Context, const UnconfirmedClose &Close) {
  Context.send(Close.Peer,
               TurnClosed{Close.Operation, Context.State.Self.Holder});
}

/// Records that a replica does not have a turn.
void recordUnknown(LedgerContext &Context, const TurnId &Turn,
                   const HolderId &Holder) {
  LedgerState &State = Context.State;
  const auto Found = State.MissingTurns.find(Turn);
  if (Found == State.MissingTurns.end())
    return;
  MissingTurn &Gap = Found->second;
  Gap.UnknownTo.insert(Holder);
  if (!isGone(State, Gap))
    return;
  Context.log("turn_gone", {{"turn", Turn.Value},
                            {"closes", std::to_string(Gap.Closes.size())}});
  for (const UnconfirmedClose &Each : Gap.Closes)
    confirm(Context, Each);
  Gap.Closes.clear();
}

} // namespace

void confirmOrAwait(LedgerContext &Context, UnconfirmedClose Close,
                    const std::optional<TurnId> &Missing) {
  LedgerState &State = Context.State;
  const auto Gap =
      Missing ? State.MissingTurns.find(*Missing) : State.MissingTurns.end();
  if (Gap == State.MissingTurns.end() || isGone(State, Gap->second)) {
    confirm(Context, Close);
    return;
  }
  Gap->second.Closes.push_back(std::move(Close));
}

void requestMissingTurns(LedgerContext &Context) {
  LedgerState &State = Context.State;
  if (State.MissingTurns.empty())
    return;
  const bool IsMember =
      containsHolder(State.View.allMembers(), State.Self.Holder);
  if (!IsMember || isCopying(State))
    return;
  std::map<HostId, TurnsQuery> Queries;
  for (auto &[Turn, Gap] : State.MissingTurns) {
    if (!isDue(State, Gap))
      continue;
    const auto Source = pickSource(State, Gap);
    if (!Source)
      continue;
    TurnsQuery &Query = Queries[Source->Host];
    if (Query.Turns.size() == State.Options.TurnsPerQuery)
      continue;
    Query.Turns.push_back(Turn);
    Gap.Asked.insert(Source->Holder);
    Gap.RequestedAt = State.Now;
  }
  for (auto &[Host, Query] : Queries) {
    Context.log("missing_turns_requested",
                {{"from", Host.Value},
                 {"turns", std::to_string(Query.Turns.size())},
                 {"missing", std::to_string(State.MissingTurns.size())}});
    Context.send(Host, std::move(Query));
  }
}

void sendTurns(LedgerContext &Context, const HostId &Peer,
               const TurnsQuery &Query) {
  const LedgerState &State = Context.State;
  SendTurns Reply;
  Reply.Peer = Peer;
  Reply.Header.Holder = State.Self.Holder;
  // Others have not copied all records yet.
  const bool IsCurrent = containsHolder(State.View.Current, State.Self.Holder);
  std::uint32_t Bytes = 0;
  for (const TurnId &Each : Query.Turns) {
    const auto Found = State.Turns.find(Each);
    if (Found == State.Turns.end()) {
      if (IsCurrent)
        Reply.Header.Unknown.push_back(Each);
      continue;
    }
    if (Bytes >= State.Options.PageBytes)
      continue;
    const BatchLocation &Place =
        State.StoredBatches.at(Found->second.Batch).Place;
    Bytes += Place.Length;
    Reply.Batches.push_back(Place);
  }
  Context.add(std::move(Reply));
}

void handleTurnsFound(LedgerContext &Context, const TurnsFound &Reply) {
  LedgerState &State = Context.State;
  for (const LedgerBatch &Each : Reply.Batches)
    persistCopy(Context, Each);
  for (const TurnId &Each : Reply.Unknown)
    recordUnknown(Context, Each, Reply.Holder);
  // What the reply had no room for is requested at the next tick.
  const std::set<TurnId> Found = turnsIn(Reply.Batches);
  for (auto &[Turn, Gap] : State.MissingTurns) {
    if (Gap.Asked.count(Reply.Holder) > 0 && Found.count(Turn) == 0)
      Gap.RequestedAt.reset();
  }
}

} // namespace tanagerlanding
