#include "tanagerlanding/decision/Records.h"

namespace tanagerlanding {

TokenCount ProgramState::tokensLeft() const {
  return this->Granted.Tokens.saturatingMinus(this->TokensSpent +
                                              this->TokensReserved);
}

bool ProgramState::hasCallsLeft() const {
  return this->CallsSpent + this->OpenIntents.size() < this->Granted.Calls;
}

namespace {

/// Applies records to a ledger, one overload for each record type.
class RecordApplier {
public:
  explicit RecordApplier(ShardState &DurableState)
      : DurableState(DurableState) {}

  void operator()(const ProgramStarted &Entry) {
    ProgramState Fresh;
    Fresh.Team = Entry.Team;
    Fresh.Granted = Entry.Granted;
    this->DurableState.emplace(Entry.Program, Fresh);
  }

  void operator()(const IntentRecorded &Entry) {
    ProgramState *Program = this->find(Entry.RequestedCall.Program);
    if (!Program)
      return;
    if (!Program->OpenIntents.emplace(Entry.Attempt, Entry).second)
      return;
    Program->TokensReserved = Program->TokensReserved + Entry.Reserved;
    Program->Agents[Entry.RequestedCall.Agent].LastTarget = Entry.Target;
  }

  void operator()(const AttemptReleased &Entry) {
    ProgramState *Program = this->find(Entry.Program);
    if (!Program || !this->closeIntent(*Program, Entry.Attempt))
      return;
    Program->TokensSpent = Program->TokensSpent + Entry.Charged;
    if (Entry.MayHaveRun)
      ++Program->CallsSpent;
  }

  void operator()(const CallFinished &Entry) {
    ProgramState *Program = this->find(Entry.Program);
    if (!Program)
      return;
    const auto Intent = Program->OpenIntents.find(Entry.Attempt);
    if (Intent == Program->OpenIntents.end())
      return;
    const Call RequestedCall = Intent->second.RequestedCall;
    this->closeIntent(*Program, Entry.Attempt);
    Program->TokensSpent = Program->TokensSpent + Entry.Used;
    ++Program->CallsSpent;
    Program->Answers[RequestedCall.Key] =
        StoredAnswer{digestOf(RequestedCall), Entry.Answer};
    if (Entry.HistoryMessage.empty() || Program->HasEnded)
      return;
    AgentHistory &Agent = Program->Agents[RequestedCall.Agent];
    if (!Agent.Messages.empty())
      Agent.Messages += ',';
    Agent.Messages += RequestedCall.Body + "," + Entry.HistoryMessage;
    ++Agent.Turns;
  }

  void operator()(const ProgramEnded &Entry) {
    ProgramState *Program = this->find(Entry.Program);
    if (!Program)
      return;
    Program->HasEnded = true;
    Program->Agents.clear();
  }

  void operator()(const ProgramSnapshot &Entry) {
    this->DurableState[Entry.Program] = Entry.DurableState;
  }

private:
  ProgramState *find(const ProgramId &Program) {
    const auto Found = this->DurableState.find(Program);
    return Found == this->DurableState.end() ? nullptr : &Found->second;
  }

  static bool closeIntent(ProgramState &Program, const AttemptId &Attempt) {
    const auto Intent = Program.OpenIntents.find(Attempt);
    if (Intent == Program.OpenIntents.end())
      return false;
    Program.TokensReserved =
        Program.TokensReserved.saturatingMinus(Intent->second.Reserved);
    Program.OpenIntents.erase(Intent);
    return true;
  }

  ShardState &DurableState;
};

} // namespace

void applyRecord(ShardState &DurableState, const Record &Entry) {
  std::visit(RecordApplier(DurableState), Entry);
}

std::vector<Record> snapshotOf(const ShardState &DurableState) {
  std::vector<Record> Records;
  Records.reserve(DurableState.size());
  for (const auto &[Program, Content] : DurableState)
    Records.push_back(ProgramSnapshot{Program, Content});
  return Records;
}

} // namespace tanagerlanding
