#include "tanagerlanding/http/BufferBudget.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

constexpr std::size_t FullShare = 256 * 1024;
/// One read from a target, below which a paused target would never be read.
constexpr std::size_t MinShare = 16 * 1024;
/// Targets cut off answers that stay unread for some seconds. While there is
/// room, the allowance grows by one share in each of these intervals.
constexpr Milliseconds ShareInterval{1000};
/// Bounds what one caller that reads nothing can occupy to 1 MiB.
constexpr std::size_t MaxShares = 4;
/// The budget counts as full until the total is below this many eighths of it.
constexpr std::size_t LowEighths = 7;
constexpr std::size_t Eighths = 8;

} // namespace

const char *toString(BufferKind Kind) {
  switch (Kind) {
  case BufferKind::RequestBodies:
    return "request_bodies";
  case BufferKind::Histories:
    return "histories";
  case BufferKind::TargetAnswers:
    return "target_answers";
  case BufferKind::QueuedAnswers:
    return "queued_answers";
  }
  return "unknown";
}

std::size_t BufferBudget::lowMark() const {
  return *this->Limit / Eighths * LowEighths;
}

void BufferBudget::resize(BufferKind Kind, std::size_t Before,
                          std::size_t After) {
  std::size_t &Sum = this->Bytes.at(static_cast<std::size_t>(Kind));
  Sum = Sum - Before + After;
  this->Total = this->Total - Before + After;
  if (!this->Limit)
    return;
  if (*this->Limit <= this->Total)
    this->IsFull = true;
  else if (this->Total < this->lowMark())
    this->IsFull = false;
}

std::size_t BufferBudget::bytes(BufferKind Kind) const {
  return this->Bytes.at(static_cast<std::size_t>(Kind));
}

std::size_t BufferBudget::queueAllowance(Milliseconds UnreadAge) const {
  if (!this->Limit)
    return FullShare;
  const std::size_t Half = *this->Limit / 2;
  if (this->Total < Half) {
    const auto Intervals = static_cast<std::size_t>(
        std::max<std::int64_t>(0, UnreadAge / ShareInterval));
    return FullShare * std::min(MaxShares, 1 + Intervals);
  }
  if (*this->Limit <= this->Total)
    return MinShare;
  const double Left = static_cast<double>(*this->Limit - this->Total) /
                      static_cast<double>(*this->Limit - Half);
  return MinShare + static_cast<std::size_t>(
                        Left * static_cast<double>(FullShare - MinShare));
}

std::vector<CallerConnectionId>
BufferBudget::selectEnded(std::vector<UnreadQueue> Queues) const {
  std::vector<CallerConnectionId> Ended;
  if (!this->IsFull)
    return Ended;
  std::sort(Queues.begin(), Queues.end(),
            [](const UnreadQueue &Left, const UnreadQueue &Right) {
              return Left.Since < Right.Since;
            });
  std::size_t Remaining = this->Total;
  for (const UnreadQueue &Each : Queues) {
    if (Remaining < this->lowMark())
      break;
    Remaining -= std::min(Remaining, Each.Bytes);
    Ended.push_back(Each.Connection);
  }
  return Ended;
}

} // namespace tanagerlanding
