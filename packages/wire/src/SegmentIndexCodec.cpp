#include "tanagerlanding/wire/SegmentIndexCodec.h"

#include "LedgerConversions.h"

namespace tanagerlanding {

namespace {

/// Limits of the verifier on nesting depth and number of tables; a segment has
/// far fewer batches.
constexpr std::uint32_t MaxDepth = 16;
constexpr std::uint32_t MaxTables = 10 * 1000 * 1000;

std::string readText(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

std::optional<LedgerRecord> readRecord(const wire::LedgerRecordRow &Row) {
  if (const auto *Turn = Row.body_as_RecordTurn()) {
    TurnRecord Kept;
    Kept.Turn = TurnId(readText(Turn->turn()));
    if (Turn->has_previous())
      Kept.Previous = TurnId(readText(Turn->previous()));
    Kept.Target = TargetId(readText(Turn->target()));
    Kept.OmittedBytes = Turn->omitted_bytes();
    return Kept;
  }
  const auto *Claim = Row.body_as_RecordClaim();
  if (!Claim || !Claim->claim())
    return std::nullopt;
  const wire::ClaimRow &Claimed = *Claim->claim();
  return TokenClaimRecord{ProgramId(readText(Claim->program())),
                          TokenClaim{Fingerprint(Claimed.turn()),
                                     TokenCount{Claimed.tokens()},
                                     Claimed.settled()}};
}

LedgerBatch readBatch(const wire::LedgerBatch &Table) {
  LedgerBatch Batch;
  Batch.WrittenAtMillis = Table.written_at_ms();
  Batch.Retention = Milliseconds(Table.retention_ms());
  if (!Table.records())
    return Batch;
  Batch.Records.reserve(Table.records()->size());
  for (const wire::LedgerRecordRow *Row : *Table.records()) {
    if (auto Record = readRecord(*Row))
      Batch.Records.push_back(std::move(*Record));
  }
  return Batch;
}

} // namespace

std::string encodeSegmentIndex(const SegmentIndex &Index) {
  flatbuffers::FlatBufferBuilder Builder;
  std::vector<flatbuffers::Offset<wire::IndexedBatchRow>> Rows;
  Rows.reserve(Index.Batches.size());
  for (const IndexedBatch &Each : Index.Batches) {
    const wire::LedgerBatchT Table = toTable(Each.Batch);
    const auto Batch = wire::CreateLedgerBatch(Builder, &Table);
    Rows.push_back(wire::CreateIndexedBatchRow(Builder, Each.Place.Offset,
                                               Each.Place.Length, Batch));
  }
  Builder.Finish(wire::CreateSegmentIndexDirect(
      Builder, Index.Identity.Bytes, Index.Identity.FirstPayload.Value, &Rows,
      /*states_text_bytes=*/true));
  return std::string(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                     Builder.GetSize());
}

bool decodeSegmentIndex(std::string_view Bytes, std::uint64_t Segment,
                        const SegmentIdentity &Identity,
                        const std::function<void(IndexedBatch)> &Visit) {
  const auto *Start = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Start, Bytes.size(), MaxDepth, MaxTables);
  if (!Verifier.VerifyBuffer<wire::SegmentIndex>(nullptr))
    return false;
  const auto *Index = flatbuffers::GetRoot<wire::SegmentIndex>(Start);
  const SegmentIdentity Present{Index->segment_bytes(),
                                Fingerprint(Index->first_payload())};
  // Without the size of its turns, a segment is read as a whole.
  if (!Index->batches() || !Index->states_text_bytes() ||
      !(Present == Identity))
    return false;
  for (const wire::IndexedBatchRow *Row : *Index->batches()) {
    if (!Row->batch())
      continue;
    Visit(IndexedBatch{BatchLocation{Segment, Row->offset(), Row->length()},
                       readBatch(*Row->batch())});
  }
  return true;
}

} // namespace tanagerlanding
