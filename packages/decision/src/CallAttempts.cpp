#include "CallAttempts.h"

#include "CallAdmission.h"
#include "Durability.h"
#include "Ownership.h"
#include "Prefixes.h"
#include "Quarantine.h"
#include "Routing.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace tanagerlanding {

namespace {

/// Weight of the newest sample in a target's average time.
constexpr double AverageWeight = 0.1;

/// A line with all that it belongs to. Line is null where there is none.
struct LineView {
  OwnedShard *Shard = nullptr;
  ProgramLedger *Ledger = nullptr;
  AgentLine *Line = nullptr;
  LineRef Ref;

  bool hasActive() const { return this->Line && this->Line->Active; }
  ActiveCall &active() const { return *this->Line->Active; }
};

LineView findLine(EntryContext &Context, const LineRef &Ref) {
  LineView View;
  View.Ref = Ref;
  const auto Shard = Context.State.Owned.find(Ref.Shard);
  if (Shard == Context.State.Owned.end())
    return View;
  View.Shard = &Shard->second;
  const auto Ledger = View.Shard->Ledger.find(Ref.Program);
  const auto Runtime = View.Shard->Programs.find(Ref.Program);
  if (Ledger == View.Shard->Ledger.end() ||
      Runtime == View.Shard->Programs.end())
    return View;
  View.Ledger = &Ledger->second;
  const auto Line = Runtime->second.Lines.find(Ref.Agent);
  if (Line != Runtime->second.Lines.end())
    View.Line = &Line->second;
  return View;
}

/// Returns the line whose active call's present attempt is Id; without an
/// active call where there is none.
LineView findAttempt(EntryContext &Context, const AttemptId &Id) {
  const auto Shard = Context.State.Owned.find(Id.Shard);
  if (Shard == Context.State.Owned.end())
    return LineView();
  const auto Found = Shard->second.Attempts.find(Id);
  if (Found == Shard->second.Attempts.end())
    return LineView();
  LineView View = findLine(
      Context, LineRef{Id.Shard, Found->second.first, Found->second.second});
  if (!View.hasActive() || !(View.active().Attempt == Id))
    return LineView();
  return View;
}

void setPhase(EntryContext &Context, ActiveCall &Active, CallPhase Phase) {
  Active.Phase = Phase;
  Active.PhaseSince = Context.now();
}

} // namespace

void leaveTarget(EntryState &State, ActiveCall &Active) {
  if (!Active.IsOutstanding)
    return;
  Active.IsOutstanding = false;
  --State.Targets[Active.Target].OwnOutstanding;
}

namespace {

/// Ends the active call of a line, whose waiters have their answers.
void closeCall(EntryContext &Context, const LineView &View) {
  ActiveCall &Active = View.active();
  View.Shard->Attempts.erase(Active.Attempt);
  leaveTarget(Context.State, Active);
  const Milliseconds Took = Context.now() - Active.Ticket.Arrived;
  Context.Effects.push_back(
      RecordSpan{Active.Ticket.Asked.TraceParent,
                 "owner.call",
                 Took,
                 {{"program", View.Ref.Program.Value},
                  {"key", Active.Ticket.Asked.Key.Value},
                  {"tries", std::to_string(Active.Tries)}}});
  View.Line->Active.reset();
  View.Line->LastFinished = Context.now();
  holdPrefix(Context, *View.Ledger, *View.Line, View.Ref);
  startNextCall(Context, *View.Shard, View.Ref);
}

/// Gives the active call up and says so at once.
void failCall(EntryContext &Context, const LineView &View, CallError Code,
              bool MayRetry, const char *Detail) {
  const CallFailure Failure =
      refusal(Context, Code, View.active().Worst, MayRetry, Detail);
  answerWaiters(Context, View.active().Ticket.Waiters, Failure);
  closeCall(Context, View);
}

/// Ends a call that may have run and must not run again.
void finishUnknown(EntryContext &Context, const LineView &View) {
  ActiveCall &Active = View.active();
  const CallFailure Failure =
      refusal(Context, CallError::TargetFailed, Execution::Unknown, false,
              "the call may or may not have run, and is not repeated");
  setPhase(Context, Active, CallPhase::Finishing);
  TokenCount Charged;
  const auto Intent = View.Ledger->OpenIntents.find(Active.Attempt);
  if (Intent != View.Ledger->OpenIntents.end())
    Charged = Intent->second.Reserved;
  appendRecord(
      Context, *View.Shard, View.Ref.Shard,
      CallFinished{View.Ref.Program, Active.Attempt, Failure, Charged, {}},
      PublishAnswer{View.Ref.Program, View.Ref.Agent});
}

void releaseAttempt(EntryContext &Context, const LineView &View,
                    Execution Ran) {
  ActiveCall &Active = View.active();
  AttemptReleased Release{View.Ref.Program, Active.Attempt, TokenCount(),
                          Ran != Execution::NotRun};
  const auto Intent = View.Ledger->OpenIntents.find(Active.Attempt);
  if (Release.Ran && Intent != View.Ledger->OpenIntents.end())
    Release.Charged = Intent->second.Reserved;
  leaveTarget(Context.State, Active);
  View.Shard->Attempts.erase(Active.Attempt);
  appendRecord(Context, *View.Shard, View.Ref.Shard, Release, std::monostate());
}

Milliseconds backoff(EntryContext &Context, std::uint32_t Tries) {
  const double Longest =
      static_cast<double>(Context.State.Options.BackoffBase.count()) *
      std::pow(2.0, Tries);
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  return Milliseconds(
      static_cast<std::int64_t>(Longest * Jitter(Context.State.Random)));
}

/// Tries the call again later, or gives it up.
void retryOrFail(EntryContext &Context, const LineView &View) {
  ActiveCall &Active = View.active();
  EntryState &State = Context.State;
  const bool HasWaiters = !Active.Ticket.Waiters.empty();
  const bool MayTry = HasWaiters && Active.Tries < State.Options.TriesPerCall &&
                      State.RetryCredit >= 1 &&
                      Context.now() < Active.Ticket.Deadline;
  if (!MayTry) {
    failCall(Context, View, Active.LastError, true,
             "no target could run the call");
    return;
  }
  State.RetryCredit -= 1;
  Context.count("retries_total", toString(Active.LastError));
  setPhase(Context, Active, CallPhase::Waiting);
  Active.RetryAt = Context.now() + backoff(Context, Active.Tries);
  State.Due.emplace(Active.RetryAt, View.Ref);
}

std::string joinMessages(const std::string &History, const std::string &Fresh) {
  return History.empty() ? Fresh : History + "," + Fresh;
}

/// Returns the body that the target gets.
std::string targetBody(const ProgramLedger &Ledger, const Call &Asked) {
  if (Asked.Kind != CallKind::Chat)
    return Asked.Body;
  const auto Agent = Ledger.Agents.find(Asked.Agent);
  if (Agent == Ledger.Agents.end())
    return Asked.Body;
  return joinMessages(Agent->second.Messages, Asked.Body);
}

Fingerprint fingerprintOf(const ProgramLedger &Ledger, const Call &Asked) {
  const std::string Content = Asked.Service.Value + "\n" + Asked.Method + "\n" +
                              Asked.Path + "\n" + targetBody(Ledger, Asked);
  return Fingerprint(hashBytes(Content));
}

/// Returns the history that a call's target has to know, by its agent.
AgentHistory historyOf(const ProgramLedger &Ledger, const AgentId &Agent) {
  const auto Found = Ledger.Agents.find(Agent);
  return Found == Ledger.Agents.end() ? AgentHistory() : Found->second;
}

/// Records the intent of an attempt at Target.
void recordIntent(EntryContext &Context, const LineView &View,
                  const HostId &Target) {
  ActiveCall &Active = View.active();
  if (Active.Tries == 0)
    Context.State.RetryCredit =
        std::min(Context.State.Options.RetryBurst,
                 Context.State.RetryCredit + Context.State.Options.RetryRatio);
  ++Active.Tries;
  Active.Tried.insert(Target);
  Active.Target = Target;
  Active.SidecarInstance = Context.State.Peers[Target].Instance;
  Active.Attempt = AttemptId{View.Ref.Shard, View.Shard->Entry.OwnerEpoch,
                             View.Shard->NextSequence++};
  View.Shard->Attempts[Active.Attempt] = {View.Ref.Program, View.Ref.Agent};
  ++Context.State.Targets[Target].OwnOutstanding;
  Active.IsOutstanding = true;
  setPhase(Context, Active, CallPhase::Recording);

  IntentRecorded Intent;
  Intent.Attempt = Active.Attempt;
  Intent.Asked = Active.Ticket.Asked;
  Intent.Target = Target;
  Intent.SidecarInstance = Active.SidecarInstance;
  if (Active.Ticket.Asked.Kind == CallKind::Chat)
    Intent.Reserved =
        std::min(Active.Ticket.Asked.MaxTokens, View.Ledger->tokensLeft());
  appendRecord(Context, *View.Shard, View.Ref.Shard, Intent,
               SendDispatch{View.Ref.Program, View.Ref.Agent, Active.Attempt});
}

bool hasBudgetLeft(const ProgramLedger &Ledger, const Call &Asked) {
  if (!Ledger.hasCallsLeft())
    return false;
  return Asked.Kind != CallKind::Chat || TokenCount() < Ledger.tokensLeft();
}

/// Tries the active call of a line, or says why it can't be run.
void tryCall(EntryContext &Context, const LineView &View) {
  ActiveCall &Active = View.active();
  const Call &Asked = Active.Ticket.Asked;
  if (Active.Ticket.Deadline <= Context.now()) {
    failCall(Context, View, CallError::DeadlinePassed, false,
             "the call's deadline passed before it could run");
    return;
  }
  if (!hasBudgetLeft(*View.Ledger, Asked)) {
    failCall(Context, View, CallError::BudgetExhausted, false,
             "the program's budget is used up or set aside");
    return;
  }
  Active.Content = fingerprintOf(*View.Ledger, Asked);
  const ContentStanding Standing = standingOf(Context.State, Active.Content);
  if (Standing == ContentStanding::Quarantined) {
    failCall(Context, View, CallError::Quarantined, false,
             "this request has crashed its targets");
    return;
  }
  Active.Isolated = Standing == ContentStanding::Suspect;

  const AgentHistory History = historyOf(*View.Ledger, Asked.Agent);
  RoutingRequest Request{Asked.Service, {}, 0, Active.Tried};
  if (Asked.Kind == CallKind::Chat) {
    Request.PrefixHome =
        View.Line->PrefixReleased ? HostId() : History.LastTarget;
    Request.PrefixBytes = History.Messages.size();
  }
  const RoutingChoice Choice = chooseTarget(Context.State, Request);
  if (!Choice.Target) {
    const CallError Code = Active.Tries > 0 ? Active.LastError : Choice.Reason;
    failCall(Context, View, Code, true, "no target can take the call now");
    return;
  }
  if (Asked.Kind == CallKind::Chat)
    movePrefix(Context, *View.Line, View.Ref, History.LastTarget,
               *Choice.Target);
  recordIntent(Context, View, *Choice.Target);
}

/// An attempt ended, and whether it ran can't be told.
void handleUnknownOutcome(EntryContext &Context, const LineView &View,
                          bool TargetCrashed) {
  ActiveCall &Active = View.active();
  if (TargetCrashed)
    noteCrash(Context, Active.Content, Active.Isolated);
  if (!Active.Ticket.Asked.Idempotent) {
    finishUnknown(Context, View);
    return;
  }
  releaseAttempt(Context, View, Execution::Unknown);
  Active.Worst = Execution::Unknown;
  Active.LastError = CallError::TargetFailed;
  if (Active.HasStreamed)
    failCall(Context, View, CallError::StreamCut, true,
             "the answer was cut off by its target");
  else
    retryOrFail(Context, View);
}

void handleRan(EntryContext &Context, const LineView &View,
               const AttemptFinished &Finished) {
  ActiveCall &Active = View.active();
  if (Active.Isolated)
    clearSuspicion(Context, Active.Content);
  TargetView &Target = Context.State.Targets[Active.Target];
  const auto Took =
      static_cast<double>((Context.now() - Active.DispatchedAt).count());
  if (!Active.IsInherited)
    Target.AverageMillis += AverageWeight * (Took - Target.AverageMillis);
  leaveTarget(Context.State, Active);
  setPhase(Context, Active, CallPhase::Finishing);
  appendRecord(Context, *View.Shard, View.Ref.Shard,
               CallFinished{View.Ref.Program, Active.Attempt, Finished.Answer,
                            Finished.Generated, Finished.HistoryMessage},
               PublishAnswer{View.Ref.Program, View.Ref.Agent});
}

/// Answers the waiters of a running call whose deadline has passed. What may
/// not be repeated goes on, and its outcome is kept for a repeat.
void handleLateCall(EntryContext &Context, ActiveCall &Active) {
  const CallFailure Failure =
      refusal(Context, CallError::DeadlinePassed, Execution::Unknown, true,
              "the call is still running; repeat with the same key");
  answerWaiters(Context, Active.Ticket.Waiters, Failure);
  Active.Ticket.Waiters.clear();
  cancelIfUnwanted(Context, Active);
}

void wakeActive(EntryContext &Context, const LineView &View) {
  ActiveCall &Active = View.active();
  const bool IsLate = Active.Ticket.Deadline <= Context.now();
  switch (Active.Phase) {
  case CallPhase::Waiting:
    if (Active.RetryAt <= Context.now() || IsLate)
      tryCall(Context, View);
    return;
  case CallPhase::Running:
    if (IsLate)
      handleLateCall(Context, Active);
    return;
  case CallPhase::Resolving:
    if (Context.now() - Active.PhaseSince >= Context.State.Options.ResolveLimit)
      handleUnknownOutcome(Context, View, false);
    return;
  case CallPhase::Recording:
  case CallPhase::Finishing:
    if (IsLate)
      handleLateCall(Context, Active);
    return;
  }
}

void refuseLateTickets(EntryContext &Context, AgentLine &Line) {
  const CallFailure Failure =
      refusal(Context, CallError::DeadlinePassed, Execution::NotRun, false,
              "the call's deadline passed before its turn came");
  for (auto Ticket = Line.Queue.begin(); Ticket != Line.Queue.end();) {
    if (Context.now() < Ticket->Deadline) {
      ++Ticket;
      continue;
    }
    answerWaiters(Context, Ticket->Waiters, Failure);
    Ticket = Line.Queue.erase(Ticket);
  }
}

/// Ends a program that has been silent for too long, and forgets one that
/// ended long ago.
void wakeProgram(EntryContext &Context, OwnedShard &Shard, ShardId Id,
                 const ProgramId &Program) {
  const auto Ledger = Shard.Ledger.find(Program);
  const auto Runtime = Shard.Programs.find(Program);
  if (Ledger == Shard.Ledger.end() || Runtime == Shard.Programs.end())
    return;
  const EntryOptions &Options = Context.State.Options;
  const Milliseconds Limit =
      Ledger->second.Ended ? Options.EndedRetention : Options.ProgramIdleLimit;
  const bool IsBusy = std::any_of(
      Runtime->second.Lines.begin(), Runtime->second.Lines.end(),
      [](const auto &Item) { return Item.second.Active.has_value(); });
  if (IsBusy || Context.now() < Runtime->second.LastUsed + Limit) {
    watchProgram(Context, Id, Program);
    return;
  }
  if (Ledger->second.Ended) {
    Shard.Ledger.erase(Ledger);
    Shard.Programs.erase(Runtime);
    return;
  }
  cancelProgram(Context, Shard, Id, Program);
  appendRecord(Context, Shard, Id, ProgramEnded{Program}, std::monostate());
  Runtime->second.LastUsed = Context.now();
  watchProgram(Context, Id, Program);
}

void wakeLine(EntryContext &Context, const LineRef &Ref) {
  const LineView View = findLine(Context, Ref);
  if (!View.Shard || !View.Shard->HasOwnLedger)
    return;
  if (Ref.Agent.Value.empty()) {
    wakeProgram(Context, *View.Shard, Ref.Shard, Ref.Program);
    return;
  }
  if (!View.Line)
    return;
  refuseLateTickets(Context, *View.Line);
  if (View.hasActive())
    wakeActive(Context, View);
  else
    releaseIdlePrefix(Context, *View.Ledger, *View.Line, Ref);
}

/// Calls Visit for each line of this entry's shards with an active call.
template <typename Visitor>
void forEachActive(EntryContext &Context, Visitor Visit) {
  std::vector<LineRef> Lines;
  for (const auto &[Id, Shard] : Context.State.Owned) {
    for (const auto &[Program, Runtime] : Shard.Programs) {
      for (const auto &[Agent, Line] : Runtime.Lines) {
        if (Line.Active)
          Lines.push_back(LineRef{Id, Program, Agent});
      }
    }
  }
  for (const LineRef &Ref : Lines) {
    const LineView View = findLine(Context, Ref);
    if (View.hasActive())
      Visit(View);
  }
}

} // namespace

void startNextCall(EntryContext &Context, OwnedShard &Shard,
                   const LineRef &Ref) {
  const LineView View = findLine(Context, Ref);
  if (!View.Line || View.Line->Active || View.Line->Queue.empty() ||
      Shard.Phase != ShardPhase::Serving)
    return;
  ActiveCall Active;
  Active.Ticket = std::move(View.Line->Queue.front());
  View.Line->Queue.pop_front();
  View.Line->Active = std::move(Active);
  tryCall(Context, View);
}

void startWaitingLines(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  std::vector<LineRef> Lines;
  for (const auto &[Program, Runtime] : Shard.Programs) {
    for (const auto &[Agent, Line] : Runtime.Lines)
      Lines.push_back(LineRef{Id, Program, Agent});
  }
  for (const LineRef &Ref : Lines)
    startNextCall(Context, Shard, Ref);
}

void dispatchAttempt(EntryContext &Context, ShardId,
                     const SendDispatch &Action) {
  const LineView View = findAttempt(Context, Action.Attempt);
  if (!View.hasActive() || View.active().Phase != CallPhase::Recording)
    return;
  ActiveCall &Active = View.active();
  const PeerView &Sidecar = Context.State.Peers[Active.Target];
  if (Active.Ticket.Waiters.empty() || !Sidecar.Connected ||
      Sidecar.Instance != Active.SidecarInstance) {
    releaseAttempt(Context, View, Execution::NotRun);
    Active.LastError = CallError::TargetFailed;
    retryOrFail(Context, View);
    return;
  }
  setPhase(Context, Active, CallPhase::Running);
  Active.DispatchedAt = Context.now();
  const Call &Asked = Active.Ticket.Asked;
  const IntentRecorded &Intent = View.Ledger->OpenIntents.at(Active.Attempt);
  DispatchAttempt Work;
  Work.Attempt = Active.Attempt;
  Work.Program = Asked.Program;
  Work.Agent = Asked.Agent;
  Work.Kind = Asked.Kind;
  Work.Idempotent = Asked.Idempotent;
  Work.Stream = Asked.Stream;
  Work.Isolated = Active.Isolated;
  Work.Method = Asked.Method;
  Work.Path = Asked.Path;
  Work.Body = targetBody(*View.Ledger, Asked);
  Work.MaxTokens = Intent.Reserved;
  Work.Attained = View.Ledger->TokensSpent;
  Work.Deadline = Active.Ticket.Deadline - Context.now();
  Work.TraceParent = Asked.TraceParent;
  Context.send(Active.Target, std::move(Work));
}

void publishAnswer(EntryContext &Context, ShardId Id,
                   const PublishAnswer &Action) {
  const LineView View =
      findLine(Context, LineRef{Id, Action.Program, Action.Agent});
  if (!View.hasActive() || View.active().Phase != CallPhase::Finishing)
    return;
  const ActiveCall &Active = View.active();
  const auto Stored = View.Ledger->Answers.find(Active.Ticket.Asked.Key);
  if (Stored != View.Ledger->Answers.end())
    answerWaiters(Context, Active.Ticket.Waiters, Stored->second.Answer);
  Context.send(Active.Target, ForgetAttempt{Active.Attempt});
  closeCall(Context, View);
}

void handleRefused(EntryContext &Context, const AttemptRefused &Refused) {
  const LineView View = findAttempt(Context, Refused.Attempt);
  if (!View.hasActive())
    return;
  ActiveCall &Active = View.active();
  if (Active.Phase != CallPhase::Running &&
      Active.Phase != CallPhase::Resolving)
    return;
  releaseAttempt(Context, View, Execution::NotRun);
  Active.LastError = Refused.Reason;
  retryOrFail(Context, View);
}

void handleChunk(EntryContext &Context, const AttemptChunk &Chunk) {
  const LineView View = findAttempt(Context, Chunk.Attempt);
  if (!View.hasActive() || View.active().Phase != CallPhase::Running)
    return;
  View.active().HasStreamed = true;
  streamToWaiters(Context, View.active().Ticket.Waiters, Chunk.Bytes);
}

void handleFinished(EntryContext &Context, const AttemptFinished &Finished) {
  const LineView View = findAttempt(Context, Finished.Attempt);
  if (!View.hasActive()) {
    Context.count("late_outcomes_total", "unknown_attempt");
    return;
  }
  const CallPhase Phase = View.active().Phase;
  if (Phase != CallPhase::Running && Phase != CallPhase::Resolving)
    return;
  if (Finished.Ran == Execution::Ran)
    handleRan(Context, View, Finished);
  else
    handleUnknownOutcome(Context, View, Finished.TargetCrashed);
}

void suspendAttemptsAt(EntryContext &Context, const HostId &Host) {
  forEachActive(Context, [&](const LineView &View) {
    ActiveCall &Active = View.active();
    if (Active.Target != Host || Active.Phase != CallPhase::Running)
      return;
    if (Active.Ticket.Asked.Idempotent) {
      handleUnknownOutcome(Context, View, false);
      return;
    }
    setPhase(Context, Active, CallPhase::Resolving);
    Context.State.Due.emplace(
        Context.now() + Context.State.Options.ResolveLimit, View.Ref);
  });
}

void resolveAttemptsAt(EntryContext &Context, const HostId &Host,
                       const InstanceId &Instance) {
  forEachActive(Context, [&](const LineView &View) {
    ActiveCall &Active = View.active();
    if (Active.Target != Host || Active.Phase != CallPhase::Resolving)
      return;
    if (Active.SidecarInstance == Instance)
      Context.send(Host,
                   QueryAttempt{Active.Attempt, View.Shard->Entry.OwnerEpoch});
    else
      handleUnknownOutcome(Context, View, false);
  });
}

void adoptPrograms(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  for (const auto &[Program, Ledger] : Shard.Ledger) {
    const auto [Found, IsNew] =
        Shard.Programs.emplace(Program, ProgramRuntime());
    if (!IsNew)
      continue;
    Found->second.LastUsed = Context.now();
    watchProgram(Context, Id, Program);
    for (const auto &[Agent, History] : Ledger.Agents) {
      AgentLine &Line = Found->second.Lines[Agent];
      Line.LastFinished = Context.now();
      Line.PrefixReleased = History.LastTarget.Value.empty();
      holdPrefix(Context, Ledger, Line, LineRef{Id, Program, Agent});
    }
  }
}

void adoptOpenIntents(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  for (const auto &[Program, Ledger] : Shard.Ledger) {
    for (const auto &[Attempt, Intent] : Ledger.OpenIntents) {
      if (Shard.Attempts.count(Attempt) > 0)
        continue;
      const Call &Asked = Intent.Asked;
      AgentLine &Line = Shard.Programs[Program].Lines[Asked.Agent];
      ActiveCall Active;
      Active.Ticket.Asked = Asked;
      Active.Ticket.Arrived = Context.now();
      Active.Ticket.Deadline = Context.now() + Asked.Deadline;
      Active.Attempt = Attempt;
      Active.Target = Intent.Target;
      Active.SidecarInstance = Intent.SidecarInstance;
      Active.IsInherited = true;
      Active.Tries = 1;
      setPhase(Context, Active, CallPhase::Resolving);
      Line.Active = std::move(Active);
      const LineRef Ref{Id, Program, Asked.Agent};
      Shard.Attempts[Attempt] = {Program, Asked.Agent};
      Context.State.Due.emplace(
          Context.now() + Context.State.Options.ResolveLimit, Ref);
    }
  }
  // Copies: an answer may change the peers while they are visited.
  const std::map<HostId, PeerView> Peers = Context.State.Peers;
  for (const auto &[Host, Peer] : Peers) {
    if (Peer.Connected)
      resolveAttemptsAt(Context, Host, Peer.Instance);
  }
}

void refuseUndurable(EntryContext &Context, OwnedShard &Shard, ShardId Id) {
  const CallFailure Failure =
      refusal(Context, CallError::NotDurable, Execution::NotRun, true,
              "the program's journal can't be written now");
  std::vector<LineRef> Recording;
  for (auto &[Program, Runtime] : Shard.Programs) {
    for (auto &[Agent, Line] : Runtime.Lines) {
      for (const CallTicket &Ticket : Line.Queue)
        answerWaiters(Context, Ticket.Waiters, Failure);
      Line.Queue.clear();
      if (Line.Active && Line.Active->Phase == CallPhase::Recording)
        Recording.push_back(LineRef{Id, Program, Agent});
    }
  }
  for (const LineRef &Ref : Recording) {
    const LineView View = findLine(Context, Ref);
    releaseAttempt(Context, View, Execution::NotRun);
    failCall(Context, View, CallError::NotDurable, true,
             "the program's journal can't be written now");
  }
}

void wakeDueLines(EntryContext &Context) {
  auto &Due = Context.State.Due;
  while (!Due.empty() && Due.begin()->first <= Context.now()) {
    const LineRef Ref = Due.begin()->second;
    Due.erase(Due.begin());
    wakeLine(Context, Ref);
  }
}

void watchProgram(EntryContext &Context, ShardId Id, const ProgramId &Program) {
  const EntryOptions &Options = Context.State.Options;
  const Milliseconds Pause =
      std::min(Options.ProgramIdleLimit, Options.EndedRetention);
  Context.State.Due.emplace(Context.now() + Pause,
                            LineRef{Id, Program, AgentId()});
}

void cancelIfUnwanted(EntryContext &Context, ActiveCall &Active) {
  const bool IsUnwanted =
      Active.Ticket.Waiters.empty() && Active.Ticket.Asked.Idempotent;
  if (IsUnwanted && Active.Phase == CallPhase::Running)
    Context.send(Active.Target, CancelAttempt{Active.Attempt});
}

void cancelProgram(EntryContext &Context, OwnedShard &Shard, ShardId,
                   const ProgramId &Program) {
  const auto Runtime = Shard.Programs.find(Program);
  if (Runtime == Shard.Programs.end())
    return;
  const CallFailure Failure =
      refusal(Context, CallError::ProgramEnded, Execution::NotRun, false,
              "the program has ended");
  for (auto &[Agent, Line] : Runtime->second.Lines) {
    for (const CallTicket &Ticket : Line.Queue)
      answerWaiters(Context, Ticket.Waiters, Failure);
    Line.Queue.clear();
    releasePrefix(Context, Shard.Ledger.at(Program), Line, Program, Agent);
  }
}

} // namespace tanagerlanding
