/// Tests of the memory budget's decisions, without connections.
#include "tanagerlanding/http/BufferBudget.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

constexpr std::size_t Kilo = 1024;
constexpr std::size_t Limit = 8 * 1024 * Kilo;
constexpr std::size_t Share = 256 * Kilo;

BufferBudget budgetWith(std::size_t Queued) {
  BufferBudget Budget(Limit);
  Budget.resize(BufferKind::QueuedAnswers, 0, Queued);
  return Budget;
}

UnreadQueue queueOf(std::uint64_t Id, std::size_t Bytes, std::int64_t Since) {
  return {CallerConnectionId(Id), Bytes, Instant() + Milliseconds(Since)};
}

} // namespace

TEST_CASE("Buffers: without a limit nothing is full and the share is fixed") {
  // Guards deployments whose settings state no memory.
  BufferBudget Budget(std::nullopt);
  Budget.resize(BufferKind::RequestBodies, 0, 1000 * Limit);
  CHECK_FALSE(Budget.isFull());
  CHECK(Budget.queueAllowance(Milliseconds(0)) == Share);
  CHECK(Budget.queueAllowance(Milliseconds(9000)) == Share);
  CHECK(Budget.selectEnded({queueOf(1, Limit, 0)}).empty());
}

TEST_CASE("Buffers: each kind is summed up and released") {
  // Guards against bytes that stay counted after their buffer is gone.
  BufferBudget Budget(Limit);
  Budget.resize(BufferKind::RequestBodies, 0, 10);
  Budget.resize(BufferKind::Histories, 0, 20);
  Budget.resize(BufferKind::Histories, 20, 5);
  CHECK(Budget.bytes(BufferKind::RequestBodies) == 10);
  CHECK(Budget.bytes(BufferKind::Histories) == 5);
  CHECK(Budget.total() == 15);
  Budget.resize(BufferKind::RequestBodies, 10, 0);
  Budget.resize(BufferKind::Histories, 5, 0);
  CHECK(Budget.total() == 0);
}

TEST_CASE("Buffers: the share shrinks above half of the budget") {
  // Guards against buffers that fill the second half as fast as the first.
  CHECK(budgetWith(Limit / 2 - 1).queueAllowance(Milliseconds(0)) == Share);
  std::size_t Before = Share + 1;
  for (std::size_t Queued = Limit / 2; Queued < Limit; Queued += 64 * Kilo) {
    const std::size_t Now =
        budgetWith(Queued).queueAllowance(Milliseconds(5000));
    CHECK(Now < Before);
    Before = Now;
  }
  CHECK(budgetWith(2 * Limit).queueAllowance(Milliseconds(5000)) == 16 * Kilo);
}

TEST_CASE("Buffers: with room left, old unread bytes let the target be read") {
  // Guards against answers that a target cuts off although there is room, and
  // against callers that read nothing and are buffered without bound.
  const BufferBudget Budget = budgetWith(Limit / 4);
  CHECK(Budget.queueAllowance(Milliseconds(999)) == Share);
  CHECK(Budget.queueAllowance(Milliseconds(1000)) == 2 * Share);
  CHECK(Budget.queueAllowance(Milliseconds(3000)) == 4 * Share);
  CHECK(Budget.queueAllowance(Milliseconds(60000)) == 4 * Share);
}

TEST_CASE("Buffers: a full budget is free again below seven eighths") {
  // Guards against a state that switches with every buffer.
  BufferBudget Budget = budgetWith(Limit - 1);
  CHECK_FALSE(Budget.isFull());
  Budget.resize(BufferKind::QueuedAnswers, Limit - 1, Limit);
  CHECK(Budget.isFull());
  Budget.resize(BufferKind::QueuedAnswers, Limit, Limit / 8 * 7);
  CHECK(Budget.isFull());
  Budget.resize(BufferKind::QueuedAnswers, Limit / 8 * 7, Limit / 8 * 7 - 1);
  CHECK_FALSE(Budget.isFull());
}

TEST_CASE("Buffers: the connection with the oldest unread bytes is ended") {
  // Guards against ending the largest or newest queue instead.
  const std::vector<UnreadQueue> Queues = {queueOf(1, 1000 * Kilo, 300),
                                           queueOf(2, 600 * Kilo, 100),
                                           queueOf(3, 600 * Kilo, 200)};
  const std::vector<CallerConnectionId> Expected = {CallerConnectionId(2),
                                                    CallerConnectionId(3)};
  CHECK(budgetWith(Limit).selectEnded(Queues) == Expected);
  CHECK(budgetWith(Limit - 1).selectEnded(Queues).empty());
}
