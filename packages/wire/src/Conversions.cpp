#include "Conversions.h"

namespace tanagerlanding {

std::unique_ptr<wire::AttemptT> toWire(const AttemptId &Id) {
  auto Table = std::make_unique<wire::AttemptT>();
  Table->shard = Id.Shard.Value;
  Table->epoch = Id.OwnerEpoch.Value;
  Table->sequence = Id.Sequence;
  return Table;
}

AttemptId fromWire(const std::unique_ptr<wire::AttemptT> &Id) {
  if (!Id)
    return AttemptId();
  return AttemptId{ShardId(Id->shard), Epoch(Id->epoch), Id->sequence};
}

std::unique_ptr<wire::CallContentT> toWire(const Call &Asked) {
  auto Table = std::make_unique<wire::CallContentT>();
  Table->program = Asked.Program.Value;
  Table->agent = Asked.Agent.Value;
  Table->team = Asked.Team.Value;
  Table->key = Asked.Key.Value;
  Table->kind = static_cast<std::uint8_t>(Asked.Kind);
  Table->idempotent = Asked.Idempotent;
  Table->stream = Asked.Stream;
  Table->service = Asked.Service.Value;
  Table->method = Asked.Method;
  Table->path = Asked.Path;
  Table->body = Asked.Body;
  Table->max_tokens = Asked.MaxTokens.Value;
  Table->has_grant = Asked.Grant.has_value();
  Table->grant_tokens = Asked.Grant ? Asked.Grant->Tokens.Value : 0;
  Table->grant_calls = Asked.Grant ? Asked.Grant->Calls : 0;
  Table->deadline_ms = Asked.Deadline.count();
  Table->trace_parent = Asked.TraceParent;
  return Table;
}

Call fromWire(const std::unique_ptr<wire::CallContentT> &Table) {
  Call Asked;
  if (!Table)
    return Asked;
  Asked.Program = ProgramId(Table->program);
  Asked.Agent = AgentId(Table->agent);
  Asked.Team = TeamId(Table->team);
  Asked.Key = CallKey(Table->key);
  Asked.Kind = static_cast<CallKind>(Table->kind);
  Asked.Idempotent = Table->idempotent;
  Asked.Stream = Table->stream;
  Asked.Service = ServiceName(Table->service);
  Asked.Method = Table->method;
  Asked.Path = Table->path;
  Asked.Body = Table->body;
  Asked.MaxTokens = TokenCount{Table->max_tokens};
  if (Table->has_grant)
    Asked.Grant = Budget{TokenCount{Table->grant_tokens}, Table->grant_calls};
  Asked.Deadline = Milliseconds(Table->deadline_ms);
  Asked.TraceParent = Table->trace_parent;
  return Asked;
}

std::unique_ptr<wire::AnswerT> toWire(const CallAnswer &Answer) {
  auto Table = std::make_unique<wire::AnswerT>();
  if (const auto *Given = std::get_if<TargetAnswer>(&Answer)) {
    Table->status = Given->Status;
    Table->content_type = Given->ContentType;
    Table->body = Given->Body;
    return Table;
  }
  const CallFailure &Failure = std::get<CallFailure>(Answer);
  Table->is_failure = true;
  Table->code = static_cast<std::uint8_t>(Failure.Code);
  Table->ran = static_cast<std::uint8_t>(Failure.Ran);
  Table->retry_after_ms = Failure.RetryAfter.count();
  Table->detail = Failure.Detail;
  return Table;
}

CallAnswer fromWire(const std::unique_ptr<wire::AnswerT> &Table) {
  if (!Table)
    return CallFailure();
  if (!Table->is_failure)
    return TargetAnswer{Table->status, Table->content_type, Table->body};
  return CallFailure{static_cast<CallError>(Table->code),
                     static_cast<Execution>(Table->ran),
                     Milliseconds(Table->retry_after_ms), Table->detail};
}

namespace {

wire::RecordIntentT toIntentTable(const IntentRecorded &Entry) {
  wire::RecordIntentT Table;
  Table.attempt = toWire(Entry.Attempt);
  Table.asked = toWire(Entry.Asked);
  Table.target = Entry.Target.Value;
  Table.sidecar = Entry.SidecarInstance.Value;
  Table.reserved = Entry.Reserved.Value;
  return Table;
}

IntentRecorded fromIntentTable(const wire::RecordIntentT &Table) {
  return IntentRecorded{fromWire(Table.attempt), fromWire(Table.asked),
                        HostId(Table.target), InstanceId(Table.sidecar),
                        TokenCount{Table.reserved}};
}

/// Visitor that fills a record table from a record.
class RecordTableWriter {
public:
  explicit RecordTableWriter(wire::RecordT &Table) : Table(Table) {}

  void operator()(const ProgramStarted &Entry) {
    wire::RecordStartedT Body;
    Body.program = Entry.Program.Value;
    Body.team = Entry.Team.Value;
    Body.tokens = Entry.Granted.Tokens.Value;
    Body.calls = Entry.Granted.Calls;
    this->Table.body.Set(std::move(Body));
  }

  void operator()(const IntentRecorded &Entry) {
    this->Table.body.Set(toIntentTable(Entry));
  }

  void operator()(const AttemptReleased &Entry) {
    wire::RecordReleasedT Body;
    Body.program = Entry.Program.Value;
    Body.attempt = toWire(Entry.Attempt);
    Body.charged = Entry.Charged.Value;
    Body.ran = Entry.Ran;
    this->Table.body.Set(std::move(Body));
  }

  void operator()(const CallFinished &Entry) {
    wire::RecordFinishedT Body;
    Body.program = Entry.Program.Value;
    Body.attempt = toWire(Entry.Attempt);
    Body.answer = toWire(Entry.Answer);
    Body.used = Entry.Used.Value;
    Body.history_message = Entry.HistoryMessage;
    this->Table.body.Set(std::move(Body));
  }

  void operator()(const ProgramEnded &Entry) {
    wire::RecordEndedT Body;
    Body.program = Entry.Program.Value;
    this->Table.body.Set(std::move(Body));
  }

  void operator()(const ProgramSnapshot &Entry) {
    const ProgramLedger &Ledger = Entry.Ledger;
    wire::RecordSnapshotT Body;
    Body.program = Entry.Program.Value;
    Body.team = Ledger.Team.Value;
    Body.tokens = Ledger.Granted.Tokens.Value;
    Body.calls = Ledger.Granted.Calls;
    Body.tokens_spent = Ledger.TokensSpent.Value;
    Body.tokens_reserved = Ledger.TokensReserved.Value;
    Body.calls_spent = Ledger.CallsSpent;
    Body.ended = Ledger.Ended;
    for (const auto &[Agent, History] : Ledger.Agents) {
      auto Item = std::make_unique<wire::SnapshotAgentT>();
      Item->agent = Agent.Value;
      Item->messages = History.Messages;
      Item->turns = History.Turns;
      Item->last_target = History.LastTarget.Value;
      Body.agents.push_back(std::move(Item));
    }
    for (const auto &[Key, Stored] : Ledger.Answers) {
      auto Item = std::make_unique<wire::SnapshotAnswerT>();
      Item->key = Key.Value;
      Item->digest = Stored.Digest;
      Item->answer = toWire(Stored.Answer);
      Body.answers.push_back(std::move(Item));
    }
    for (const auto &[Attempt, Intent] : Ledger.OpenIntents)
      Body.intents.push_back(
          std::make_unique<wire::RecordIntentT>(toIntentTable(Intent)));
    this->Table.body.Set(std::move(Body));
  }

private:
  wire::RecordT &Table;
};

ProgramSnapshot fromSnapshotTable(const wire::RecordSnapshotT &Table) {
  ProgramSnapshot Entry;
  Entry.Program = ProgramId(Table.program);
  ProgramLedger &Ledger = Entry.Ledger;
  Ledger.Team = TeamId(Table.team);
  Ledger.Granted = Budget{TokenCount{Table.tokens}, Table.calls};
  Ledger.TokensSpent = TokenCount{Table.tokens_spent};
  Ledger.TokensReserved = TokenCount{Table.tokens_reserved};
  Ledger.CallsSpent = Table.calls_spent;
  Ledger.Ended = Table.ended;
  for (const auto &Item : Table.agents)
    Ledger.Agents[AgentId(Item->agent)] =
        AgentHistory{Item->messages, Item->turns, HostId(Item->last_target)};
  for (const auto &Item : Table.answers)
    Ledger.Answers[CallKey(Item->key)] =
        StoredAnswer{Item->digest, fromWire(Item->answer)};
  for (const auto &Item : Table.intents) {
    const IntentRecorded Intent = fromIntentTable(*Item);
    Ledger.OpenIntents[Intent.Attempt] = Intent;
  }
  return Entry;
}

} // namespace

std::unique_ptr<wire::RecordT> toWire(const Record &Content) {
  auto Table = std::make_unique<wire::RecordT>();
  std::visit(RecordTableWriter(*Table), Content);
  return Table;
}

bool fromWire(const wire::RecordT &Content, Record &Into) {
  // The verifier accepts a body that has a type but is absent.
  if (!Content.body.value)
    return false;
  switch (Content.body.type) {
  case wire::RecordBody::RecordStarted: {
    const auto &Body = *Content.body.AsRecordStarted();
    Into = ProgramStarted{ProgramId(Body.program), TeamId(Body.team),
                          Budget{TokenCount{Body.tokens}, Body.calls}};
    return true;
  }
  case wire::RecordBody::RecordIntent:
    Into = fromIntentTable(*Content.body.AsRecordIntent());
    return true;
  case wire::RecordBody::RecordReleased: {
    const auto &Body = *Content.body.AsRecordReleased();
    Into = AttemptReleased{ProgramId(Body.program), fromWire(Body.attempt),
                           TokenCount{Body.charged}, Body.ran};
    return true;
  }
  case wire::RecordBody::RecordFinished: {
    const auto &Body = *Content.body.AsRecordFinished();
    Into = CallFinished{ProgramId(Body.program), fromWire(Body.attempt),
                        fromWire(Body.answer), TokenCount{Body.used},
                        Body.history_message};
    return true;
  }
  case wire::RecordBody::RecordEnded:
    Into = ProgramEnded{ProgramId(Content.body.AsRecordEnded()->program)};
    return true;
  case wire::RecordBody::RecordSnapshot:
    Into = fromSnapshotTable(*Content.body.AsRecordSnapshot());
    return true;
  case wire::RecordBody::NONE:
    return false;
  }
  return false;
}

} // namespace tanagerlanding
