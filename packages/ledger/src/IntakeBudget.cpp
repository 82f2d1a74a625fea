#include "tanagerlanding/ledger/IntakeBudget.h"

#include <algorithm>
#include <utility>

namespace tanagerlanding {

namespace {

/// A message that arrives, and the same while it is decoded.
constexpr std::size_t CopiesOfArriving = 2;
/// Records in the queue of the writer, and the same while they are encoded.
constexpr std::size_t CopiesOfUnstored = 2;
/// The part of the limit up to which small messages are read, without and with
/// a large one that waits. One large message is read beside the latter.
constexpr std::size_t PartForSmallOnly = 2;
constexpr std::size_t PartForSmallAndLarge = 4;

} // namespace

bool IntakeBudget::mayRead(ConnectionId Connection,
                           std::size_t IncompleteBytes) {
  const std::size_t PartForSmall =
      this->WaitingForLarge.empty() ? PartForSmallOnly : PartForSmallAndLarge;
  const bool IsAllowed = MaxSmallBytes < IncompleteBytes
                             ? this->mayReadLarge(Connection, IncompleteBytes)
                             : this->Unstored <= this->Limit / PartForSmall;
  this->IsAnyWaiting = this->IsAnyWaiting || !IsAllowed;
  return IsAllowed;
}

bool IntakeBudget::mayReadLarge(ConnectionId Connection, std::size_t Bytes) {
  if (this->LargeMessages.count(Connection) > 0)
    return true;
  auto &Waiting = this->WaitingForLarge;
  const std::size_t Needed = CopiesOfArriving * Bytes;
  const bool IsNext = Waiting.empty() || Waiting.front() == Connection;
  const bool IsAlone = this->Arriving == 0 &&
                       this->Unstored <= this->Limit / PartForSmallAndLarge;
  if (!IsNext || (!IsAlone && this->Limit < this->total() + Needed)) {
    if (std::find(Waiting.begin(), Waiting.end(), Connection) == Waiting.end())
      Waiting.push_back(Connection);
    return false;
  }
  if (!Waiting.empty())
    Waiting.pop_front();
  this->LargeMessages[Connection] = Needed;
  this->Arriving += Needed;
  return true;
}

void IntakeBudget::finishRead(ConnectionId Connection) {
  auto &Waiting = this->WaitingForLarge;
  Waiting.erase(std::remove(Waiting.begin(), Waiting.end(), Connection),
                Waiting.end());
  const auto Found = this->LargeMessages.find(Connection);
  if (Found == this->LargeMessages.end())
    return;
  this->Arriving -= Found->second;
  this->LargeMessages.erase(Found);
}

void IntakeBudget::addUnstored(std::uint64_t Ticket, std::size_t Bytes) {
  const std::size_t Needed = CopiesOfUnstored * Bytes;
  this->Batches[Ticket] = Needed;
  this->Unstored += Needed;
}

void IntakeBudget::removeUnstored(std::uint64_t Ticket) {
  const auto Found = this->Batches.find(Ticket);
  if (Found == this->Batches.end())
    return;
  this->Unstored -= Found->second;
  this->Batches.erase(Found);
}

bool IntakeBudget::takeWaiting() {
  return std::exchange(this->IsAnyWaiting, false);
}

} // namespace tanagerlanding
