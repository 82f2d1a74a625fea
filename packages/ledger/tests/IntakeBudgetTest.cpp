/// Tests of IntakeBudget: what a replica receives stays within its limit, and
/// each message is read in the end.
#include "tanagerlanding/ledger.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace tanagerlanding;

namespace {

constexpr std::size_t Limit = 8 * 1024 * 1024;
/// Its two copies have the limit to themselves.
constexpr std::size_t LargestBytes = Limit / 2;

/// Connections that send messages of drawn sizes to a replica whose disk stores
/// them with drawn delays. A connection sends the next message after the last.
class IntakeDeployment {
public:
  explicit IntakeDeployment(std::uint64_t Seed) : Random(Seed) {
    for (std::uint64_t Id = 1; Id <= 12; ++Id)
      this->begin(ConnectionId(Id));
  }

  void step() {
    for (auto &[Id, Bytes] : this->Messages) {
      if (!this->Budget.mayRead(Id, Bytes))
        continue;
      if (this->draw(3) == 0)
        this->complete(Id);
      else if (this->draw(50) == 0)
        this->lose(Id);
    }
    if (!this->Unstored.empty() && this->draw(2) == 0) {
      this->Budget.removeUnstored(this->Unstored.front());
      this->Unstored.erase(this->Unstored.begin());
    }
  }

  IntakeBudget Budget{Limit};
  std::map<ConnectionId, std::size_t> Completed;

private:
  std::uint64_t draw(std::uint64_t Bound) { return this->Random() % Bound; }

  void begin(ConnectionId Id) {
    const bool IsSmall = this->draw(3) == 0;
    this->Messages[Id] =
        this->draw(IsSmall ? IntakeBudget::MaxSmallBytes : LargestBytes);
  }

  void complete(ConnectionId Id) {
    this->Budget.finishRead(Id);
    this->Budget.addUnstored(++this->LastTicket, this->Messages[Id]);
    this->Unstored.push_back(this->LastTicket);
    ++this->Completed[Id];
    this->begin(Id);
  }

  void lose(ConnectionId Id) {
    this->Budget.finishRead(Id);
    this->begin(Id);
  }

  std::mt19937_64 Random;
  std::map<ConnectionId, std::size_t> Messages;
  std::vector<std::uint64_t> Unstored;
  std::uint64_t LastTicket = 0;
};

} // namespace

TEST_CASE("Intake: messages of drawn sizes stay within the limit, and none "
          "waits for ever") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    CAPTURE(Seed);
    IntakeDeployment Deployment(Seed);
    // The largest message beside half of the limit in small ones, and one of
    // each connection that was complete before that.
    const std::size_t Most =
        Limit + Limit / 2 + 2 * 12 * IntakeBudget::MaxSmallBytes;
    for (unsigned Step = 0; Step < 2000; ++Step) {
      Deployment.step();
      REQUIRE(Deployment.Budget.total() <= Most);
    }
    CHECK(Deployment.Completed.size() == 12);
    for (const auto &[Id, Count] : Deployment.Completed)
      CHECK(Count > 5);
  }
}

TEST_CASE("Intake: a message over the limit is read if it is the only one") {
  IntakeBudget Budget(1000);
  const ConnectionId First(1);
  const ConnectionId Second(2);
  CHECK(Budget.mayRead(First, 100000));
  CHECK_FALSE(Budget.mayRead(Second, 100000));
  CHECK(Budget.mayRead(ConnectionId(3), 100));
  CHECK(Budget.takeWaiting());
  Budget.finishRead(First);
  Budget.addUnstored(1, 100000);
  CHECK_FALSE(Budget.mayRead(Second, 100000));
  CHECK_FALSE(Budget.mayRead(ConnectionId(3), 100));
  Budget.removeUnstored(1);
  CHECK(Budget.total() == 0);
  CHECK(Budget.mayRead(Second, 100000));
}

// Guards against a lost connection that keeps the next message waiting.
TEST_CASE("Intake: a message that waits and is lost does not hold up others") {
  IntakeBudget Budget(1000);
  CHECK(Budget.mayRead(ConnectionId(1), 100000));
  CHECK_FALSE(Budget.mayRead(ConnectionId(2), 100000));
  CHECK_FALSE(Budget.mayRead(ConnectionId(3), 100000));
  Budget.finishRead(ConnectionId(1));
  CHECK_FALSE(Budget.mayRead(ConnectionId(3), 100000));
  Budget.finishRead(ConnectionId(2));
  CHECK(Budget.mayRead(ConnectionId(3), 100000));
}
