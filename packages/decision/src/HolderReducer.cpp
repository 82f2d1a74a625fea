#include "tanagerlanding/decision/HolderReducer.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Handles the events of a holder, one overload for each.
class HolderHandler {
public:
  HolderHandler(HolderState &State, std::vector<HolderEffect> &Effects)
      : State(State), Effects(Effects) {}

  void operator()(const HolderRequestReceived &Event) {
    std::visit([&](const auto &Request) { this->handle(Event.Peer, Request); },
               Event.Request);
  }

  void operator()(const BatchPersisted &Event) {
    if (this->State.HasFailed)
      return;
    this->Effects.push_back(SendFromHolder{Event.Peer, Event.Notice});
  }

  void operator()(const DataFolderFailed &) { this->State.HasFailed = true; }

private:
  void handle(const HostId &Peer, const AppendRecords &Request) {
    HeldShard &Shard = this->State.Shards[Request.Shard];
    if (this->State.HasFailed || Request.OwnerEpoch < Shard.Fence) {
      this->reject(Peer, Request, Shard);
      return;
    }
    Shard.Fence = Request.OwnerEpoch;
    std::uint64_t &Next = Shard.NextIndex[Request.OwnerEpoch];
    if (Next == 0)
      Next = 1;

    // A batch that would leave a gap is rejected; the owner then starts a new
    // epoch.
    if (Request.FirstIndex > Next) {
      this->reject(Peer, Request, Shard);
      return;
    }
    const std::uint64_t Known = Next - Request.FirstIndex;
    AppendRecords Fresh = Request;
    const auto Drop = std::min<std::uint64_t>(Known, Fresh.Records.size());
    Fresh.Records.erase(Fresh.Records.begin(),
                        Fresh.Records.begin() + static_cast<long>(Drop));
    Fresh.FirstIndex = Request.FirstIndex + Drop;
    Next = std::max(Next, Request.FirstIndex + Request.Records.size());

    const RecordsPersisted Notice{Request.Shard, Request.OwnerEpoch,
                                  this->State.Self, Next - 1};
    this->Effects.push_back(PersistBatch{Peer, std::move(Fresh), Notice});
  }

  void handle(const HostId &Peer, const SealLog &Request) {
    HeldShard &Shard = this->State.Shards[Request.Shard];
    if (Request.NewEpoch < Shard.Fence)
      return;
    Shard.Fence = Request.NewEpoch;
    const bool IsKnown = !this->State.HasFailed &&
                         Shard.NextIndex.count(Request.SourceEpoch) > 0;
    LogSealed Head{Request.Shard,
                   Request.SourceEpoch,
                   Request.NewEpoch,
                   this->State.Self,
                   IsKnown,
                   0,
                   true,
                   {}};
    this->Effects.push_back(PersistFenceAndSend{Peer, Request, Head});
  }

  void handle(const HostId &, const ReleaseLog &Request) {
    HeldShard &Shard = this->State.Shards[Request.Shard];
    const auto End = Shard.NextIndex.lower_bound(Request.BelowEpoch);
    if (End == Shard.NextIndex.begin())
      return;
    Shard.NextIndex.erase(Shard.NextIndex.begin(), End);
    this->Effects.push_back(DropEpochs{Request.Shard, Request.BelowEpoch});
  }

  void reject(const HostId &Peer, const AppendRecords &Request,
              const HeldShard &Shard) {
    this->Effects.push_back(
        SendFromHolder{Peer, AppendRejected{Request.Shard, Request.OwnerEpoch,
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
