#include "SoakCallers.h"

#include <chrono>

namespace tanagerlanding::test {

namespace {

constexpr int TurnsPerProgram = 5;
constexpr int BudgetOfEndless = 200;
/// Maximum number of completed turns that checkKept() continues from.
constexpr std::size_t CheckedTurns = 30;
constexpr std::chrono::milliseconds RetryPause{60};
constexpr int Ok = 200;
constexpr int BudgetSpent = 402;
constexpr int UnknownTurn = 404;
constexpr int NotRunNow = 503;
/// Output of the worker stand-in, as recorded in a history.
const std::string Output = "e1\ne2\ne3\n";

int tokensIn(const Response &Got) {
  int Events = 0;
  for (std::size_t At = Got.Body.find("data: "); At != std::string::npos;
       At = Got.Body.find("data: ", At + 1))
    ++Events;
  return Events * PlatformSite::TokensPerEvent;
}

std::size_t pickRelay(const PlatformSite &Site, std::mt19937 &Random) {
  return std::uniform_int_distribution<std::size_t>(0, Site.CallerPorts.size() -
                                                           1)(Random);
}

} // namespace

SoakCallers::SoakCallers(PlatformSite &Site, std::uint32_t Seed,
                         unsigned Threads)
    : Site(Site) {
  for (unsigned Thread = 0; Thread < Threads; ++Thread)
    this->Threads.emplace_back(
        [this, Thread, Seed] { this->runPrograms(Thread, Seed + Thread); });
  this->Threads.emplace_back(
      [this, Seed, Threads] { this->spendBudgets(Seed + Threads); });
}

void SoakCallers::stop() {
  this->IsStopping = true;
  for (std::thread &Each : this->Threads)
    Each.join();
}

void SoakCallers::report(const std::string &What) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Broken.push_back(What);
}

void SoakCallers::noteAnswer(const TurnRequest &Wanted, const Response &Got) {
  if (Got.Status == UnknownTurn)
    this->report("unknown turn " + Wanted.Previous + ", continued by " +
                 Wanted.Id);
  if (Got.Status != NotRunNow && Got.Status != BudgetSpent)
    return;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Refused.insert(Wanted.Id);
}

bool SoakCallers::takeTurn(TurnRequest Wanted, const std::string &Chain,
                           WholeTurn &Taken, std::mt19937 &Random) {
  const std::string Name = Wanted.Id;
  for (int Try = 0; !this->IsStopping; ++Try) {
    Wanted.Id = Name + "-" + std::to_string(Try);
    const Response Got = this->Site.turn(Wanted, pickRelay(this->Site, Random));
    this->noteAnswer(Wanted, Got);
    if (Got.Status == BudgetSpent)
      this->report("budget of " + Wanted.Program +
                   " reported as exhausted too early");
    if (Got.Status == Ok) {
      const std::string Body = Chain + Wanted.Input;
      Taken = WholeTurn{Wanted.Id, Wanted.Program, Body, Body + Output};
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Whole.push_back(Taken);
      return true;
    }
    std::this_thread::sleep_for(RetryPause);
  }
  return false;
}

void SoakCallers::runPrograms(unsigned Thread, std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  for (int Number = 0; !this->IsStopping; ++Number) {
    const std::string Program =
        "p" + std::to_string(Thread) + "-" + std::to_string(Number);
    WholeTurn Last;
    for (int Turn = 0; Turn < TurnsPerProgram; ++Turn) {
      TurnRequest Wanted;
      Wanted.Id = Program + "-t" + std::to_string(Turn);
      Wanted.Program = Program;
      Wanted.Previous = Last.Id;
      Wanted.Input = "in" + std::to_string(Turn) + ";";
      if (!this->takeTurn(Wanted, Last.Chain, Last, Random))
        return;
    }
  }
}

void SoakCallers::spendBudgets(std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  for (int Number = 0; !this->IsStopping; ++Number) {
    TurnRequest Wanted;
    Wanted.Program = "endless-" + std::to_string(Number);
    Wanted.Input = "in;";
    Wanted.Budget = BudgetOfEndless;
    int Handed = 0;
    for (int Turn = 0; !this->IsStopping; ++Turn) {
      Wanted.Id = Wanted.Program + "-" + std::to_string(Turn);
      const Response Got =
          this->Site.turn(Wanted, pickRelay(this->Site, Random));
      this->noteAnswer(Wanted, Got);
      Handed += tokensIn(Got);
      if (Got.Status == BudgetSpent)
        break;
      if (Got.Status != Ok)
        std::this_thread::sleep_for(RetryPause);
    }
    if (Handed > BudgetOfEndless + PlatformSite::MostTokens)
      this->report(Wanted.Program + " received " + std::to_string(Handed) +
                   " tokens, over its budget");
  }
}

void SoakCallers::checkKept(std::chrono::seconds Limit) {
  this->IsStopping = false;
  std::thread Watchdog([this, Limit] {
    waitFor([this] { return this->IsStopping.load(); }, Limit);
    this->IsStopping = true;
  });
  std::mt19937 Random;
  const std::vector<WholeTurn> Turns = this->Whole;
  const std::size_t Step = Turns.size() / CheckedTurns + 1;
  for (std::size_t At = 0; At < Turns.size(); At += Step) {
    TurnRequest Wanted;
    Wanted.Id = "kept-" + std::to_string(At);
    Wanted.Program = Turns[At].Program;
    Wanted.Previous = Turns[At].Id;
    Wanted.Input = "more;";
    WholeTurn Taken;
    if (!this->takeTurn(Wanted, Turns[At].Chain, Taken, Random)) {
      this->report("not served within the recovery limit: " + Wanted.Id);
      break;
    }
  }
  this->IsStopping = true;
  Watchdog.join();
}

void SoakCallers::checkRuns() {
  std::map<std::string, std::vector<std::string>> Bodies;
  for (WorkerStandin *Worker : {&this->Site.First, &this->Site.Second}) {
    for (const WorkerStandin::Run &Each : Worker->runs())
      Bodies[Each.RequestId].push_back(Each.Body);
  }
  for (const auto &[Id, Runs] : Bodies) {
    if (Runs.size() > 1)
      this->report(Id + " ran " + std::to_string(Runs.size()) + " times");
    if (this->Refused.count(Id) > 0)
      this->report(Id + " ran although it was refused as not run");
  }
  for (const WholeTurn &Each : this->Whole) {
    const auto Runs = Bodies.find(Each.Id);
    if (Runs == Bodies.end() || Runs->second.front() != Each.Body)
      this->report(Each.Id +
                   " was not run with the chain of its inputs and outputs");
  }
}

std::vector<std::string> SoakCallers::broken() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Broken;
}

std::size_t SoakCallers::servedCount() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Whole.size();
}

std::size_t SoakCallers::refusedCount() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Refused.size();
}

} // namespace tanagerlanding::test
