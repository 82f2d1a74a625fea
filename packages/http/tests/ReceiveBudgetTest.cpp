/// Tests of ReceiveBudget.
#include "tanagerlanding/http.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Limit = 1024 * Kilobyte;

CallerConnectionId connection(std::uint64_t Number) {
  return CallerConnectionId(Number);
}

ReceivedRequest arriving(std::size_t Bytes, std::int64_t ProgressMillis) {
  return {Bytes, true, Instant{Milliseconds(ProgressMillis)}};
}

ReceivedRequest served(std::size_t Bytes) { return {Bytes, false, Instant()}; }

} // namespace

TEST_CASE("Received requests: nothing is refused within the limit") {
  ReceiveBudget Budget(Limit);
  Budget.update(connection(1), arriving(Limit, 0));
  CHECK(Budget.total() == Limit);
  CHECK(Budget.hasRoom(connection(1)));
  CHECK(Budget.selectRefused().empty());
  Budget.update(connection(1), arriving(0, 0));
  CHECK(Budget.total() == 0);
}

TEST_CASE("Received requests: those without progress for longest give way") {
  ReceiveBudget Budget(Limit);
  for (std::uint64_t Number = 1; Number <= 4; ++Number)
    Budget.update(connection(Number),
                  arriving(Limit / 4, static_cast<std::int64_t>(10 - Number)));
  Budget.update(connection(5), arriving(Limit / 4, 100));
  const auto Refused = Budget.selectRefused();
  CHECK(Refused ==
        std::vector<CallerConnectionId>{connection(4), connection(3)});
  for (const CallerConnectionId Each : Refused)
    Budget.release(Each);
  CHECK(Budget.hasRoom(connection(5)));
  CHECK(Budget.selectRefused().empty());
}

TEST_CASE("Received requests: those that are served never give way") {
  ReceiveBudget Budget(Limit);
  Budget.update(connection(1), served(Limit));
  Budget.update(connection(2), arriving(100 * Kilobyte, 0));
  CHECK_FALSE(Budget.hasRoom(connection(2)));
  CHECK(Budget.selectRefused() ==
        std::vector<CallerConnectionId>{connection(2)});
  Budget.update(connection(2), served(100 * Kilobyte));
  CHECK(Budget.selectRefused().empty());
}

TEST_CASE("Received requests: small ones have room beside large ones") {
  ReceiveBudget Budget(Limit);
  Budget.update(connection(1), served(Limit));
  const std::size_t Small = ReceiveBudget::MaxSmallBytes;
  std::uint64_t Number = 2;
  for (std::size_t Bytes = 0; Bytes < Limit / 4; Bytes += Small, ++Number)
    Budget.update(connection(Number),
                  arriving(Small, static_cast<std::int64_t>(Number)));
  CHECK(Budget.hasRoom(connection(2)));
  CHECK(Budget.selectRefused().empty());
  Budget.update(connection(Number), arriving(Small, 100));
  CHECK(Budget.selectRefused() ==
        std::vector<CallerConnectionId>{connection(2), connection(3),
                                        connection(4), connection(5)});
}

// Guards against requests that are taken on while closes of earlier turns fill
// the memory.
TEST_CASE("Received requests: what else is held takes their room") {
  ReceiveBudget Budget(Limit);
  Budget.update(connection(1), arriving(Limit / 2, 0));
  Budget.setOtherBytes(Limit);
  CHECK_FALSE(Budget.hasRoom(connection(1)));
  CHECK(Budget.selectRefused() ==
        std::vector<CallerConnectionId>{connection(1)});
  Budget.setOtherBytes(Limit / 4);
  CHECK(Budget.hasRoom(connection(1)));
  CHECK(Budget.total() == Limit / 2 + Limit / 4);
}

TEST_CASE("Received requests: the largest one is served alone") {
  ReceiveBudget Budget(Limit);
  Budget.update(connection(1), arriving(3 * Limit, 0));
  CHECK_FALSE(Budget.hasRoom(connection(1)));
  Budget.setLargestRequest(3 * Limit);
  CHECK(Budget.hasRoom(connection(1)));
  CHECK(Budget.selectRefused().empty());
  Budget.update(connection(2), arriving(Limit, 1));
  CHECK(Budget.selectRefused() ==
        std::vector<CallerConnectionId>{connection(1)});
}
