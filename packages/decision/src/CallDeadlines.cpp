#include "CallDeadlines.h"

#include "CallAdmission.h"
#include "CallAttempts.h"
#include "CallLines.h"
#include "CallOutcomes.h"
#include "Durability.h"
#include "Prefixes.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Answers the waiters of an active call whose deadline has passed. A call that
/// is not idempotent continues, and its outcome is kept for a repeat.
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

/// Ends a program that has made no calls for ProgramIdleLimit, and drops one
/// that ended at least EndedRetention ago.
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

} // namespace

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

} // namespace tanagerlanding
