#include "LedgerConversions.h"

#include <memory>

namespace tanagerlanding {

namespace {

std::optional<TurnId> makeOptionalTurn(bool IsPresent,
                                       const std::string &Text) {
  if (!IsPresent)
    return std::nullopt;
  return TurnId(Text);
}

std::string turnText(const std::optional<TurnId> &Turn) {
  return Turn ? Turn->Value : std::string();
}

std::vector<std::unique_ptr<wire::LedgerMemberRowT>>
toRows(const std::vector<LedgerMember> &Members) {
  std::vector<std::unique_ptr<wire::LedgerMemberRowT>> Rows;
  for (const LedgerMember &Each : Members) {
    auto Row = std::make_unique<wire::LedgerMemberRowT>();
    Row->holder = Each.Holder.Value;
    Row->host = Each.Host.Value;
    Row->address = Each.Address;
    Row->port = Each.Port;
    Row->zone = Each.Zone.Value;
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

std::vector<LedgerMember>
fromRows(const std::vector<std::unique_ptr<wire::LedgerMemberRowT>> &Rows) {
  std::vector<LedgerMember> Members;
  for (const auto &Row : Rows)
    Members.push_back(LedgerMember{HolderId(Row->holder), HostId(Row->host),
                                   Row->address, Row->port, ZoneId(Row->zone)});
  return Members;
}

std::vector<std::unique_ptr<wire::LedgerBatchT>>
toRows(const std::vector<LedgerBatch> &Batches) {
  std::vector<std::unique_ptr<wire::LedgerBatchT>> Rows;
  for (const LedgerBatch &Each : Batches)
    Rows.push_back(std::make_unique<wire::LedgerBatchT>(toTable(Each)));
  return Rows;
}

std::vector<LedgerBatch>
fromRows(const std::vector<std::unique_ptr<wire::LedgerBatchT>> &Rows) {
  std::vector<LedgerBatch> Batches;
  for (const auto &Each : Rows)
    Batches.push_back(fromTable(*Each));
  return Batches;
}

std::vector<std::string> toTexts(const std::vector<TurnId> &Turns) {
  std::vector<std::string> Texts;
  for (const TurnId &Each : Turns)
    Texts.push_back(Each.Value);
  return Texts;
}

std::vector<TurnId> fromTexts(const std::vector<std::string> &Texts) {
  return std::vector<TurnId>(Texts.begin(), Texts.end());
}

std::unique_ptr<wire::LedgerViewTableT> toWire(const LedgerView &View) {
  auto Table = std::make_unique<wire::LedgerViewTableT>();
  Table->version = View.Version.Value;
  Table->tolerated = View.ToleratedFailures;
  Table->current = toRows(View.Current);
  Table->next = toRows(View.Next);
  return Table;
}

/// Returns the converted view. An absent table yields the empty view, which is
/// older than any other.
LedgerView fromWire(const std::unique_ptr<wire::LedgerViewTableT> &Table) {
  LedgerView View;
  if (!Table)
    return View;
  View.Version = ViewVersion(Table->version);
  View.ToleratedFailures = Table->tolerated;
  View.Current = fromRows(Table->current);
  View.Next = fromRows(Table->next);
  return View;
}

wire::ClaimRow toRow(const TokenClaim &Claim) {
  return wire::ClaimRow(Claim.Turn.Value, Claim.Tokens.Value, Claim.IsSettled);
}

TokenClaim fromRow(const wire::ClaimRow &Row) {
  return TokenClaim{Fingerprint(Row.turn()), TokenCount{Row.tokens()},
                    Row.settled()};
}

std::unique_ptr<wire::StreamOriginRowT> toRow(const StreamOrigin &Origin) {
  auto Row = std::make_unique<wire::StreamOriginRowT>();
  Row->service = Origin.Service.Value;
  Row->version = Origin.Version.Value;
  return Row;
}

StreamOrigin fromRow(const wire::StreamOriginRowT &Row) {
  return StreamOrigin{ServiceName(Row.service), SoftwareVersion(Row.version)};
}

wire::StreamOutputRowT toRow(const StreamOutput &Output) {
  wire::StreamOutputRowT Row;
  Row.stream = Output.Stream.Value;
  Row.turn_key = Output.TurnKey.Value;
  Row.attempt = Output.Attempt.Value;
  Row.continued_after = Output.ContinuedAfter;
  Row.is_first = Output.IsFirst;
  Row.offset = Output.Offset;
  Row.data = Output.Data;
  for (const OutputMark &Each : Output.Marks)
    Row.marks.emplace_back(Each.EventId, Each.Bytes);
  Row.retention_ms = Output.Retention.count();
  return Row;
}

StreamOutput fromRow(const wire::StreamOutputRowT &Row) {
  StreamOutput Output;
  Output.Stream = Fingerprint(Row.stream);
  Output.TurnKey = Fingerprint(Row.turn_key);
  Output.Attempt = Fingerprint(Row.attempt);
  Output.ContinuedAfter = Row.continued_after;
  Output.IsFirst = Row.is_first;
  Output.Offset = Row.offset;
  Output.Data = Row.data;
  for (const wire::OutputMarkRow &Each : Row.marks)
    Output.Marks.push_back(OutputMark{Each.event_id(), Each.bytes()});
  Output.Retention = Milliseconds(Row.retention_ms);
  return Output;
}

wire::ResumedOutputRowT toRow(const ResumedOutput &Resumed) {
  wire::ResumedOutputRowT Row;
  Row.stream = Resumed.Stream.Value;
  Row.attempt = Resumed.Attempt.Value;
  Row.continued_after = Resumed.ContinuedAfter;
  Row.ambiguous = Resumed.IsAmbiguous;
  Row.has_output = Resumed.Output.has_value();
  Row.output = Resumed.Output.value_or(std::string());
  return Row;
}

ResumedOutput fromRow(const wire::ResumedOutputRowT &Row) {
  ResumedOutput Resumed;
  Resumed.Stream = Fingerprint(Row.stream);
  Resumed.Attempt = Fingerprint(Row.attempt);
  Resumed.ContinuedAfter = Row.continued_after;
  Resumed.IsAmbiguous = Row.ambiguous;
  if (Row.has_output)
    Resumed.Output = Row.output;
  return Resumed;
}

/// Visitor that fills a row from a ledger record.
struct RecordEncoder {
  void operator()(const TurnRecord &Kept) const {
    wire::RecordTurnT Table;
    Table.turn = Kept.Turn.Value;
    Table.has_previous = Kept.Previous.has_value();
    Table.previous = turnText(Kept.Previous);
    Table.input = Kept.Input.text();
    Table.output = Kept.Output.text();
    Table.target = Kept.Target.Value;
    Table.omitted_bytes = Kept.OmittedBytes;
    this->Row.body.Set(std::move(Table));
  }

  void operator()(const TokenClaimRecord &Claimed) const {
    wire::RecordClaimT Table;
    Table.program = Claimed.Program.Value;
    Table.claim = std::make_unique<wire::ClaimRow>(toRow(Claimed.Claim));
    this->Row.body.Set(std::move(Table));
  }

  wire::LedgerRecordRowT &Row;
};

std::optional<LedgerRecord> recordFromRow(const wire::LedgerRecordRowT &Row) {
  if (const auto *Turn = Row.body.AsRecordTurn())
    return TurnRecord{TurnId(Turn->turn),
                      makeOptionalTurn(Turn->has_previous, Turn->previous),
                      Turn->input,
                      Turn->output,
                      TargetId(Turn->target),
                      Turn->omitted_bytes};
  const auto *Claim = Row.body.AsRecordClaim();
  if (Claim && Claim->claim)
    return TokenClaimRecord{ProgramId(Claim->program), fromRow(*Claim->claim)};
  return std::nullopt;
}

} // namespace

wire::LedgerBatchT toTable(const LedgerBatch &Body) {
  wire::LedgerBatchT Table;
  Table.written_at_ms = Body.WrittenAtMillis;
  Table.retention_ms = Body.Retention.count();
  for (const LedgerRecord &Each : Body.Records) {
    auto Row = std::make_unique<wire::LedgerRecordRowT>();
    std::visit(RecordEncoder{*Row}, Each);
    Table.records.push_back(std::move(Row));
  }
  return Table;
}

LedgerBatch fromTable(const wire::LedgerBatchT &Table) {
  LedgerBatch Body;
  Body.WrittenAtMillis = Table.written_at_ms;
  Body.Retention = Milliseconds(Table.retention_ms);
  for (const auto &Row : Table.records) {
    if (auto Record = recordFromRow(*Row))
      Body.Records.push_back(std::move(*Record));
  }
  return Body;
}

wire::StreamStartedT toTable(const StreamStarted &Body) {
  wire::StreamStartedT Table;
  Table.attempt = Body.Attempt.Value;
  Table.content = Body.Content.Value;
  Table.origin = toRow(Body.Origin);
  Table.retention_ms = Body.Retention.count();
  return Table;
}

StreamStarted fromTable(const wire::StreamStartedT &Table) {
  StreamStarted Body;
  Body.Attempt = CallerAttemptId(Table.attempt);
  Body.Content = Fingerprint(Table.content);
  if (Table.origin)
    Body.Origin = fromRow(*Table.origin);
  Body.Retention = Milliseconds(Table.retention_ms);
  return Body;
}

wire::StreamOutputsT toTable(const StreamOutputs &Body) {
  wire::StreamOutputsT Table;
  for (const StreamOutput &Each : Body.Rows)
    Table.rows.push_back(std::make_unique<wire::StreamOutputRowT>(toRow(Each)));
  return Table;
}

StreamOutputs fromTable(const wire::StreamOutputsT &Table) {
  StreamOutputs Body;
  for (const auto &Row : Table.rows)
    Body.Rows.push_back(fromRow(*Row));
  return Body;
}

wire::ContinuationFailedT toTable(const ContinuationFailed &Body) {
  wire::ContinuationFailedT Table;
  Table.turn_key = Body.TurnKey.Value;
  Table.attempt = Body.Attempt.Value;
  return Table;
}

ContinuationFailed fromTable(const wire::ContinuationFailedT &Table) {
  return ContinuationFailed{Fingerprint(Table.turn_key),
                            Fingerprint(Table.attempt)};
}

wire::OpenTurnT toTable(const OpenTurn &Body) {
  wire::OpenTurnT Table;
  Table.operation = Body.Operation.Value;
  Table.view = Body.View.Value;
  Table.turn = Body.Turn.Value;
  Table.program = Body.Program.Value;
  Table.has_claim = Body.Claimed.has_value();
  Table.claimed = Body.Claimed.value_or(TokenCount{}).Value;
  Table.has_previous = Body.Previous.has_value();
  Table.previous = turnText(Body.Previous);
  Table.wants_history = Body.IsHistoryRequested;
  Table.max_history_bytes = Body.MaxHistoryBytes;
  Table.retention_ms = Body.Retention.count();
  Table.has_resumed = Body.ResumedAttempt.has_value();
  Table.resumed = turnText(Body.ResumedAttempt);
  Table.has_resumed_content = Body.ResumedContent.has_value();
  Table.resumed_content = Body.ResumedContent.value_or(Fingerprint()).Value;
  const StreamPosition Position = Body.ResumedAt.value_or(StreamPosition());
  Table.has_position = Body.ResumedAt.has_value();
  Table.after_event = Position.After;
  Table.turn_key = Position.TurnKey.Value;
  return Table;
}

OpenTurn fromTable(const wire::OpenTurnT &Table) {
  OpenTurn Body;
  Body.Operation = LedgerOperationId(Table.operation);
  Body.View = ViewVersion(Table.view);
  Body.Turn = TurnId(Table.turn);
  Body.Program = ProgramId(Table.program);
  if (Table.has_claim)
    Body.Claimed = TokenCount{Table.claimed};
  Body.Previous = makeOptionalTurn(Table.has_previous, Table.previous);
  Body.IsHistoryRequested = Table.wants_history;
  Body.MaxHistoryBytes = Table.max_history_bytes;
  Body.Retention = Milliseconds(Table.retention_ms);
  Body.ResumedAttempt = makeOptionalTurn(Table.has_resumed, Table.resumed);
  if (Table.has_resumed_content)
    Body.ResumedContent = Fingerprint(Table.resumed_content);
  if (Table.has_position)
    Body.ResumedAt =
        StreamPosition{Table.after_event, Fingerprint(Table.turn_key)};
  return Body;
}

wire::TurnOpenedT toTable(const TurnOpened &Body) {
  wire::TurnOpenedT Table;
  Table.operation = Body.Operation.Value;
  Table.holder = Body.Holder.Value;
  Table.knows_previous = Body.HasPrevious;
  Table.previous_target = Body.PreviousTarget.Value;
  Table.has_history = Body.History.has_value();
  Table.history = Body.History.value_or(std::string());
  Table.has_long_history = Body.LongHistoryBytes.has_value();
  Table.long_history_bytes = Body.LongHistoryBytes.value_or(0);
  Table.has_history_end = Body.HistoryEnd.has_value();
  Table.history_end = turnText(Body.HistoryEnd);
  Table.has_missing = Body.MissingTurn.has_value();
  Table.missing = turnText(Body.MissingTurn);
  for (const TokenClaim &Each : Body.Claims)
    Table.claims.push_back(toRow(Each));
  if (Body.ResumedOrigin)
    Table.resumed_origin = toRow(*Body.ResumedOrigin);
  Table.streams_kept_ms = Body.StreamsKeptFor.count();
  if (Body.Resumed)
    Table.resumed =
        std::make_unique<wire::ResumedOutputRowT>(toRow(*Body.Resumed));
  return Table;
}

TurnOpened fromTable(const wire::TurnOpenedT &Table) {
  TurnOpened Body;
  Body.Operation = LedgerOperationId(Table.operation);
  Body.Holder = HolderId(Table.holder);
  Body.HasPrevious = Table.knows_previous;
  Body.PreviousTarget = TargetId(Table.previous_target);
  if (Table.has_history)
    Body.History = Table.history;
  if (Table.has_long_history)
    Body.LongHistoryBytes = Table.long_history_bytes;
  Body.HistoryEnd = makeOptionalTurn(Table.has_history_end, Table.history_end);
  Body.MissingTurn = makeOptionalTurn(Table.has_missing, Table.missing);
  for (const wire::ClaimRow &Row : Table.claims)
    Body.Claims.push_back(fromRow(Row));
  if (Table.resumed_origin)
    Body.ResumedOrigin = fromRow(*Table.resumed_origin);
  Body.StreamsKeptFor = Milliseconds(Table.streams_kept_ms);
  if (Table.resumed)
    Body.Resumed = fromRow(*Table.resumed);
  return Body;
}

wire::CloseTurnT toTable(const CloseTurn &Body) {
  wire::CloseTurnT Table;
  Table.operation = Body.Operation.Value;
  Table.view = Body.View.Value;
  Table.program = Body.Program.Value;
  Table.has_used = Body.Used.has_value();
  Table.used = Body.Used.value_or(TokenCount{}).Value;
  Table.turn = Body.Turn.Value;
  Table.kept = Body.IsKept;
  Table.has_previous = Body.Previous.has_value();
  Table.previous = turnText(Body.Previous);
  Table.input = Body.Input.text();
  Table.output = Body.Output.text();
  Table.target = Body.Target.Value;
  Table.retention_ms = Body.Retention.count();
  return Table;
}

CloseTurn fromTable(wire::CloseTurnT Table) {
  CloseTurn Body;
  Body.Operation = LedgerOperationId(Table.operation);
  Body.View = ViewVersion(Table.view);
  Body.Program = ProgramId(Table.program);
  if (Table.has_used)
    Body.Used = TokenCount{Table.used};
  Body.Turn = TurnId(Table.turn);
  Body.IsKept = Table.kept;
  Body.Previous = makeOptionalTurn(Table.has_previous, Table.previous);
  Body.Input = std::move(Table.input);
  Body.Output = std::move(Table.output);
  Body.Target = TargetId(Table.target);
  Body.Retention = Milliseconds(Table.retention_ms);
  return Body;
}

wire::HistoryQueryT toTable(const HistoryQuery &Body) {
  wire::HistoryQueryT Table;
  Table.operation = Body.Operation.Value;
  Table.end = Body.End.Value;
  Table.has_after = Body.After.has_value();
  Table.after = turnText(Body.After);
  Table.offset = Body.Offset;
  Table.bytes = Body.Bytes;
  return Table;
}

HistoryQuery fromTable(const wire::HistoryQueryT &Table) {
  return HistoryQuery{LedgerOperationId(Table.operation), TurnId(Table.end),
                      makeOptionalTurn(Table.has_after, Table.after),
                      Table.offset, Table.bytes};
}

wire::HistoryPartT toTable(const HistoryPart &Body) {
  wire::HistoryPartT Table;
  Table.operation = Body.Operation.Value;
  Table.holder = Body.Holder.Value;
  Table.has_data = Body.Data.has_value();
  Table.data = Body.Data.value_or(std::string());
  return Table;
}

HistoryPart fromTable(wire::HistoryPartT Table) {
  HistoryPart Body;
  Body.Operation = LedgerOperationId(Table.operation);
  Body.Holder = HolderId(Table.holder);
  if (Table.has_data)
    Body.Data = std::move(Table.data);
  return Body;
}

wire::TurnClosedT toTable(const TurnClosed &Body) {
  wire::TurnClosedT Table;
  Table.operation = Body.Operation.Value;
  Table.holder = Body.Holder.Value;
  return Table;
}

TurnClosed fromTable(const wire::TurnClosedT &Table) {
  return TurnClosed{LedgerOperationId(Table.operation), HolderId(Table.holder)};
}

wire::LedgerRefusedT toTable(const LedgerRefused &Body) {
  wire::LedgerRefusedT Table;
  Table.operation = Body.Operation.Value;
  Table.holder = Body.Holder.Value;
  Table.view = toWire(Body.View);
  return Table;
}

LedgerRefused fromTable(const wire::LedgerRefusedT &Table) {
  return LedgerRefused{LedgerOperationId(Table.operation),
                       HolderId(Table.holder), fromWire(Table.view)};
}

wire::ViewOfferT toTable(const ViewOffer &Body) {
  wire::ViewOfferT Table;
  Table.view = toWire(Body.View);
  return Table;
}

ViewOffer fromTable(const wire::ViewOfferT &Table) {
  return ViewOffer{fromWire(Table.view)};
}

wire::PullRecordsT toTable(const PullRecords &Body) {
  wire::PullRecordsT Table;
  Table.view = toWire(Body.View);
  Table.run = Body.Run.Value;
  Table.cursor = Body.Cursor;
  return Table;
}

PullRecords fromTable(const wire::PullRecordsT &Table) {
  return PullRecords{fromWire(Table.view), InstanceId(Table.run), Table.cursor};
}

wire::RecordsPageT toTable(const RecordsPage &Body) {
  wire::RecordsPageT Table;
  Table.view = Body.View.Value;
  Table.holder = Body.Holder.Value;
  Table.run = Body.Run.Value;
  Table.cursor = Body.Cursor;
  Table.next_cursor = Body.NextCursor;
  Table.is_last = Body.IsLast;
  Table.batches = toRows(Body.Batches);
  return Table;
}

RecordsPage fromTable(const wire::RecordsPageT &Table) {
  RecordsPage Body;
  Body.View = ViewVersion(Table.view);
  Body.Holder = HolderId(Table.holder);
  Body.Run = InstanceId(Table.run);
  Body.Cursor = Table.cursor;
  Body.NextCursor = Table.next_cursor;
  Body.IsLast = Table.is_last;
  Body.Batches = fromRows(Table.batches);
  return Body;
}

wire::TurnsQueryT toTable(const TurnsQuery &Body) {
  wire::TurnsQueryT Table;
  Table.turns = toTexts(Body.Turns);
  return Table;
}

TurnsQuery fromTable(const wire::TurnsQueryT &Table) {
  return TurnsQuery{fromTexts(Table.turns)};
}

wire::TurnsFoundT toTable(const TurnsFound &Body) {
  wire::TurnsFoundT Table;
  Table.holder = Body.Holder.Value;
  Table.batches = toRows(Body.Batches);
  Table.unknown = toTexts(Body.Unknown);
  return Table;
}

TurnsFound fromTable(const wire::TurnsFoundT &Table) {
  return TurnsFound{HolderId(Table.holder), fromRows(Table.batches),
                    fromTexts(Table.unknown)};
}

wire::DirectoryChangesT toTable(const DirectoryChanges &Body) {
  wire::DirectoryChangesT Table;
  for (const DirectoryItem &Each : Body.Items) {
    auto Row = std::make_unique<wire::DirectoryRowT>();
    Row->key = Each.Key;
    Row->value = Each.Value;
    Row->revision = Each.ModRevision.Value;
    Row->deleted = Each.IsDeleted;
    Table.items.push_back(std::move(Row));
  }
  Table.service_lost = Body.IsServiceLost;
  return Table;
}

DirectoryChanges fromTable(const wire::DirectoryChangesT &Table) {
  DirectoryChanges Body;
  for (const auto &Row : Table.items)
    Body.Items.push_back(DirectoryItem{Row->key, Row->value,
                                       Revision(Row->revision), Row->deleted});
  Body.IsServiceLost = Table.service_lost;
  return Body;
}

} // namespace tanagerlanding
