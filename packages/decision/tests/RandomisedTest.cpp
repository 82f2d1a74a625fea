/// Random events in random order, including duplicated, lost and delayed
/// messages.
#include "ConnectedStates.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

constexpr unsigned StepCount = 400;
constexpr unsigned ProgramCount = 3;
constexpr unsigned KeyCount = 4;

/// Runs random steps in which callers frequently repeat their keys.
class RandomSteps {
public:
  explicit RandomSteps(std::uint64_t Seed) : Random(Seed), World(Seed) {}

  void run() {
    for (unsigned Step = 0; Step < StepCount; ++Step)
      this->step();
    this->World.settle();
    for (unsigned Program = 0; Program < ProgramCount; ++Program) {
      for (unsigned Key = 0; Key < KeyCount; ++Key)
        this->call(Program, Key);
    }
    this->World.settle();
  }

  /// Checks the invariants that hold after any sequence of steps.
  void check() {
    for (const auto &[Body, Count] : this->World.Executions)
      RC_ASSERT(isIdempotentBody(Body) || Count <= 1);
    for (const auto &[Body, Answers] : this->World.Answers) {
      if (!isIdempotentBody(Body))
        this->checkAnswers(Body, Answers);
    }
    this->checkLedgers();
  }

private:
  /// Calls with an even key number are idempotent.
  static bool isIdempotentBody(const std::string &Body) {
    return (Body.back() - '0') % 2 == 0;
  }

  void checkAnswers(const std::string &Body,
                    const std::vector<CallAnswer> &Answers) {
    const bool HasAnswer =
        std::any_of(Answers.begin(), Answers.end(), [](const CallAnswer &Each) {
          return std::holds_alternative<TargetAnswer>(Each);
        });
    if (HasAnswer)
      RC_ASSERT(this->World.Executions[Body] == 1);
    // The last repeat of each call, after all faults were repaired, has a final
    // answer.
    const auto *Failure = std::get_if<CallFailure>(&Answers.back());
    if (Failure && Failure->ExecutionStatus == Execution::NotRun)
      RC_ASSERT(this->World.Executions[Body] == 0);
    const bool IsUnknown =
        Failure && Failure->ExecutionStatus == Execution::Unknown;
    RC_ASSERT(HasAnswer || IsUnknown);
    if (HasAnswer)
      RC_ASSERT(!Failure);
  }

  void checkLedgers() {
    std::map<ProgramId, unsigned> Owners;
    for (const auto &Node : this->World.Entries) {
      for (const auto &[Id, Shard] : Node.State.Owned) {
        RC_ASSERT(Shard.Phase == ShardPhase::Serving);
        RC_ASSERT(Shard.Pending.empty());
        for (const auto &[Program, DurableState] : Shard.DurableState) {
          ++Owners[Program];
          RC_ASSERT(DurableState.OpenIntents.empty());
          RC_ASSERT(DurableState.TokensReserved.Value == 0U);
          RC_ASSERT(DurableState.CallsSpent <= DurableState.Granted.Calls);
        }
      }
    }
    for (const auto &[Program, Count] : Owners)
      RC_ASSERT(Count == 1U);
  }

  void step() {
    switch (this->pick(24)) {
    case 0:
      this->World.cut(this->anyEntry(), this->anyHost());
      return;
    case 1:
      this->World.restartEntry(this->pick(ConnectedStates::EntryCount));
      return;
    case 2:
      this->World.setFrozen(this->pick(ConnectedStates::EntryCount),
                            this->pick(2) == 0);
      return;
    case 3:
      if (this->pick(4) == 0)
        this->World.restartSidecar(this->pick(ConnectedStates::SidecarCount));
      return;
    case 4:
    case 5:
      this->World.connectAll();
      return;
    case 6:
      this->World.passTime(Milliseconds(this->pick(900)));
      return;
    case 7:
    case 8:
      this->World.passTime(Milliseconds(this->pick(60)));
      return;
    case 9:
      this->World.writeTable(this->pick(3) == 0);
      return;
    case 10:
    case 11:
      this->World.readTable(this->pick(ConnectedStates::EntryCount));
      return;
    case 12:
    case 13:
      this->call(this->pick(ProgramCount), this->pick(KeyCount));
      return;
    case 14:
    case 15:
      this->World.endCall(this->pick(100), this->anyEnd());
      return;
    case 16:
    case 17:
    case 18:
      this->World.persist(this->pick(100));
      return;
    default:
      this->World.deliver(this->pick(100));
      return;
    }
  }

  ConnectedStates::TargetEnd anyEnd() {
    using End = ConnectedStates::TargetEnd;
    constexpr End Ends[] = {End::Answered, End::Answered, End::BrokenBefore,
                            End::BrokenAfter, End::Unreached};
    return Ends[this->pick(5)];
  }

  void call(unsigned Program, unsigned Key) {
    this->World.call(this->pick(ConnectedStates::EntryCount),
                     "program-" + std::to_string(Program),
                     "key-" + std::to_string(Key), Key % 2 == 0);
  }

  HostId anyEntry() {
    return ConnectedStates::entryName(this->pick(ConnectedStates::EntryCount));
  }

  HostId anyHost() {
    if (this->pick(2) == 0)
      return this->anyEntry();
    return ConnectedStates::sidecarName(
        this->pick(ConnectedStates::SidecarCount));
  }

  unsigned pick(unsigned Count) {
    return std::uniform_int_distribution<unsigned>(0, Count - 1)(this->Random);
  }

  std::mt19937_64 Random;
  ConnectedStates World;
};

} // namespace

TEST_CASE("Randomised: at most once, final answers, one owner, no open state") {
  // RC_PARAMS sets the seed and the number of cases; TANAGERLANDING_SEED runs a
  // single case.
  if (const char *Seed = std::getenv("TANAGERLANDING_SEED")) {
    RandomSteps Steps(std::strtoull(Seed, nullptr, 10));
    Steps.run();
    Steps.check();
    return;
  }
  const bool Passed = rc::check("random steps", [](std::uint32_t Seed) {
    RandomSteps Steps(Seed);
    Steps.run();
    Steps.check();
  });
  CHECK(Passed);
}
