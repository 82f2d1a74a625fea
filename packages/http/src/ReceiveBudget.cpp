#include "tanagerlanding/http/ReceiveBudget.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

constexpr std::size_t SmallReserveParts = 4;
constexpr std::size_t LowEighths = 7;
constexpr std::size_t Eighths = 8;

bool isSmall(const ReceivedRequest &Request) {
  return Request.Bytes <= ReceiveBudget::MaxSmallBytes;
}

std::size_t lowMark(std::size_t Limit) { return Limit / Eighths * LowEighths; }

} // namespace

std::size_t ReceiveBudget::largeLimit() const {
  return std::max(this->Limit, this->LargestRequest);
}

std::size_t ReceiveBudget::smallLimit() const {
  return this->largeLimit() + this->largeLimit() / SmallReserveParts;
}

void ReceiveBudget::count(const ReceivedRequest &Request, bool IsAdded) {
  const std::size_t Sign = IsAdded ? 1 : -std::size_t{1};
  this->Total += Sign * Request.Bytes;
  if (Request.IsArriving)
    (isSmall(Request) ? this->SmallArriving : this->LargeArriving) += Sign;
}

void ReceiveBudget::update(CallerConnectionId Connection,
                           const ReceivedRequest &Request) {
  if (Request.Bytes == 0) {
    this->release(Connection);
    return;
  }
  ReceivedRequest &Known = this->Requests[Connection];
  this->count(Known, false);
  this->count(Request, true);
  Known = Request;
}

void ReceiveBudget::release(CallerConnectionId Connection) {
  const auto Found = this->Requests.find(Connection);
  if (Found == this->Requests.end())
    return;
  this->count(Found->second, false);
  this->Requests.erase(Found);
}

void ReceiveBudget::setOtherBytes(std::size_t Bytes) {
  this->Total = this->Total - this->OtherBytes + Bytes;
  this->OtherBytes = Bytes;
}

bool ReceiveBudget::hasRoom(CallerConnectionId Connection) const {
  const auto Found = this->Requests.find(Connection);
  if (Found == this->Requests.end())
    return true;
  return this->Total <=
         (isSmall(Found->second) ? this->smallLimit() : this->largeLimit());
}

std::vector<CallerConnectionId> ReceiveBudget::selectRefused() const {
  std::vector<CallerConnectionId> Refused;
  const bool AreLargeExceeding =
      this->largeLimit()<this->Total &&this->LargeArriving> 0;
  const bool AreSmallExceeding =
      this->smallLimit()<this->Total &&this->SmallArriving> 0;
  if (!AreLargeExceeding && !AreSmallExceeding)
    return Refused;
  using Entry = std::pair<CallerConnectionId, ReceivedRequest>;
  std::vector<Entry> Arriving;
  for (const auto &[Connection, Request] : this->Requests) {
    if (Request.IsArriving)
      Arriving.emplace_back(Connection, Request);
  }
  std::sort(Arriving.begin(), Arriving.end(),
            [](const Entry &Left, const Entry &Right) {
              return Left.second.ProgressAt < Right.second.ProgressAt;
            });
  std::size_t Remaining = this->Total;
  const auto Refuse = [&](bool AreSmall, std::size_t Limit) {
    if (Remaining <= Limit)
      return;
    for (const auto &[Connection, Request] : Arriving) {
      if (Remaining <= lowMark(Limit))
        return;
      if (isSmall(Request) != AreSmall)
        continue;
      Remaining -= Request.Bytes;
      Refused.push_back(Connection);
    }
  };
  Refuse(false, this->largeLimit());
  Refuse(true, this->smallLimit());
  return Refused;
}

} // namespace tanagerlanding
