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

std::unique_ptr<wire::CallContentT> toWire(const Call &RequestedCall) {
  auto Table = std::make_unique<wire::CallContentT>();
  Table->program = RequestedCall.Program.Value;
  Table->agent = RequestedCall.Agent.Value;
  Table->team = RequestedCall.Team.Value;
  Table->key = RequestedCall.Key.Value;
  Table->kind = static_cast<std::uint8_t>(RequestedCall.Kind);
  Table->idempotent = RequestedCall.IsIdempotent;
  Table->stream = RequestedCall.IsStreaming;
  Table->service = RequestedCall.Service.Value;
  Table->method = RequestedCall.Method;
  Table->path = RequestedCall.Path;
  Table->body = RequestedCall.Body;
  Table->max_tokens = RequestedCall.MaxTokens.Value;
  Table->has_grant = RequestedCall.Grant.has_value();
  Table->grant_tokens =
      RequestedCall.Grant ? RequestedCall.Grant->Tokens.Value : 0;
  Table->grant_calls = RequestedCall.Grant ? RequestedCall.Grant->Calls : 0;
  Table->deadline_ms = RequestedCall.Deadline.count();
  Table->trace_parent = RequestedCall.TraceParent;
  return Table;
}

Call fromWire(const std::unique_ptr<wire::CallContentT> &Table) {
  Call RequestedCall;
  if (!Table)
    return RequestedCall;
  RequestedCall.Program = ProgramId(Table->program);
  RequestedCall.Agent = AgentId(Table->agent);
  RequestedCall.Team = TeamId(Table->team);
  RequestedCall.Key = CallKey(Table->key);
  RequestedCall.Kind = static_cast<CallKind>(Table->kind);
  RequestedCall.IsIdempotent = Table->idempotent;
  RequestedCall.IsStreaming = Table->stream;
  RequestedCall.Service = ServiceName(Table->service);
  RequestedCall.Method = Table->method;
  RequestedCall.Path = Table->path;
  RequestedCall.Body = Table->body;
  RequestedCall.MaxTokens = TokenCount{Table->max_tokens};
  if (Table->has_grant)
    RequestedCall.Grant =
        Budget{TokenCount{Table->grant_tokens}, Table->grant_calls};
  RequestedCall.Deadline = Milliseconds(Table->deadline_ms);
  RequestedCall.TraceParent = Table->trace_parent;
  return RequestedCall;
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
  Table->ran = static_cast<std::uint8_t>(Failure.ExecutionStatus);
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
  Table.asked = toWire(Entry.RequestedCall);
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
    Body.ran = Entry.MayHaveRun;
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
    const ProgramState &DurableState = Entry.DurableState;
    wire::RecordSnapshotT Body;
    Body.program = Entry.Program.Value;
    Body.team = DurableState.Team.Value;
    Body.tokens = DurableState.Granted.Tokens.Value;
    Body.calls = DurableState.Granted.Calls;
    Body.tokens_spent = DurableState.TokensSpent.Value;
    Body.tokens_reserved = DurableState.TokensReserved.Value;
    Body.calls_spent = DurableState.CallsSpent;
    Body.ended = DurableState.HasEnded;
    for (const auto &[Agent, History] : DurableState.Agents) {
      auto Item = std::make_unique<wire::SnapshotAgentT>();
      Item->agent = Agent.Value;
      Item->messages = History.Messages;
      Item->turns = History.Turns;
      Item->last_target = History.LastTarget.Value;
      Body.agents.push_back(std::move(Item));
    }
    for (const auto &[Key, Stored] : DurableState.Answers) {
      auto Item = std::make_unique<wire::SnapshotAnswerT>();
      Item->key = Key.Value;
      Item->digest = Stored.Digest;
      Item->answer = toWire(Stored.Answer);
      Body.answers.push_back(std::move(Item));
    }
    for (const auto &[Attempt, Intent] : DurableState.OpenIntents)
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
  ProgramState &DurableState = Entry.DurableState;
  DurableState.Team = TeamId(Table.team);
  DurableState.Granted = Budget{TokenCount{Table.tokens}, Table.calls};
  DurableState.TokensSpent = TokenCount{Table.tokens_spent};
  DurableState.TokensReserved = TokenCount{Table.tokens_reserved};
  DurableState.CallsSpent = Table.calls_spent;
  DurableState.HasEnded = Table.ended;
  for (const auto &Item : Table.agents)
    DurableState.Agents[AgentId(Item->agent)] =
        AgentHistory{Item->messages, Item->turns, HostId(Item->last_target)};
  for (const auto &Item : Table.answers)
    DurableState.Answers[CallKey(Item->key)] =
        StoredAnswer{Item->digest, fromWire(Item->answer)};
  for (const auto &Item : Table.intents) {
    const IntentRecorded Intent = fromIntentTable(*Item);
    DurableState.OpenIntents[Intent.Attempt] = Intent;
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
