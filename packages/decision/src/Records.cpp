#include "tanagerlanding/decision/Records.h"

namespace tanagerlanding {

TokenCount ProgramLedger::tokensLeft() const {
  return this->Granted.Tokens.minusSaturated(this->TokensSpent +
                                             this->TokensReserved);
}

bool ProgramLedger::hasCallsLeft() const {
  return this->CallsSpent + this->OpenIntents.size() < this->Granted.Calls;
}

namespace {

/// Applies records to a ledger, one overload for each record type.
class RecordApplier {
public:
  explicit RecordApplier(ShardLedger &Ledger) : Ledger(Ledger) {}

  void operator()(const ProgramStarted &Entry) {
    ProgramLedger Fresh;
    Fresh.Team = Entry.Team;
    Fresh.Granted = Entry.Granted;
    this->Ledger.emplace(Entry.Program, Fresh);
  }

  void operator()(const IntentRecorded &Entry) {
    ProgramLedger *Program = this->find(Entry.Asked.Program);
    if (!Program)
      return;
    if (!Program->OpenIntents.emplace(Entry.Attempt, Entry).second)
      return;
    Program->TokensReserved = Program->TokensReserved + Entry.Reserved;
    Program->Agents[Entry.Asked.Agent].LastTarget = Entry.Target;
  }

  void operator()(const AttemptReleased &Entry) {
    ProgramLedger *Program = this->find(Entry.Program);
    if (!Program || !this->closeIntent(*Program, Entry.Attempt))
      return;
    Program->TokensSpent = Program->TokensSpent + Entry.Charged;
    if (Entry.Ran)
      ++Program->CallsSpent;
  }

  void operator()(const CallFinished &Entry) {
    ProgramLedger *Program = this->find(Entry.Program);
    if (!Program)
      return;
    const auto Intent = Program->OpenIntents.find(Entry.Attempt);
    if (Intent == Program->OpenIntents.end())
      return;
    const Call Asked = Intent->second.Asked;
    this->closeIntent(*Program, Entry.Attempt);
    Program->TokensSpent = Program->TokensSpent + Entry.Used;
    ++Program->CallsSpent;
    Program->Answers[Asked.Key] = StoredAnswer{digestOf(Asked), Entry.Answer};
    if (Entry.HistoryMessage.empty() || Program->Ended)
      return;
    AgentHistory &Agent = Program->Agents[Asked.Agent];
    if (!Agent.Messages.empty())
      Agent.Messages += ',';
    Agent.Messages += Asked.Body + "," + Entry.HistoryMessage;
    ++Agent.Turns;
  }

  void operator()(const ProgramEnded &Entry) {
    ProgramLedger *Program = this->find(Entry.Program);
    if (!Program)
      return;
    Program->Ended = true;
    Program->Agents.clear();
  }

  void operator()(const ProgramSnapshot &Entry) {
    this->Ledger[Entry.Program] = Entry.Ledger;
  }

private:
  ProgramLedger *find(const ProgramId &Program) {
    const auto Found = this->Ledger.find(Program);
    return Found == this->Ledger.end() ? nullptr : &Found->second;
  }

  static bool closeIntent(ProgramLedger &Program, const AttemptId &Attempt) {
    const auto Intent = Program.OpenIntents.find(Attempt);
    if (Intent == Program.OpenIntents.end())
      return false;
    Program.TokensReserved =
        Program.TokensReserved.minusSaturated(Intent->second.Reserved);
    Program.OpenIntents.erase(Intent);
    return true;
  }

  ShardLedger &Ledger;
};

} // namespace

void applyRecord(ShardLedger &Ledger, const Record &Entry) {
  std::visit(RecordApplier(Ledger), Entry);
}

std::vector<Record> snapshotOf(const ShardLedger &Ledger) {
  std::vector<Record> Records;
  Records.reserve(Ledger.size());
  for (const auto &[Program, Content] : Ledger)
    Records.push_back(ProgramSnapshot{Program, Content});
  return Records;
}

} // namespace tanagerlanding
