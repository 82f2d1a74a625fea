#include "tanagerlanding/wire/MessageCodec.h"

#include "tanagerlanding/wire/FrameReader.h"

#include "Conversions.h"
#include "LedgerConversions.h"
#include "LimitConversions.h"
#include "LoadConversions.h"
#include "StartConversions.h"

namespace tanagerlanding {

namespace {

// The overloads in this anonymous namespace would otherwise hide those of
// LedgerConversions.h.
using tanagerlanding::fromTable;

wire::HelloT toTable(const Hello &Body) {
  wire::HelloT Table;
  Table.host = Body.Host.Value;
  Table.instance = Body.Instance.Value;
  Table.has_holder = Body.Holder.has_value();
  Table.holder = Body.Holder ? Body.Holder->Value : std::string();
  Table.version = Body.Version.Value;
  return Table;
}

Hello fromTable(const wire::HelloT &Table) {
  Hello Body;
  Body.Host = HostId(Table.host);
  Body.Instance = InstanceId(Table.instance);
  if (Table.has_holder)
    Body.Holder = HolderId(Table.holder);
  Body.Version = ConfigVersion(Table.version);
  return Body;
}

wire::HeartbeatT toTable(const Heartbeat &Body) {
  wire::HeartbeatT Table;
  Table.version = Body.Version.Value;
  Table.has_sent_at = Body.SentAt.has_value();
  Table.sent_at_ms = Body.SentAt.value_or(Instant()).SinceStart.count();
  return Table;
}

Heartbeat fromTable(const wire::HeartbeatT &Table) {
  Heartbeat Body;
  Body.Version = ConfigVersion(Table.version);
  if (Table.has_sent_at && Table.sent_at_ms >= 0)
    Body.SentAt = Instant{Milliseconds(Table.sent_at_ms)};
  return Body;
}

wire::ConfigurationVouchT toTable(const ConfigurationVouch &Body) {
  wire::ConfigurationVouchT Table;
  Table.key_revision = Body.KeyRevision.Value;
  Table.sent_at_ms = Body.SentAt.SinceStart.count();
  return Table;
}

ConfigurationVouch fromTable(const wire::ConfigurationVouchT &Table) {
  return ConfigurationVouch{Revision(Table.key_revision),
                            Instant{Milliseconds(Table.sent_at_ms)}};
}

wire::ConfigOfferT toTable(const ConfigOffer &Body) {
  wire::ConfigOfferT Table;
  Table.version = Body.Version.Value;
  Table.document = Body.Document;
  return Table;
}

ConfigOffer fromTable(const wire::ConfigOfferT &Table) {
  return ConfigOffer{ConfigVersion(Table.version), Table.document};
}

wire::LeavingNoticeT toTable(const LeavingNotice &) { return {}; }

LeavingNotice fromTable(const wire::LeavingNoticeT &) { return {}; }

wire::ForwardCallT toTable(const ForwardCall &Body) {
  wire::ForwardCallT Table;
  Table.request = Body.Request.Value;
  Table.epoch = Body.ExpectedEpoch.Value;
  Table.asked = toWire(Body.RequestedCall);
  return Table;
}

ForwardCall fromTable(const wire::ForwardCallT &Table) {
  return ForwardCall{RequestId(Table.request), Epoch(Table.epoch),
                     fromWire(Table.asked)};
}

wire::ForwardCancelledT toTable(const ForwardCancelled &Body) {
  wire::ForwardCancelledT Table;
  Table.request = Body.Request.Value;
  return Table;
}

ForwardCancelled fromTable(const wire::ForwardCancelledT &Table) {
  return ForwardCancelled{RequestId(Table.request)};
}

wire::ForwardChunkT toTable(const ForwardChunk &Body) {
  wire::ForwardChunkT Table;
  Table.request = Body.Request.Value;
  Table.bytes = Body.Bytes;
  return Table;
}

ForwardChunk fromTable(const wire::ForwardChunkT &Table) {
  return ForwardChunk{RequestId(Table.request), Table.bytes};
}

wire::ForwardAnsweredT toTable(const ForwardAnswered &Body) {
  wire::ForwardAnsweredT Table;
  Table.request = Body.Request.Value;
  Table.answer = toWire(Body.Answer);
  return Table;
}

ForwardAnswered fromTable(const wire::ForwardAnsweredT &Table) {
  return ForwardAnswered{RequestId(Table.request), fromWire(Table.answer)};
}

std::vector<std::unique_ptr<wire::RecordT>>
toTables(const std::vector<Record> &Records) {
  std::vector<std::unique_ptr<wire::RecordT>> Tables;
  Tables.reserve(Records.size());
  for (const Record &Content : Records)
    Tables.push_back(toWire(Content));
  return Tables;
}

std::vector<Record>
fromTables(const std::vector<std::unique_ptr<wire::RecordT>> &Tables) {
  std::vector<Record> Records;
  Records.reserve(Tables.size());
  for (const auto &Table : Tables) {
    Record Content;
    if (fromWire(*Table, Content))
      Records.push_back(std::move(Content));
  }
  return Records;
}

wire::AppendRecordsT toTable(const AppendRecords &Body) {
  wire::AppendRecordsT Table;
  Table.shard = Body.Shard.Value;
  Table.epoch = Body.OwnerEpoch.Value;
  Table.first_index = Body.FirstIndex;
  Table.records = toTables(Body.Records);
  return Table;
}

AppendRecords fromTable(const wire::AppendRecordsT &Table) {
  return AppendRecords{ShardId(Table.shard), Epoch(Table.epoch),
                       Table.first_index, fromTables(Table.records)};
}

wire::RecordsPersistedT toTable(const RecordsPersisted &Body) {
  wire::RecordsPersistedT Table;
  Table.shard = Body.Shard.Value;
  Table.epoch = Body.OwnerEpoch.Value;
  Table.holder = Body.Holder.Value;
  Table.index = Body.Index;
  return Table;
}

RecordsPersisted fromTable(const wire::RecordsPersistedT &Table) {
  return RecordsPersisted{ShardId(Table.shard), Epoch(Table.epoch),
                          HolderId(Table.holder), Table.index};
}

wire::AppendRejectedT toTable(const AppendRejected &Body) {
  wire::AppendRejectedT Table;
  Table.shard = Body.Shard.Value;
  Table.epoch = Body.OwnerEpoch.Value;
  Table.highest = Body.HighestEpoch.Value;
  Table.holder = Body.Holder.Value;
  return Table;
}

AppendRejected fromTable(const wire::AppendRejectedT &Table) {
  return AppendRejected{ShardId(Table.shard), Epoch(Table.epoch),
                        Epoch(Table.highest), HolderId(Table.holder)};
}

wire::SealLogT toTable(const SealLog &Body) {
  wire::SealLogT Table;
  Table.shard = Body.Shard.Value;
  Table.source_epoch = Body.SourceEpoch.Value;
  Table.new_epoch = Body.NewEpoch.Value;
  return Table;
}

SealLog fromTable(const wire::SealLogT &Table) {
  return SealLog{ShardId(Table.shard), Epoch(Table.source_epoch),
                 Epoch(Table.new_epoch)};
}

wire::LogSealedT toTable(const LogSealed &Body) {
  wire::LogSealedT Table;
  Table.shard = Body.Shard.Value;
  Table.source_epoch = Body.SourceEpoch.Value;
  Table.new_epoch = Body.NewEpoch.Value;
  Table.holder = Body.Holder.Value;
  Table.known = Body.IsKnown;
  Table.part = Body.Part;
  Table.is_last = Body.IsLast;
  Table.records = toTables(Body.Records);
  return Table;
}

LogSealed fromTable(const wire::LogSealedT &Table) {
  return LogSealed{ShardId(Table.shard),
                   Epoch(Table.source_epoch),
                   Epoch(Table.new_epoch),
                   HolderId(Table.holder),
                   Table.known,
                   Table.part,
                   Table.is_last,
                   fromTables(Table.records)};
}

wire::ReleaseLogT toTable(const ReleaseLog &Body) {
  wire::ReleaseLogT Table;
  Table.shard = Body.Shard.Value;
  Table.below_epoch = Body.BelowEpoch.Value;
  return Table;
}

ReleaseLog fromTable(const wire::ReleaseLogT &Table) {
  return ReleaseLog{ShardId(Table.shard), Epoch(Table.below_epoch)};
}

wire::SuspectNoticeT toTable(const SuspectNotice &Body) {
  wire::SuspectNoticeT Table;
  Table.content = Body.Content.Value;
  Table.crashes = Body.CrashCount;
  for (const SuspectNotice::Crash &Each : Body.Crashes) {
    auto Row = std::make_unique<wire::CrashRowT>();
    Row->target = Each.Run.Target.Value;
    Row->started_at_ms = Each.Run.StartedAtMillis;
    Row->exposure = static_cast<std::uint8_t>(Each.Exposure);
    Row->age_ms = Each.Age.count();
    Table.evidence.push_back(std::move(Row));
  }
  Table.has_cleared = Body.ClearedAge.has_value();
  Table.cleared_age_ms = Body.ClearedAge.value_or(Milliseconds(0)).count();
  return Table;
}

SuspectNotice fromTable(const wire::SuspectNoticeT &Table) {
  SuspectNotice Body;
  Body.Content = Fingerprint(Table.content);
  Body.CrashCount = Table.crashes;
  for (const auto &Row : Table.evidence) {
    // An unknown exposure counts as the one that proves least.
    const bool IsKnown =
        Row->exposure <= static_cast<std::uint8_t>(CrashExposure::AfterOutput);
    Body.Crashes.push_back(SuspectNotice::Crash{
        TargetRun{TargetId(Row->target), Row->started_at_ms},
        IsKnown ? static_cast<CrashExposure>(Row->exposure)
                : CrashExposure::AfterOutput,
        Milliseconds(Row->age_ms)});
  }
  if (Table.has_cleared)
    Body.ClearedAge = Milliseconds(Table.cleared_age_ms);
  return Body;
}

wire::SuspectListT toTable(const SuspectList &Body) {
  wire::SuspectListT Table;
  Table.written_at_ms = Body.WrittenAtMillis;
  for (const SuspectNotice &Each : Body.Notices)
    Table.notices.push_back(
        std::make_unique<wire::SuspectNoticeT>(toTable(Each)));
  return Table;
}

SuspectList fromTable(const wire::SuspectListT &Table) {
  SuspectList Body;
  Body.WrittenAtMillis = Table.written_at_ms;
  for (const auto &Each : Table.notices)
    Body.Notices.push_back(fromTable(*Each));
  return Body;
}

wire::DispatchAttemptT toTable(const DispatchAttempt &Body) {
  wire::DispatchAttemptT Table;
  Table.attempt = toWire(Body.Attempt);
  Table.program = Body.Program.Value;
  Table.agent = Body.Agent.Value;
  Table.kind = static_cast<std::uint8_t>(Body.Kind);
  Table.idempotent = Body.IsIdempotent;
  Table.stream = Body.IsStreaming;
  Table.isolated = Body.IsIsolated;
  Table.method = Body.Method;
  Table.path = Body.Path;
  Table.body = Body.Body;
  Table.max_tokens = Body.MaxTokens.Value;
  Table.attained = Body.Attained.Value;
  Table.deadline_ms = Body.Deadline.count();
  Table.trace_parent = Body.TraceParent;
  return Table;
}

DispatchAttempt fromTable(const wire::DispatchAttemptT &Table) {
  DispatchAttempt Body;
  Body.Attempt = fromWire(Table.attempt);
  Body.Program = ProgramId(Table.program);
  Body.Agent = AgentId(Table.agent);
  Body.Kind = static_cast<CallKind>(Table.kind);
  Body.IsIdempotent = Table.idempotent;
  Body.IsStreaming = Table.stream;
  Body.IsIsolated = Table.isolated;
  Body.Method = Table.method;
  Body.Path = Table.path;
  Body.Body = Table.body;
  Body.MaxTokens = TokenCount{Table.max_tokens};
  Body.Attained = TokenCount{Table.attained};
  Body.Deadline = Milliseconds(Table.deadline_ms);
  Body.TraceParent = Table.trace_parent;
  return Body;
}

wire::AttemptRefusedT toTable(const AttemptRefused &Body) {
  wire::AttemptRefusedT Table;
  Table.attempt = toWire(Body.Attempt);
  Table.reason = static_cast<std::uint8_t>(Body.Reason);
  Table.retry_after_ms = Body.RetryAfter.count();
  return Table;
}

AttemptRefused fromTable(const wire::AttemptRefusedT &Table) {
  return AttemptRefused{fromWire(Table.attempt),
                        static_cast<CallError>(Table.reason),
                        Milliseconds(Table.retry_after_ms)};
}

wire::AttemptChunkT toTable(const AttemptChunk &Body) {
  wire::AttemptChunkT Table;
  Table.attempt = toWire(Body.Attempt);
  Table.bytes = Body.Bytes;
  return Table;
}

AttemptChunk fromTable(const wire::AttemptChunkT &Table) {
  return AttemptChunk{fromWire(Table.attempt), Table.bytes};
}

wire::AttemptFinishedT toTable(const AttemptFinished &Body) {
  wire::AttemptFinishedT Table;
  Table.attempt = toWire(Body.Attempt);
  Table.ran = static_cast<std::uint8_t>(Body.ExecutionStatus);
  Table.status = Body.Answer.Status;
  Table.content_type = Body.Answer.ContentType;
  Table.body = Body.Answer.Body;
  Table.generated = Body.Generated.Value;
  Table.history_message = Body.HistoryMessage;
  Table.crashed = Body.HasTargetCrashed;
  return Table;
}

AttemptFinished fromTable(const wire::AttemptFinishedT &Table) {
  return AttemptFinished{
      fromWire(Table.attempt),
      static_cast<Execution>(Table.ran),
      TargetAnswer{Table.status, Table.content_type, Table.body},
      TokenCount{Table.generated},
      Table.history_message,
      Table.crashed};
}

wire::QueryAttemptT toTable(const QueryAttempt &Body) {
  wire::QueryAttemptT Table;
  Table.attempt = toWire(Body.Attempt);
  Table.asking_epoch = Body.AskingEpoch.Value;
  return Table;
}

QueryAttempt fromTable(const wire::QueryAttemptT &Table) {
  return QueryAttempt{fromWire(Table.attempt), Epoch(Table.asking_epoch)};
}

wire::AttemptRunningT toTable(const AttemptRunning &Body) {
  wire::AttemptRunningT Table;
  Table.attempt = toWire(Body.Attempt);
  return Table;
}

AttemptRunning fromTable(const wire::AttemptRunningT &Table) {
  return AttemptRunning{fromWire(Table.attempt)};
}

wire::ForgetAttemptT toTable(const ForgetAttempt &Body) {
  wire::ForgetAttemptT Table;
  Table.attempt = toWire(Body.Attempt);
  return Table;
}

ForgetAttempt fromTable(const wire::ForgetAttemptT &Table) {
  return ForgetAttempt{fromWire(Table.attempt)};
}

wire::CancelAttemptT toTable(const CancelAttempt &Body) {
  wire::CancelAttemptT Table;
  Table.attempt = toWire(Body.Attempt);
  return Table;
}

CancelAttempt fromTable(const wire::CancelAttemptT &Table) {
  return CancelAttempt{fromWire(Table.attempt)};
}

wire::KeepPrefixesT toTable(const KeepPrefixes &Body) {
  wire::KeepPrefixesT Table;
  Table.prefixes = Body.Prefixes;
  return Table;
}

KeepPrefixes fromTable(const wire::KeepPrefixesT &Table) {
  return KeepPrefixes{Table.prefixes};
}

wire::ReleasePrefixesT toTable(const ReleasePrefixes &Body) {
  wire::ReleasePrefixesT Table;
  Table.prefixes = Body.Prefixes;
  return Table;
}

ReleasePrefixes fromTable(const wire::ReleasePrefixesT &Table) {
  return ReleasePrefixes{Table.prefixes};
}

wire::LoadReportT toTable(const LoadReport &Body) {
  wire::LoadReportT Table;
  Table.running = Body.Running;
  Table.queued = Body.Queued;
  Table.capacity = Body.Capacity;
  Table.healthy = Body.IsHealthy;
  Table.leaving = Body.IsLeaving;
  Table.version = Body.Version.Value;
  return Table;
}

LoadReport fromTable(const wire::LoadReportT &Table) {
  return LoadReport{Table.running, Table.queued,  Table.capacity,
                    Table.healthy, Table.leaving, ConfigVersion(Table.version)};
}

/// Returns the message in a frame's body, or nothing if its type is unknown.
std::optional<Message> messageFromBody(wire::BodyUnion &Body) {
  // The verifier accepts a body that has a type but is absent.
  if (!Body.value)
    return std::nullopt;
  switch (Body.type) {
  case wire::Body::NONE:
    return std::nullopt;
  case wire::Body::Hello:
    return fromTable(*Body.AsHello());
  case wire::Body::Heartbeat:
    return fromTable(*Body.AsHeartbeat());
  case wire::Body::ConfigOffer:
    return fromTable(*Body.AsConfigOffer());
  case wire::Body::LeavingNotice:
    return fromTable(*Body.AsLeavingNotice());
  case wire::Body::ForwardCall:
    return fromTable(*Body.AsForwardCall());
  case wire::Body::ForwardCancelled:
    return fromTable(*Body.AsForwardCancelled());
  case wire::Body::ForwardChunk:
    return fromTable(*Body.AsForwardChunk());
  case wire::Body::ForwardAnswered:
    return fromTable(*Body.AsForwardAnswered());
  case wire::Body::AppendRecords:
    return fromTable(*Body.AsAppendRecords());
  case wire::Body::RecordsPersisted:
    return fromTable(*Body.AsRecordsPersisted());
  case wire::Body::AppendRejected:
    return fromTable(*Body.AsAppendRejected());
  case wire::Body::SealLog:
    return fromTable(*Body.AsSealLog());
  case wire::Body::LogSealed:
    return fromTable(*Body.AsLogSealed());
  case wire::Body::ReleaseLog:
    return fromTable(*Body.AsReleaseLog());
  case wire::Body::SuspectNotice:
    return fromTable(*Body.AsSuspectNotice());
  case wire::Body::DispatchAttempt:
    return fromTable(*Body.AsDispatchAttempt());
  case wire::Body::AttemptRefused:
    return fromTable(*Body.AsAttemptRefused());
  case wire::Body::AttemptChunk:
    return fromTable(*Body.AsAttemptChunk());
  case wire::Body::AttemptFinished:
    return fromTable(*Body.AsAttemptFinished());
  case wire::Body::QueryAttempt:
    return fromTable(*Body.AsQueryAttempt());
  case wire::Body::AttemptRunning:
    return fromTable(*Body.AsAttemptRunning());
  case wire::Body::ForgetAttempt:
    return fromTable(*Body.AsForgetAttempt());
  case wire::Body::CancelAttempt:
    return fromTable(*Body.AsCancelAttempt());
  case wire::Body::KeepPrefixes:
    return fromTable(*Body.AsKeepPrefixes());
  case wire::Body::ReleasePrefixes:
    return fromTable(*Body.AsReleasePrefixes());
  case wire::Body::LoadReport:
    return fromTable(*Body.AsLoadReport());
  case wire::Body::LedgerBatch:
    return fromTable(*Body.AsLedgerBatch());
  case wire::Body::OpenTurn:
    return fromTable(*Body.AsOpenTurn());
  case wire::Body::TurnOpened:
    return fromTable(*Body.AsTurnOpened());
  case wire::Body::CloseTurn:
    return fromTable(std::move(*Body.AsCloseTurn()));
  case wire::Body::HistoryQuery:
    return fromTable(*Body.AsHistoryQuery());
  case wire::Body::HistoryPart:
    return fromTable(std::move(*Body.AsHistoryPart()));
  case wire::Body::TurnClosed:
    return fromTable(*Body.AsTurnClosed());
  case wire::Body::LedgerRefused:
    return fromTable(*Body.AsLedgerRefused());
  case wire::Body::ViewOffer:
    return fromTable(*Body.AsViewOffer());
  case wire::Body::PullRecords:
    return fromTable(*Body.AsPullRecords());
  case wire::Body::RecordsPage:
    return fromTable(*Body.AsRecordsPage());
  case wire::Body::TurnsQuery:
    return fromTable(*Body.AsTurnsQuery());
  case wire::Body::TurnsFound:
    return fromTable(*Body.AsTurnsFound());
  case wire::Body::DirectoryChanges:
    return fromTable(*Body.AsDirectoryChanges());
  case wire::Body::SuspectList:
    return fromTable(*Body.AsSuspectList());
  case wire::Body::StreamStarted:
    return fromTable(*Body.AsStreamStarted());
  case wire::Body::TargetLimitNotice:
    return fromTable(*Body.AsTargetLimitNotice());
  case wire::Body::TargetLimitQuery:
    return fromTable(*Body.AsTargetLimitQuery());
  case wire::Body::PermitRequest:
    return fromTable(*Body.AsPermitRequest());
  case wire::Body::PermitGrant:
    return fromTable(*Body.AsPermitGrant());
  case wire::Body::ConfigurationVouch:
    return fromTable(*Body.AsConfigurationVouch());
  case wire::Body::TargetLoadReport:
    return fromTable(*Body.AsTargetLoadReport());
  case wire::Body::TargetLoadView:
    return fromTable(*Body.AsTargetLoadView());
  case wire::Body::ProgramStartRequest:
    return fromTable(*Body.AsProgramStartRequest());
  case wire::Body::ProgramStartGrant:
    return fromTable(*Body.AsProgramStartGrant());
  case wire::Body::StreamOutputs:
    return fromTable(*Body.AsStreamOutputs());
  case wire::Body::ContinuationFailed:
    return fromTable(*Body.AsContinuationFailed());
  }
  return std::nullopt;
}

/// Returns about as many bytes as a message takes when it is encoded, so that
/// the buffer of one with a long text need not grow.
class SizeEstimate {
public:
  std::size_t operator()(const CloseTurn &Body) const {
    return OtherBytes + Body.Input.size() + Body.Output.size();
  }
  std::size_t operator()(const HistoryPart &Body) const {
    return OtherBytes + (Body.Data ? Body.Data->size() : 0);
  }
  std::size_t operator()(const LedgerBatch &Body) const {
    return OtherBytes + Body.textBytes();
  }
  template <typename Other> std::size_t operator()(const Other &) const {
    return OtherBytes;
  }

private:
  static constexpr std::size_t OtherBytes = 1024;
};

std::size_t expectedBytes(const Message &Body) {
  return std::visit(SizeEstimate(), Body);
}

void fillBuilder(flatbuffers::FlatBufferBuilder &Builder, const Message &Body) {
  wire::FrameT Frame;
  std::visit([&](const auto &Each) { Frame.body.Set(toTable(Each)); }, Body);
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
}

std::string_view textOf(const flatbuffers::FlatBufferBuilder &Builder) {
  return {reinterpret_cast<const char *>(Builder.GetBufferPointer()),
          Builder.GetSize()};
}

} // namespace

std::string encodeMessage(const Message &Body) {
  flatbuffers::FlatBufferBuilder Builder(expectedBytes(Body));
  fillBuilder(Builder, Body);
  return std::string(textOf(Builder));
}

std::string encodeFrame(const Message &Body) {
  flatbuffers::FlatBufferBuilder Builder(expectedBytes(Body));
  fillBuilder(Builder, Body);
  return makeFrame(textOf(Builder));
}

Result<Message, DecodeError> decodeMessage(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (!wire::VerifyFrameBuffer(Verifier))
    return DecodeError{DecodeError::Kind::Malformed};
  const std::unique_ptr<wire::FrameT> Frame(wire::GetFrame(Data)->UnPack());
  std::optional<Message> Body = messageFromBody(Frame->body);
  if (!Body)
    return DecodeError{DecodeError::Kind::UnknownType};
  return std::move(*Body);
}

} // namespace tanagerlanding
