#include "tanagerlanding/decision/ledger/LedgerView.h"

#include <algorithm>

namespace tanagerlanding {

std::size_t
LedgerView::writeQuorum(const std::vector<LedgerMember> &Set) const {
  return std::min<std::size_t>(Set.size(), this->Tolerated + 1);
}

std::size_t LedgerView::readQuorum() const {
  const std::size_t Size = this->Current.size();
  return Size > this->Tolerated ? Size - this->Tolerated : 1;
}

std::vector<LedgerMember> LedgerView::allMembers() const {
  std::vector<LedgerMember> All = this->Current;
  for (const LedgerMember &Each : this->Next) {
    if (!containsHolder(All, Each.Holder))
      All.push_back(Each);
  }
  return All;
}

bool containsHolder(const std::vector<LedgerMember> &Set,
                    const HolderId &Holder) {
  return std::any_of(Set.begin(), Set.end(), [&](const LedgerMember &Each) {
    return Each.Holder == Holder;
  });
}

} // namespace tanagerlanding
