#include "SoakCallers.h"

#include <chrono>

namespace tanagerlanding::test {

namespace {

constexpr int TurnsPerProgram = 5;
constexpr int EndlessProgramBudget = 200;
/// Maximum number of completed turns that checkTurnsRetained() continues from.
constexpr std::size_t MaxCheckedTurns = 30;
constexpr std::chrono::milliseconds RetryInterval{60};
constexpr int StatusOk = 200;
constexpr int StatusBudgetExhausted = 402;
constexpr int StatusUnknownTurn = 404;
constexpr int StatusUnavailable = 503;
/// Output of the worker stand-in, as recorded in a history.
const std::string Output = "e1\ne2\ne3\n";

int countTokens(const Response &Result) {
  int Events = 0;
  for (std::size_t At = Result.Body.find("data: "); At != std::string::npos;
       At = Result.Body.find("data: ", At + 1))
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
      [this, Seed, Threads] { this->exhaustBudgets(Seed + Threads); });
}

void SoakCallers::stop() {
  this->IsStopping = true;
  for (std::thread &Each : this->Threads)
    Each.join();
}

void SoakCallers::addViolation(const std::string &Description) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Violations.push_back(Description);
}

void SoakCallers::recordResponse(const TurnRequest &Request,
                                 const Response &Result) {
  if (Result.Status == StatusUnknownTurn)
    this->addViolation("unknown turn " + Request.Previous + ", continued by " +
                       Request.Id);
  if (Result.Status != StatusUnavailable &&
      Result.Status != StatusBudgetExhausted)
    return;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Refused.insert(Request.Id);
}

bool SoakCallers::completeTurn(TurnRequest Request, const std::string &Chain,
                               CompletedTurn &Completed, std::mt19937 &Random) {
  const std::string Name = Request.Id;
  for (int Attempt = 0; !this->IsStopping; ++Attempt) {
    Request.Id = Name + "-" + std::to_string(Attempt);
    const Response Result =
        this->Site.sendTurn(Request, pickRelay(this->Site, Random));
    this->recordResponse(Request, Result);
    if (Result.Status == StatusBudgetExhausted)
      this->addViolation("budget of " + Request.Program +
                         " reported as exhausted too early");
    if (Result.Status == StatusOk) {
      const std::string Body = Chain + Request.Input;
      Completed =
          CompletedTurn{Request.Id, Request.Program, Body, Body + Output};
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->CompletedTurns.push_back(Completed);
      return true;
    }
    std::this_thread::sleep_for(RetryInterval);
  }
  return false;
}

void SoakCallers::runPrograms(unsigned Thread, std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  for (int Number = 0; !this->IsStopping; ++Number) {
    const std::string Program =
        "p" + std::to_string(Thread) + "-" + std::to_string(Number);
    CompletedTurn Last;
    for (int Turn = 0; Turn < TurnsPerProgram; ++Turn) {
      TurnRequest Request;
      Request.Id = Program + "-t" + std::to_string(Turn);
      Request.Program = Program;
      Request.Previous = Last.Id;
      Request.Input = "in" + std::to_string(Turn) + ";";
      if (!this->completeTurn(Request, Last.Chain, Last, Random))
        return;
    }
  }
}

void SoakCallers::exhaustBudgets(std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  for (int Number = 0; !this->IsStopping; ++Number) {
    TurnRequest Request;
    Request.Program = "endless-" + std::to_string(Number);
    Request.Input = "in;";
    Request.Budget = EndlessProgramBudget;
    int ReceivedTokens = 0;
    for (int Turn = 0; !this->IsStopping; ++Turn) {
      Request.Id = Request.Program + "-" + std::to_string(Turn);
      const Response Result =
          this->Site.sendTurn(Request, pickRelay(this->Site, Random));
      this->recordResponse(Request, Result);
      ReceivedTokens += countTokens(Result);
      if (Result.Status == StatusBudgetExhausted)
        break;
      if (Result.Status != StatusOk)
        std::this_thread::sleep_for(RetryInterval);
    }
    if (ReceivedTokens > EndlessProgramBudget + PlatformSite::MaxTurnTokens)
      this->addViolation(Request.Program + " received " +
                         std::to_string(ReceivedTokens) +
                         " tokens, over its budget");
  }
}

void SoakCallers::checkTurnsRetained(std::chrono::seconds Limit) {
  this->IsStopping = false;
  std::thread Watchdog([this, Limit] {
    waitFor([this] { return this->IsStopping.load(); }, Limit);
    this->IsStopping = true;
  });
  std::mt19937 Random;
  const std::vector<CompletedTurn> Turns = this->CompletedTurns;
  const std::size_t Step = Turns.size() / MaxCheckedTurns + 1;
  for (std::size_t At = 0; At < Turns.size(); At += Step) {
    TurnRequest Request;
    Request.Id = "kept-" + std::to_string(At);
    Request.Program = Turns[At].Program;
    Request.Previous = Turns[At].Id;
    Request.Input = "more;";
    CompletedTurn Completed;
    if (!this->completeTurn(Request, Turns[At].Chain, Completed, Random)) {
      this->addViolation("not served within the recovery limit: " + Request.Id);
      break;
    }
  }
  this->IsStopping = true;
  Watchdog.join();
}

void SoakCallers::checkRuns() {
  std::map<std::string, std::vector<std::string>> Bodies;
  for (WorkerStandin *Worker :
       {&this->Site.FirstWorker, &this->Site.SecondWorker}) {
    for (const WorkerStandin::Run &Each : Worker->runs())
      Bodies[Each.RequestId].push_back(Each.Body);
  }
  for (const auto &[Id, Runs] : Bodies) {
    if (Runs.size() > 1)
      this->addViolation(Id + " ran " + std::to_string(Runs.size()) + " times");
    if (this->Refused.count(Id) > 0)
      this->addViolation(Id + " ran although it was refused as not run");
  }
  for (const CompletedTurn &Each : this->CompletedTurns) {
    const auto Runs = Bodies.find(Each.Id);
    if (Runs == Bodies.end() || Runs->second.front() != Each.Body)
      this->addViolation(
          Each.Id + " was not run with the chain of its inputs and outputs");
  }
}

std::vector<std::string> SoakCallers::violations() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Violations;
}

std::size_t SoakCallers::servedCount() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->CompletedTurns.size();
}

std::size_t SoakCallers::refusedCount() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Refused.size();
}

} // namespace tanagerlanding::test
