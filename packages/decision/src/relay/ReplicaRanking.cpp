#include "ReplicaRanking.h"

#include "Turns.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanagerlanding {

std::vector<HolderId> liveIssuers(const RelayState &State) {
  const std::set<HolderId> Live = liveReplicas(State);
  std::vector<HolderId> Found;
  for (const LedgerMember &Each : State.View.allMembers()) {
    if (Live.count(Each.Holder) > 0)
      Found.push_back(Each.Holder);
  }
  return Found;
}

bool hasNoIssuer(const RelayState &State) {
  const std::vector<HolderId> Live = liveIssuers(State);
  return std::all_of(Live.begin(), Live.end(), [&](const HolderId &Each) {
    return isSilent(State, Each);
  });
}

std::vector<HolderId> rankedIssuers(const RelayState &State,
                                    const std::string &Subject) {
  std::vector<std::tuple<bool, std::uint64_t, HolderId>> Ranked;
  for (const HolderId &Each : liveIssuers(State))
    Ranked.emplace_back(isSilent(State, Each),
                        hashBytes(Subject + '/' + Each.Value), Each);
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<HolderId> Order;
  Order.reserve(Ranked.size());
  for (auto &[Silent, Rank, Holder] : Ranked)
    Order.push_back(std::move(Holder));
  return Order;
}

bool isSilent(const RelayState &State, const HolderId &Replica) {
  const auto Found = State.SilentIssuersUntil.find(Replica);
  return Found != State.SilentIssuersUntil.end() && State.Now < Found->second;
}

void markSilent(RelayState &State, const HolderId &Replica) {
  State.SilentIssuersUntil[Replica] =
      State.Now + State.Options.SilentIssuerTime;
}

} // namespace tanagerlanding
