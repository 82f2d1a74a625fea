/// \file
/// The messages between relays and ledger replicas, and the records that
/// replicas store.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERMESSAGES_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERMESSAGES_H

#include "tanagerlanding/decision/ledger/LedgerView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Tokens of a program's budget that one turn has reserved or used.
struct TokenClaim {
  /// Hash of the turn's id.
  Fingerprint Turn;
  TokenCount Tokens;
  /// Whether the turn has ended and Tokens is the number that it used; until
  /// then, Tokens is the upper limit that is reserved for it.
  bool IsSettled = false;
};

/// Returns the hash that identifies a turn in claims.
Fingerprint fingerprintOf(const TurnId &Turn);

/// Record of a turn whose answer is complete.
struct TurnRecord {
  TurnId Turn;
  std::optional<TurnId> Previous;
  SharedText Input;
  /// The data of the turn's events, each followed by a line feed.
  SharedText Output;
  /// The target that ran the turn and has its prompt cached.
  TargetId Target;
  /// The size of Input and Output if they were left out, as in the index of a
  /// segment.
  std::uint64_t OmittedBytes = 0;

  /// The bytes of the turn in the history of the turns that continue it.
  std::uint64_t textBytes() const {
    return this->Input.size() + this->Output.size() + this->OmittedBytes;
  }
};

/// Record of a claim on a program's budget.
struct TokenClaimRecord {
  ProgramId Program;
  TokenClaim Claim;
};

using LedgerRecord = std::variant<TurnRecord, TokenClaimRecord>;

/// Records that are written and become durable together.
struct LedgerBatch {
  /// Wall-clock time of the write, in milliseconds since the Unix epoch. Used
  /// only to compute the age of the batch when it is read after a restart.
  std::int64_t WrittenAtMillis = 0;
  /// How long the records are kept after their last use.
  Milliseconds Retention{0};
  std::vector<LedgerRecord> Records;

  /// The bytes of all turns' inputs and outputs.
  std::uint64_t textBytes() const {
    std::uint64_t Sum = 0;
    for (const LedgerRecord &Each : this->Records) {
      if (const auto *Kept = std::get_if<TurnRecord>(&Each))
        Sum += Kept->textBytes();
    }
    return Sum;
  }
};

/// The service and the software version whose target sent a stream's first
/// event. The stream may continue only there.
struct StreamOrigin {
  ServiceName Service;
  SoftwareVersion Version;

  bool operator==(const StreamOrigin &Other) const {
    return this->Service == Other.Service && this->Version == Other.Version;
  }
};

/// Records the origin of a stream before its first event is sent to the caller.
/// Messages about one attempt that differ make its origin unknown.
struct StreamStarted {
  CallerAttemptId Attempt;
  /// Identifies what was requested, for callers that do not name the attempt.
  Fingerprint Content;
  StreamOrigin Origin;
  /// How long the caller may still continue the stream.
  Milliseconds Retention{0};
};

/// The size that the output of a stream has at the end of an event.
struct OutputMark {
  std::uint64_t EventId = 0;
  std::uint64_t Bytes = 0;

  bool operator==(const OutputMark &Other) const {
    return this->EventId == Other.EventId && this->Bytes == Other.Bytes;
  }
};

/// Part of the output that the caller of a stream gets from one attempt. The
/// output of an attempt that continues a stream begins with what the caller has
/// from the attempts before.
struct StreamOutput {
  /// Hash of the attempt that began the stream.
  Fingerprint Stream;
  /// Identifies the turn that the stream answers, whichever attempt it has.
  Fingerprint TurnKey;
  /// Hash of the attempt that the caller gets the output from.
  Fingerprint Attempt;
  /// The last event that the caller had when it sent the attempt; 0 if it had
  /// none.
  std::uint64_t ContinuedAfter = 0;
  /// Whether nothing of the attempt was reported before.
  bool IsFirst = false;
  /// Where Data is in the output, in bytes.
  std::uint64_t Offset = 0;
  std::string Data;
  /// The ends of the events of this attempt within Data.
  std::vector<OutputMark> Marks;
  /// How long the caller may still continue the stream.
  Milliseconds Retention{0};
};

/// Reports what callers get of streams that they may continue and whose turns
/// are kept.
struct StreamOutputs {
  std::vector<StreamOutput> Rows;
};

/// Reports that an attempt to continue a stream has ended and its caller got
/// nothing from it.
struct ContinuationFailed {
  /// See StreamOutput::TurnKey.
  Fingerprint TurnKey;
  Fingerprint Attempt;
};

/// Where a caller continues a stream whose turn is kept.
struct StreamPosition {
  /// The last event that the caller has.
  std::uint64_t After = 0;
  /// See StreamOutput::TurnKey.
  Fingerprint TurnKey;
};

/// What a replica that has known a stream since its first event knows of the
/// output at the position where a caller continues it.
struct ResumedOutput {
  Fingerprint Stream;
  /// The last attempt that may have brought events before the position, and the
  /// event that it went on after. Attempts at lower positions ended before.
  Fingerprint Attempt;
  std::uint64_t ContinuedAfter = 0;
  /// Whether several attempts may have brought the last events before the
  /// position.
  bool IsAmbiguous = false;
  /// The output up to the position; absent if the replica does not have all of
  /// it.
  std::optional<std::string> Output;
};

/// Opens a turn before it may run: requests a claim on its program's budget,
/// the existing claims, and the history of the conversation.
struct OpenTurn {
  LedgerOperationId Operation;
  ViewVersion View;
  TurnId Turn;
  ProgramId Program;
  /// Tokens to reserve; absent if the claims are only read.
  std::optional<TokenCount> Claimed;
  std::optional<TurnId> Previous;
  /// Whether the receiver should send the history that ends with Previous.
  bool IsHistoryRequested = false;
  /// The longest history, in bytes, that the reply may contain. A longer one is
  /// read in parts, with HistoryQuery.
  std::uint64_t MaxHistoryBytes = 0;
  Milliseconds Retention{0};
  /// The attempt that began the stream that the caller continues.
  std::optional<CallerAttemptId> ResumedAttempt;
  /// The content of the stream that the caller continues, if the caller does
  /// not name the attempt.
  std::optional<Fingerprint> ResumedContent;
  /// Where the caller continues that stream; absent unless the turn is kept.
  std::optional<StreamPosition> ResumedAt;
};

/// Reply to OpenTurn, sent once the claim is durable.
struct TurnOpened {
  LedgerOperationId Operation;
  HolderId Holder;
  bool HasPrevious = false;
  /// The target that ran the previous turn; empty if unknown.
  TargetId PreviousTarget;
  /// The inputs and outputs of the chain that ends with turn HistoryEnd, the
  /// previous turn of the request, as far back as the replica has it. Absent if
  /// it is too long for the reply; LongHistoryBytes is its size then.
  std::optional<std::string> History;
  std::optional<std::uint64_t> LongHistoryBytes;
  std::optional<TurnId> HistoryEnd;
  /// The newest turn of the chain that the replica lacks; the history starts
  /// after it. Absent if the history is complete.
  std::optional<TurnId> MissingTurn;
  /// All claims of the program that the replica has.
  std::vector<TokenClaim> Claims;
  /// The origin of the streams that ResumedAttempt or attempts with
  /// ResumedContent began; absent if the replica knows none. The version is
  /// empty if it is unknown or if there were several.
  std::optional<StreamOrigin> ResumedOrigin;
  /// For how long the replica has kept the origins of all streams that were
  /// reported to it.
  Milliseconds StreamsKeptFor{0};
  /// The output before ResumedAt; absent if the replica has not known the
  /// stream since its first event.
  std::optional<ResumedOutput> Resumed;
};

/// Reads part of a history that is too long for TurnOpened. The history is that
/// of the chain which ends with turn End and begins after turn After or,
/// without After, with the first turn of the conversation.
struct HistoryQuery {
  LedgerOperationId Operation;
  TurnId End;
  std::optional<TurnId> After;
  /// The part's position in this history, and its size, both in bytes.
  std::uint64_t Offset = 0;
  std::uint32_t Bytes = 0;
};

/// Reply to HistoryQuery.
struct HistoryPart {
  LedgerOperationId Operation;
  HolderId Holder;
  /// Absent if the replica lacks a turn of the history or can't read it.
  std::optional<std::string> Data;
};

/// Ends a turn: settles its claim, and stores the turn if its answer is
/// complete.
struct CloseTurn {
  LedgerOperationId Operation;
  ViewVersion View;
  ProgramId Program;
  /// Tokens sent to the caller; absent if none were claimed.
  std::optional<TokenCount> Used;
  TurnId Turn;
  /// Whether the turn is stored; Previous, Input and Output are set only then.
  bool IsKept = false;
  std::optional<TurnId> Previous;
  SharedText Input;
  SharedText Output;
  TargetId Target;
  Milliseconds Retention{0};
};

/// Reply to CloseTurn, sent once its records are durable.
struct TurnClosed {
  LedgerOperationId Operation;
  HolderId Holder;
};

/// Reply to an operation that was not carried out because the sender's view is
/// out of date or the replica can't write. View is the replica's own.
struct LedgerRefused {
  LedgerOperationId Operation;
  HolderId Holder;
  LedgerView View;
};

/// Announces a view to a process that may not have it.
struct ViewOffer {
  LedgerView View;
};

/// Requests the records of a replica of View.Current, starting with the batch
/// that the replica's process Run has numbered Cursor. Another process of the
/// replica, which numbers batches anew, starts with its first one.
struct PullRecords {
  LedgerView View;
  InstanceId Run;
  std::uint64_t Cursor = 0;
};

/// Reply to PullRecords.
struct RecordsPage {
  ViewVersion View;
  HolderId Holder;
  /// The process that has numbered the batches, the number at which the page
  /// starts, and the one at which the next page does.
  InstanceId Run;
  std::uint64_t Cursor = 0;
  std::uint64_t NextCursor = 0;
  /// Whether everything written under earlier views has been sent.
  bool IsLast = false;
  std::vector<LedgerBatch> Batches;
};

/// Requests turns that the sender lacks and that turns which it has continue.
struct TurnsQuery {
  std::vector<TurnId> Turns;
};

/// Reply to TurnsQuery. Turns that are in neither list may be requested again.
struct TurnsFound {
  HolderId Holder;
  /// The batches of turns that the replica has.
  std::vector<LedgerBatch> Batches;
  /// Turns that the replica, a current member, does not have.
  std::vector<TurnId> Unknown;
};

/// A key of the key-value service in the state last read by some process.
struct DirectoryItem {
  std::string Key;
  std::string Value;
  Revision ModRevision;
  bool IsDeleted = false;
};

/// Forwards changes of the key-value service to processes that can't reach the
/// service or whose own watch has missed the changes.
struct DirectoryChanges {
  std::vector<DirectoryItem> Items;
  /// Whether the sender can't reach the service at present. A receiver whose
  /// watch request is still open may not have noticed.
  bool IsServiceLost = false;
};

/// States to a relay that KeyRevision was the last change of the
/// configuration's key when the relay sent the heartbeat with SentAt, or at a
/// later time.
struct ConfigurationVouch {
  Revision KeyRevision;
  Instant SentAt;
};

} // namespace tanagerlanding

#endif
