/// \file
/// The state of one replica of the ledger.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERSTATE_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERSTATE_H

#include "tanagerlanding/decision/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace tanagerlanding {

/// Limits of a replica.
struct LedgerOptions {
  /// Added to the retention that callers are promised, for turns that run
  /// while it ends and for clocks that were stepped.
  Milliseconds RetentionMargin{30000};
  /// How often expired records are looked for.
  Milliseconds SweepInterval{2000};
  /// How long replicas wait for each other before the first view is made.
  /// Machines start within some tenths of a second of each other.
  Milliseconds BootstrapWait{1500};
  /// A member whose registration is gone this long is replaced if it can be;
  /// covers the time in which a live one registers again after an outage.
  Milliseconds DeadAfter{1000};
  /// Each further replica waits this much longer before it writes a view, so
  /// that one usually writes alone.
  Milliseconds ProposalStagger{400};
  /// A view write or a pull without effect this long is tried again.
  Milliseconds RetryInterval{500};
  /// How long after an answer the first member asks the service for changes
  /// again: configurations have to be in force two seconds after they are
  /// accepted, and several targets often register at once.
  Milliseconds WatchPauseFirst{100};
  /// The same for all others. They stand in where the first member does not
  /// reach the service, within half of those two seconds.
  Milliseconds WatchPauseOthers{1000};
  /// Bytes of records in one page of a pull: small against a link's window.
  std::uint32_t PageBytes = 64 * 1024;
};

/// Where a batch lies in the data folder.
struct RecordPlace {
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0;
  std::uint32_t Length = 0;
};

/// A batch that is durable here. Its number orders it for pulls.
struct StoredBatch {
  RecordPlace Place;
  /// Records of the batch that are still needed.
  std::uint32_t LiveRecords = 0;
};

/// The index entry of a kept turn.
struct KeptTurn {
  std::optional<TurnId> Previous;
  TargetId Target;
  std::uint64_t Batch = 0;
  Instant ExpiresAt;
};

/// A claim and the batch that it lies in; batch 0 while it isn't durable.
struct StoredClaim {
  TokenClaim Claim;
  std::uint64_t Batch = 0;
};

/// The claims of one program, by the turn's hash.
struct ProgramClaims {
  std::map<Fingerprint, StoredClaim> Claims;
  Instant ExpiresAt;
};

/// A batch handed to the data folder that is not durable yet.
struct PendingBatch {
  /// Who gets the reply; absent for pulled batches.
  std::optional<HostId> Peer;
  /// The operation, whose reply is made once the batch is durable.
  std::variant<std::monostate, OpenTurn, CloseTurn> Asked;
  /// The view under which it was taken.
  ViewVersion View;
  LedgerBatch Batch;
};

/// The copying of records before this replica may serve in a new view.
struct RecordsPull {
  struct Source {
    std::uint64_t Cursor = 0;
    bool IsDone = false;
  };
  ViewVersion View;
  std::map<HolderId, Source> Sources;
  Instant AskedAt;
  /// Pulled batches that are not durable yet.
  std::set<std::uint64_t> Unstored;
  bool IsComplete = false;
};

/// The state of one replica.
struct LedgerState {
  LedgerOptions Options;
  LedgerMember Self;
  std::uint32_t Tolerated = 1;
  Instant Now;
  LedgerView View;
  /// Whether the key-value service has told what it holds, and the revision of
  /// the view there; revision 0 means that there is none.
  bool HasReadService = false;
  Revision ViewRevision;
  Instant ServiceReadAt;
  /// Replicas as registered in the key-value service.
  std::map<HostId, LedgerMember> Registered;
  /// The replica that a host has greeted with. It may not have registered yet.
  std::map<HostId, HolderId> HeardHolders;
  /// Since when a member has had no registration.
  std::map<HolderId, Instant> MissingSince;
  /// The view for which each replica has copied all records.
  std::map<HolderId, ViewVersion> Synced;
  std::set<HostId> Retiring;
  /// What was last told about this replica's own retirement.
  bool HasToldRetiring = false;
  bool HasToldRetired = false;
  /// Since when retiring hosts have had no registration, and those that were
  /// told as retired in their place.
  std::map<HostId, Instant> RetiringLostSince;
  std::set<HostId> ToldForLost;
  /// Since when a change of the view has been due.
  std::optional<Instant> ProposalDueSince;
  Instant ProposedAt;
  /// The view that this replica wrote or tried to write last.
  ViewVersion Proposed;
  std::optional<RecordsPull> Pull;

  std::map<TurnId, KeptTurn> Turns;
  std::map<ProgramId, ProgramClaims> Programs;
  std::map<std::uint64_t, StoredBatch> Stored;
  std::map<std::uint64_t, std::uint32_t> BatchesInSegment;
  std::uint64_t NextBatch = 1;
  std::map<std::uint64_t, PendingBatch> Pending;
  std::uint64_t NextTicket = 1;
  Instant SweptAt;
};

} // namespace tanagerlanding

#endif
