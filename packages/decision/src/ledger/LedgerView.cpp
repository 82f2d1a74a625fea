#include "tanagerlanding/decision/ledger/LedgerView.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

std::size_t countIn(const std::set<HolderId> &Holders,
                    const std::vector<LedgerMember> &Members) {
  return static_cast<std::size_t>(std::count_if(
      Members.begin(), Members.end(), [&](const LedgerMember &Each) {
        return Holders.count(Each.Holder) > 0;
      }));
}

} // namespace

std::size_t
LedgerView::writeQuorum(const std::vector<LedgerMember> &Set) const {
  return std::min<std::size_t>(Set.size(), this->ToleratedFailures + 1);
}

std::size_t LedgerView::readQuorum() const {
  const std::size_t Size = this->Current.size();
  return Size > this->ToleratedFailures ? Size - this->ToleratedFailures : 1;
}

bool LedgerView::hasWriteQuorum(const std::set<HolderId> &Holders) const {
  return countIn(Holders, this->Current) >= this->writeQuorum(this->Current) &&
         countIn(Holders, this->Next) >= this->writeQuorum(this->Next);
}

bool LedgerView::hasReadQuorum(const std::set<HolderId> &Holders) const {
  return countIn(Holders, this->Current) >= this->readQuorum();
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
