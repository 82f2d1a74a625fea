#include "tanagerlanding/ledger/HistoryReader.h"

#include <utility>

namespace tanagerlanding {

Result<std::string, SystemError>
HistoryReader::read(const std::vector<TurnPiece> &Pieces) {
  std::string Data;
  for (const TurnPiece &Each : Pieces) {
    if (auto Opened = this->open(Each); !Opened)
      return Opened.error();
    this->append(Each, Data);
  }
  return Data;
}

Result<void, SystemError> HistoryReader::open(const TurnPiece &Piece) {
  this->IsUsed = true;
  if (!this->Kept || !(this->Kept->Turn == Piece.Turn)) {
    // Before the next one is read, so that only one is held.
    this->Kept.reset();
    auto Turn = this->Folder.readTurn(Piece.Turn, Piece.Place);
    if (!Turn)
      return Turn.error();
    this->Kept = std::move(Turn.value());
  }
  if (this->Kept->textBytes() < Piece.Offset + Piece.Bytes)
    return SystemError{"turn shorter than its index entry", 0};
  return success();
}

void HistoryReader::append(const TurnPiece &Piece, std::string &Data) const {
  const std::string &Input = this->Kept->Input.text();
  const std::string &Output = this->Kept->Output.text();
  const std::uint64_t End = Piece.Offset + Piece.Bytes;
  if (Piece.Offset < Input.size())
    Data.append(Input, Piece.Offset, Piece.Bytes);
  if (Input.size() < End) {
    const std::uint64_t From =
        Piece.Offset < Input.size() ? 0 : Piece.Offset - Input.size();
    Data.append(Output, From, End - Input.size() - From);
  }
}

void HistoryReader::releaseUnused() {
  if (!std::exchange(this->IsUsed, false))
    this->Kept.reset();
}

} // namespace tanagerlanding
