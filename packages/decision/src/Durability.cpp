#include "Durability.h"

#include "CallAdmission.h"
#include "CallAttempts.h"
#include "Ownership.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Runs the action of a record that has become durable, one overload for each.
class DurableActionRunner {
public:
  DurableActionRunner(EntryContext &Context, ShardId Shard)
      : Context(Context), Shard(Shard) {}

  void operator()(const std::monostate &) {}

  void operator()(const SendDispatch &Action) {
    dispatchAttempt(this->Context, this->Shard, Action);
  }

  void operator()(const PublishAnswer &Action) {
    publishAnswer(this->Context, this->Shard, Action);
  }

  void operator()(const ConfirmEnd &Action) {
    answerRoute(this->Context, Action.Route,
                TargetAnswer{200, "application/json", "{\"ended\":true}"});
  }

private:
  EntryContext &Context;
  ShardId Shard;
};

bool hasHolders(const OwnedShard &Shard) {
  return Shard.Phase == ShardPhase::Copying ||
         Shard.Phase == ShardPhase::Confirming ||
         Shard.Phase == ShardPhase::Serving;
}

void sendToHolders(EntryContext &Context, const OwnedShard &Shard,
                   const AppendRecords &Batch) {
  for (const HolderRef &Holder : Shard.Entry.Holders)
    Context.send(Holder.Host, Batch);
}

} // namespace

void appendRecord(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                  Record Content, DurableAction Action) {
  applyRecord(Shard.DurableState, Content);
  if (!hasHolders(Shard)) {
    // The snapshot of the next epoch will contain the record.
    Shard.Pending.push_back(
        PendingRecord{0, Context.now(), Content, std::move(Action)});
    return;
  }
  const std::uint64_t Index = Shard.NextIndex++;
  sendToHolders(Context, Shard,
                AppendRecords{Id, Shard.Entry.OwnerEpoch, Index, {Content}});
  Shard.Pending.push_back(PendingRecord{Index, Context.now(),
                                        std::move(Content), std::move(Action)});
}

void sendSnapshot(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  const Epoch OwnerEpoch = Shard.Entry.OwnerEpoch;
  // An empty batch registers the epoch at the holders even if the shard has no
  // programs.
  sendToHolders(Context, Shard, AppendRecords{Id, OwnerEpoch, 1, {}});
  std::deque<PendingRecord> Snapshot;
  for (Record &Content : snapshotOf(Shard.DurableState)) {
    const std::uint64_t Index = Shard.NextIndex++;
    sendToHolders(Context, Shard,
                  AppendRecords{Id, OwnerEpoch, Index, {Content}});
    Snapshot.push_back(
        PendingRecord{Index, Context.now(), std::move(Content), {}});
  }
  Shard.SnapshotEnd = Shard.NextIndex - 1;
  Shard.Pending.insert(Shard.Pending.end(),
                       std::make_move_iterator(Snapshot.begin()),
                       std::make_move_iterator(Snapshot.end()));
}

void resendUnacknowledged(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                          const HolderRef &Holder) {
  if (!hasHolders(Shard))
    return;
  const auto Known = Shard.Acknowledged.find(Holder.Holder);
  const std::uint64_t Last =
      Known == Shard.Acknowledged.end() ? 0 : Known->second;
  const Epoch OwnerEpoch = Shard.Entry.OwnerEpoch;
  Context.send(Holder.Host, AppendRecords{Id, OwnerEpoch, Last + 1, {}});
  for (const PendingRecord &Waiting : Shard.Pending) {
    if (Waiting.Index > Last)
      Context.send(
          Holder.Host,
          AppendRecords{Id, OwnerEpoch, Waiting.Index, {Waiting.Content}});
  }
}

bool isDurable(const OwnedShard &Shard, std::uint64_t Index) {
  const auto HasIndex = [&](const HolderRef &Holder) {
    const auto Known = Shard.Acknowledged.find(Holder.Holder);
    return Known != Shard.Acknowledged.end() && Known->second >= Index;
  };
  return std::all_of(Shard.Entry.Holders.begin(), Shard.Entry.Holders.end(),
                     HasIndex);
}

void runDurableActions(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  while (Shard.Phase == ShardPhase::Serving && !Shard.Pending.empty()) {
    if (!isDurable(Shard, Shard.Pending.front().Index))
      return;
    const DurableAction Action = std::move(Shard.Pending.front().Action);
    Shard.Pending.pop_front();
    std::visit(DurableActionRunner(Context, Id), Action);
  }
}

void handlePersisted(EntryContext &Context, const RecordsPersisted &Notice) {
  const auto Found = Context.State.Owned.find(Notice.Shard);
  if (Found == Context.State.Owned.end())
    return;
  OwnedShard &Shard = Found->second;
  if (Shard.Entry.OwnerEpoch != Notice.OwnerEpoch || !hasHolders(Shard))
    return;
  std::uint64_t &Known = Shard.Acknowledged[Notice.Holder];
  Known = std::max(Known, Notice.Index);
  if (Shard.Phase == ShardPhase::Copying)
    confirmIfCopied(Context, Shard, Notice.Shard);
  runDurableActions(Context, Shard, Notice.Shard);
}

} // namespace tanagerlanding
