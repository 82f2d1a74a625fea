#include "LoadRunner.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds TickInterval{1};
constexpr Milliseconds MinRetryDelay{100};
constexpr std::uint16_t StatusOk = 200;
constexpr const char *EndMarker = "data: [DONE]\n\n";

/// Returns the error object in an answer's body, or an empty object.
Json parseError(const std::string &Body) {
  const std::size_t Start = Body.find('{');
  if (Start == std::string::npos)
    return Json::object();
  const Json Object = Json::parse(Body.substr(Start), nullptr, false);
  if (!Object.is_object() || !Object.contains("error"))
    return Json::object();
  return Object["error"];
}

} // namespace

LoadRunner::LoadRunner(const Workload &Load, std::vector<std::string> EntryUrls,
                       std::uint64_t Seed)
    : Load(Load), EntryUrls(std::move(EntryUrls)),
      RunName(makeUniqueId().substr(0, 8)), Timers(Loop), Client(Loop) {
  for (const PlannedProgram &Plan : planPrograms(Load, Seed)) {
    RunningProgram Fresh;
    Fresh.Plan = Plan;
    Fresh.Id = this->RunName + "-" + std::to_string(this->Programs.size());
    this->scheduleCall(Instant{Plan.ArrivesAt}, this->Programs.size());
    this->Programs.push_back(std::move(Fresh));
  }
  this->OpenPrograms = static_cast<std::uint32_t>(this->Programs.size());
}

LoadResult LoadRunner::run() {
  this->Timers.subscribe(TickInterval,
                         [this](Instant Now) { this->handleTick(Now); });
  this->Loop.run();
  this->Result.Unfinished = this->OpenPrograms;
  this->Result.TookSeconds =
      static_cast<double>(this->Loop.now().SinceStart.count()) / 1000;
  return this->Result;
}

void LoadRunner::scheduleCall(Instant When, std::size_t Index) {
  this->ScheduledCalls.emplace(When, Index);
}

void LoadRunner::handleTick(Instant Now) {
  while (!this->ScheduledCalls.empty() &&
         this->ScheduledCalls.begin()->first <= Now) {
    const std::size_t Index = this->ScheduledCalls.begin()->second;
    this->ScheduledCalls.erase(this->ScheduledCalls.begin());
    this->startCall(Index);
  }
  if (this->OpenPrograms == 0 || Instant{this->Load.RunTimeout} <= Now)
    this->Loop.stop();
}

void LoadRunner::startCall(std::size_t Index) {
  RunningProgram &Program = this->Programs[Index];
  const Instant Now = this->Loop.now();
  if (!Program.HasStarted) {
    Program.HasStarted = true;
    Program.StartedAt = Now;
  }
  if (Now - Program.StartedAt >= this->Load.ProgramDeadline) {
    this->finish(Index, false);
    return;
  }
  Program.CallStartedAt = Now;
  Program.HasFirstChunk = false;
  const bool IsService = Program.Plan.Calls[Program.NextCall].IsService;
  auto Body = std::make_shared<std::string>();
  HttpClient::PieceCallback OnChunk;
  if (!IsService)
    OnChunk = [this, Index, Body](const std::string &Chunk) {
      *Body += Chunk;
      this->handleChunk(Index);
    };
  this->Client.start(this->requestFor(Program), std::move(OnChunk),
                     [this, Index, Body](const HttpOutcome &Outcome) {
                       HttpOutcome Whole = Outcome;
                       Whole.Body += *Body;
                       this->handleAnswer(Index, Whole);
                     });
}

HttpRequest LoadRunner::requestFor(const RunningProgram &Program) const {
  const PlannedCall &Planned = Program.Plan.Calls[Program.NextCall];
  const std::string Number = std::to_string(Program.NextCall);
  const std::string &Entry =
      this->EntryUrls[hashBytes(Program.Id + Number) % this->EntryUrls.size()];
  const Milliseconds Left =
      this->Load.ProgramDeadline - (this->Loop.now() - Program.StartedAt);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Timeout = Left;
  Request.withHeader("Content-Type: application/json")
      .withHeader("Connection: keep-alive")
      .withHeader("Tanager-Program: " + Program.Id)
      .withHeader("Tanager-Team: load")
      .withHeader("Tanager-Budget-Tokens: 1000000")
      .withHeader("Tanager-Budget-Calls: 10000")
      .withHeader("Tanager-Deadline-Ms: " + std::to_string(Left.count()))
      .withHeader("Idempotency-Key: call-" + Number);
  if (Planned.IsSubAgent)
    Request.withHeader("Tanager-Agent: sub");
  if (Planned.IsService) {
    Request.Method = Planned.IsIdempotent ? "PUT" : "POST";
    Request.Url = Entry + "/v1/services/" + this->Load.Service + "/load";
    Request.Body = Program.Id + "/" + Number;
    return Request;
  }
  Request.Url = Entry + "/v1/chat/completions";
  const std::string Content = "tokens=" + std::to_string(Planned.Tokens) + " " +
                              std::string(this->Load.MessageBytes, 'm');
  Request.Body =
      Json({{"model", this->Load.Model},
            {"max_tokens", this->Load.MaxTokens},
            {"stream", true},
            {"messages", {{{"role", "user"}, {"content", Content}}}}})
          .dump();
  return Request;
}

void LoadRunner::handleChunk(std::size_t Index) {
  RunningProgram &Program = this->Programs[Index];
  const Instant Now = this->Loop.now();
  const Instant Since =
      Program.HasFirstChunk ? Program.LastChunkAt : Program.CallStartedAt;
  auto &Into = Program.HasFirstChunk ? this->Result.TokenGapMillis
                                     : this->Result.FirstTokenMillis;
  Into.push_back(static_cast<double>((Now - Since).count()));
  Program.HasFirstChunk = true;
  Program.LastChunkAt = Now;
}

void LoadRunner::handleAnswer(std::size_t Index, const HttpOutcome &Outcome) {
  RunningProgram &Program = this->Programs[Index];
  const bool IsService = Program.Plan.Calls[Program.NextCall].IsService;
  const bool IsGood =
      Outcome.Ended == HttpOutcome::Kind::Answered &&
      Outcome.Status == StatusOk &&
      (IsService || Outcome.Body.find(EndMarker) != std::string::npos);
  if (!IsGood) {
    this->handleRefusal(Index, Outcome);
    return;
  }
  ++Program.NextCall;
  if (Program.NextCall == Program.Plan.Calls.size()) {
    this->finish(Index, true);
    return;
  }
  const Milliseconds Pause = Program.Plan.Calls[Program.NextCall].PauseBefore;
  this->scheduleCall(this->Loop.now() + Pause, Index);
}

void LoadRunner::handleRefusal(std::size_t Index, const HttpOutcome &Outcome) {
  const Json Error = parseError(Outcome.Body);
  ++this->Result.Refusals[Error.value("code", "no_answer")];
  const Milliseconds RetryAfter(Error.value("retry_after_ms", 0));
  const bool IsFinal = Error.contains("code") && RetryAfter.count() == 0;
  if (IsFinal) {
    this->finish(Index, false);
    return;
  }
  this->scheduleCall(this->Loop.now() + std::max(RetryAfter, MinRetryDelay),
                     Index);
}

void LoadRunner::finish(std::size_t Index, bool IsGood) {
  RunningProgram &Program = this->Programs[Index];
  if (Program.IsFinished)
    return;
  Program.IsFinished = true;
  --this->OpenPrograms;
  const Milliseconds Took = this->Loop.now() - Program.StartedAt;
  if (!IsGood) {
    ++this->Result.Failed;
    return;
  }
  ++this->Result.Finished;
  this->Result.ProgramMillis.push_back(static_cast<double>(Took.count()));
  HttpRequest End;
  End.Method = "DELETE";
  End.Url = this->EntryUrls.front() + "/v1/programs/" + Program.Id;
  End.withHeader("Tanager-Team: load");
  this->Client.start(End, {}, [](const HttpOutcome &) {});
}

} // namespace tanagerlanding
