#include "tanagerlanding/wire/RecordCodec.h"

#include "Conversions.h"

namespace tanagerlanding {

std::string encodeRecord(const Record &Content) {
  flatbuffers::FlatBufferBuilder Builder;
  const std::unique_ptr<wire::RecordT> Table = toWire(Content);
  Builder.Finish(wire::CreateRecord(Builder, Table.get()));
  return std::string(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                     Builder.GetSize());
}

Result<Record, DecodeError> decodeRecord(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (!Verifier.VerifyBuffer<wire::Record>(nullptr))
    return DecodeError{DecodeError::Kind::Malformed};
  const std::unique_ptr<wire::RecordT> Table(
      flatbuffers::GetRoot<wire::Record>(Data)->UnPack());
  Record Content;
  if (!fromWire(*Table, Content))
    return DecodeError{DecodeError::Kind::UnknownType};
  return Content;
}

} // namespace tanagerlanding
