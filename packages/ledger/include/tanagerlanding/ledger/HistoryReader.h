/// \file
/// Reads parts of histories from a replica's data folder.
#ifndef TANAGERLANDING_LEDGER_HISTORYREADER_H
#define TANAGERLANDING_LEDGER_HISTORYREADER_H

#include "tanagerlanding/decision.h"
#include "tanagerlanding/ledger/LedgerFolder.h"

#include <optional>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Reads pieces of turns. Keeps the turn that was read last, whose next piece
/// is usually wanted next.
class HistoryReader {
public:
  explicit HistoryReader(const LedgerFolder &Folder) : Folder(Folder) {}

  /// Returns the pieces, joined. Fails if a turn can't be read or is shorter
  /// than its piece.
  Result<std::string, SystemError> read(const std::vector<TurnPiece> &Pieces);

  /// Forgets the turn that is kept if it was not read since the last call.
  void releaseUnused();

private:
  Result<void, SystemError> open(const TurnPiece &Piece);
  /// Appends part of a turn's text, which is input and output in one, to Data.
  void append(const TurnPiece &Piece, std::string &Data) const;

  const LedgerFolder &Folder;
  std::optional<TurnRecord> Kept;
  bool IsUsed = false;
};

} // namespace tanagerlanding

#endif
