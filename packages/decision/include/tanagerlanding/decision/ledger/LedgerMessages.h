/// \file
/// The messages between relays and replicas of the ledger, and the records
/// that replicas keep.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERMESSAGES_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERMESSAGES_H

#include "tanagerlanding/decision/ledger/LedgerView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Tokens of a program's budget that one turn has set aside or used.
struct TokenClaim {
  /// The turn, as the hash of its id.
  Fingerprint Turn;
  TokenCount Tokens;
  /// Whether the turn is over and Tokens is what it used; before that, Tokens
  /// is the most that it may use.
  bool IsSettled = false;
};

/// Returns a turn's name in claims.
Fingerprint fingerprintOf(const TurnId &Turn);

/// A turn whose answer is complete.
struct TurnKept {
  TurnId Turn;
  std::optional<TurnId> Previous;
  std::string Input;
  /// The data of the turn's events, each followed by a line feed.
  std::string Output;
  /// Where it ran, which is where its prompt is cached.
  TargetId Target;
};

/// A claim on a program's budget.
struct TokensClaimed {
  ProgramId Program;
  TokenClaim Claim;
};

using LedgerRecord = std::variant<TurnKept, TokensClaimed>;

/// Records that become durable together.
struct LedgerBatch {
  /// Wall-clock time of the write, in milliseconds since the Unix epoch. Only
  /// tells how old the batch is when it is read after a restart.
  std::int64_t WrittenAtMillis = 0;
  /// How long the records are kept after their last use.
  Milliseconds Retention{0};
  std::vector<LedgerRecord> Records;
};

/// Asks for what a turn needs before it may run.
struct OpenTurn {
  LedgerOperationId Operation;
  ViewVersion View;
  TurnId Turn;
  ProgramId Program;
  /// Tokens to set aside; absent where only the claims are to be read.
  std::optional<TokenCount> Claimed;
  std::optional<TurnId> Previous;
  /// Whether the receiver is to send the history that ends with Previous.
  bool WantsHistory = false;
  Milliseconds Retention{0};
};

/// Answers OpenTurn, once the claim is durable.
struct TurnOpened {
  LedgerOperationId Operation;
  HolderId Holder;
  bool KnowsPrevious = false;
  /// Where the previous turn ran; empty where that isn't known.
  TargetId PreviousTarget;
  /// The inputs and outputs of the chain that ends with the previous turn, as
  /// far back as the replica knows it.
  std::optional<std::string> History;
  /// The turn at which History ends on its older side because the replica
  /// does not have it; absent where History is whole.
  std::optional<TurnId> MissingTurn;
  /// All claims of the program that the replica knows.
  std::vector<TokenClaim> Claims;
};

/// Ends a turn: settles its claim, and keeps it where its answer is whole.
struct CloseTurn {
  LedgerOperationId Operation;
  ViewVersion View;
  ProgramId Program;
  /// Tokens that were handed out; absent where nothing was claimed.
  std::optional<TokenCount> Used;
  TurnId Turn;
  /// Whether the turn is kept; Previous, Input and Output are set only then.
  bool IsKept = false;
  std::optional<TurnId> Previous;
  std::string Input;
  std::string Output;
  TargetId Target;
  Milliseconds Retention{0};
};

/// Answers CloseTurn, once its records are durable.
struct TurnClosed {
  LedgerOperationId Operation;
  HolderId Holder;
};

/// The operation was not carried out: the sender's view is out of date, or the
/// replica can't write. View is the replica's own.
struct LedgerRefused {
  LedgerOperationId Operation;
  HolderId Holder;
  LedgerView View;
};

/// Tells a view to one that may not know it.
struct ViewOffer {
  LedgerView View;
};

/// Asks a replica of View.Current for its records from position Cursor on.
struct PullRecords {
  LedgerView View;
  std::uint64_t Cursor = 0;
};

/// Answers PullRecords.
struct RecordsPage {
  ViewVersion View;
  HolderId Holder;
  std::uint64_t NextCursor = 0;
  /// Whether everything written under earlier views has been sent.
  bool IsLast = false;
  std::vector<LedgerBatch> Batches;
};

/// A key of the key-value service as some process last saw it.
struct DirectoryItem {
  std::string Key;
  std::string Value;
  Revision At;
  bool IsDeleted = false;
};

/// Tells what has changed in the key-value service, so that a process learns
/// of it that can't reach the service, or whose own watch has missed it.
struct DirectoryChanges {
  std::vector<DirectoryItem> Items;
  /// Whether the sender does not reach the service now. A receiver whose watch
  /// waits may not have noticed.
  bool IsServiceLost = false;
};

} // namespace tanagerlanding

#endif
