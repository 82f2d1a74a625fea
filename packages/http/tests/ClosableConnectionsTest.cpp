/// Tests of the choice of connections that are closed in favour of new ones.
#include "ClosableConnections.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

TEST_CASE(
    "Closed connections: refused, unused and longest idle ones go first") {
  using Use = ClosableConnection::Use;
  const auto Connection = [](std::uint64_t Id, Use CurrentUse,
                             std::int64_t Millis) {
    return ClosableConnection{CallerConnectionId(Id), CurrentUse,
                              Instant{Milliseconds(Millis)}};
  };
  const std::vector<ClosableConnection> Open = {
      Connection(1, Use::Arriving, 1), Connection(2, Use::Idle, 9),
      Connection(3, Use::Idle, 3),     Connection(4, Use::Unused, 8),
      Connection(5, Use::Unused, 7),   Connection(6, Use::Refused, 9)};
  std::vector<std::uint64_t> Order;
  for (const CallerConnectionId Id : selectClosed(Open, 10))
    Order.push_back(Id.Value);
  CHECK(Order == std::vector<std::uint64_t>{6, 5, 4, 3, 2, 1});
  CHECK(selectClosed(Open, 2) ==
        std::vector<CallerConnectionId>{CallerConnectionId(6),
                                        CallerConnectionId(5)});
  CHECK(selectClosed({}, 2).empty());
}
