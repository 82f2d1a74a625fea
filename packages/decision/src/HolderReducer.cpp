#include "tanagerlanding/decision/HolderReducer.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Handles the events of a holder, one overload for each.
class HolderHandler {
public:
  HolderHandler(HolderState &State, std::vector<HolderEffect> &Effects)
      : State(State), Effects(Effects) {}

  void operator()(const HolderAsked &Event) {
    std::visit([&](const auto &Asked) { this->handle(Event.Peer, Asked); },
               Event.Asked);
  }

  void operator()(const BatchPersisted &Event) {
    if (this->State.Failed)
      return;
    this->Effects.push_back(SendFromHolder{Event.Peer, Event.Notice});
  }

  void operator()(const DataFolderFailed &) { this->State.Failed = true; }

private:
  void handle(const HostId &Peer, const AppendRecords &Asked) {
    HeldShard &Shard = this->State.Shards[Asked.Shard];
    if (this->State.Failed || Asked.OwnerEpoch < Shard.Fence) {
      this->reject(Peer, Asked, Shard);
      return;
    }
    Shard.Fence = Asked.OwnerEpoch;
    std::uint64_t &Next = Shard.NextIndex[Asked.OwnerEpoch];
    if (Next == 0)
      Next = 1;

    // A batch that would leave a gap is rejected; the owner then starts a new
    // epoch.
    if (Asked.FirstIndex > Next) {
      this->reject(Peer, Asked, Shard);
      return;
    }
    const std::uint64_t Known = Next - Asked.FirstIndex;
    AppendRecords Fresh = Asked;
    const auto Drop = std::min<std::uint64_t>(Known, Fresh.Records.size());
    Fresh.Records.erase(Fresh.Records.begin(),
                        Fresh.Records.begin() + static_cast<long>(Drop));
    Fresh.FirstIndex = Asked.FirstIndex + Drop;
    Next = std::max(Next, Asked.FirstIndex + Asked.Records.size());

    const RecordsPersisted Notice{Asked.Shard, Asked.OwnerEpoch,
                                  this->State.Self, Next - 1};
    this->Effects.push_back(PersistBatch{Peer, std::move(Fresh), Notice});
  }

  void handle(const HostId &Peer, const SealLog &Asked) {
    HeldShard &Shard = this->State.Shards[Asked.Shard];
    if (Asked.NewEpoch < Shard.Fence)
      return;
    Shard.Fence = Asked.NewEpoch;
    const bool IsKnown =
        !this->State.Failed && Shard.NextIndex.count(Asked.SourceEpoch) > 0;
    LogSealed Head{Asked.Shard,    Asked.SourceEpoch,
                   Asked.NewEpoch, this->State.Self,
                   IsKnown,        0,
                   true,           {}};
    this->Effects.push_back(PersistFenceAndSend{Peer, Asked, Head});
  }

  void handle(const HostId &, const ReleaseLog &Asked) {
    HeldShard &Shard = this->State.Shards[Asked.Shard];
    const auto End = Shard.NextIndex.lower_bound(Asked.BelowEpoch);
    if (End == Shard.NextIndex.begin())
      return;
    Shard.NextIndex.erase(Shard.NextIndex.begin(), End);
    this->Effects.push_back(DropEpochs{Asked.Shard, Asked.BelowEpoch});
  }

  void reject(const HostId &Peer, const AppendRecords &Asked,
              const HeldShard &Shard) {
    this->Effects.push_back(
        SendFromHolder{Peer, AppendRejected{Asked.Shard, Asked.OwnerEpoch,
                                            Shard.Fence, this->State.Self}});
  }

  HolderState &State;
  std::vector<HolderEffect> &Effects;
};

} // namespace

std::vector<HolderEffect> reduce(HolderState &State, const HolderEvent &Event) {
  std::vector<HolderEffect> Effects;
  std::visit(HolderHandler(State, Effects), Event);
  return Effects;
}

} // namespace tanagerlanding
