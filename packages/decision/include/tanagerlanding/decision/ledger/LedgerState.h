/// \file
/// The state of one replica of the ledger.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERSTATE_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERSTATE_H

#include "tanagerlanding/decision/DecayingCount.h"
#include "tanagerlanding/decision/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// Time and size limits of a replica.
struct LedgerOptions {
  /// Added to the retention that callers are promised, to allow for turns that
  /// are running when it ends and for wall clocks that were stepped.
  Milliseconds RetentionMargin{30000};
  /// Interval between sweeps for expired records.
  Milliseconds SweepInterval{2000};
  /// How long replicas wait for each other to register before the first view
  /// is created. Hosts start within some tenths of a second of each other.
  Milliseconds BootstrapWait{1500};
  /// A member that has had no registration for this long is replaced if another
  /// replica is available. The time allows live members to register again after
  /// an outage of the key-value service.
  Milliseconds MissingRegistrationTimeout{1000};
  /// Replicas write a due view in order of their rank, each this much later
  /// than the one before it, so that usually only one of them writes.
  Milliseconds ProposalStagger{400};
  /// A view write or a pull that has had no effect after this time is retried.
  Milliseconds RetryInterval{500};
  /// How long after an answer the first member asks the key-value service for
  /// changes again. Short, since configurations have to be in force two
  /// seconds after they are accepted; not zero, since several targets often
  /// register at once and are then read with one request.
  Milliseconds FirstMemberWatchDelay{100};
  /// The same for all other replicas. They take over if the first member can't
  /// reach the service, within half of those two seconds.
  Milliseconds OtherMembersWatchDelay{1000};
  /// Turns in one request for turns that this replica lacks.
  std::size_t TurnsPerQuery = 64;
  /// Bytes of records in one page of a pull or in one reply with missing turns;
  /// small compared with the window of a connection.
  std::uint32_t PageBytes = 64 * 1024;
  /// How long a relay waits here for a permit. It then asks another replica.
  Milliseconds PermitRequestTimeout{1000};
  /// How long after the last message of another member this replica counts it
  /// as connected. A member that is connected to no majority of the members
  /// issues no permits of teams, as it may have been replaced. Members send a
  /// heartbeat every 400 ms.
  Milliseconds MemberContactTime{1000};
  /// Half-life of the counts from which a team's use of its quota is estimated.
  Milliseconds RateHalfLife{2000};
  /// The part of a team's bucket that is reserved for programs under way.
  double ReservedShare = 0.25;
  /// The part of a team's quota up to which programs are started. The rest
  /// covers programs that send more requests than usual.
  double ProgramStartShare = 0.9;
  /// Requests of a program that are assumed before any is known, and the number
  /// of programs after which what was counted weighs more than the assumption.
  double AssumedProgramRequests = 10;
  double AssumedPrograms = 5;
  /// Half-life of the counts from which the requests of a program are
  /// estimated, and the time after which a start is counted. Most requests of a
  /// program are sent by then; counted at once, a burst of starts would lower
  /// the estimate.
  Milliseconds ProgramHalfLife{15000};
  Milliseconds ProgramSettleTime{2000};
  /// How long a relay may use a granted start; how long its use of a service
  /// counts after its last request, which it sends every 100 ms.
  Milliseconds StartGrantLifetime{200};
  Milliseconds StartReportLifetime{500};
  /// The time over which the use of a service is averaged. Programs pause
  /// between turns, and those that pause now come back.
  Milliseconds StartUseWindow{500};
  /// The rate of starts assumed at least for the time until the next one, and
  /// the longest time that relays are told.
  double MinStartsPerSecond = 1;
  Milliseconds MaxStartDelay{5000};
  /// Longer than a target lives without an answer to any relay.
  Milliseconds LimitRetention{600000};
  /// Number of streams whose origin is kept. A stream above it can't be
  /// continued by its caller.
  std::size_t StartedStreamLimit = 100000;
  /// Size of the kept outputs of streams that callers may continue. A stream
  /// above it can't be continued by its caller.
  std::size_t StreamOutputBytesLimit = std::size_t{16} * 1024 * 1024;
  /// How long the output of a stream is kept after its end, which its caller
  /// may have missed.
  Milliseconds EndedOutputRetention{3000};
  /// How long the clock of a relay is kept after its last heartbeat.
  Milliseconds RelayClockRetention{5000};
  /// Relays get no vouch for a time that is less than this after the last one,
  /// since the first member asks the key-value service several times a second.
  Milliseconds MinVouchInterval{1000};
};

/// Location of a batch in the data folder.
struct BatchLocation {
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0;
  std::uint32_t Length = 0;
};

/// A batch that is durable on this replica. Pulls read batches in the order of
/// their numbers.
struct StoredBatch {
  BatchLocation Place;
  /// Number of records of the batch that are still needed.
  std::uint32_t LiveRecords = 0;
};

/// Index entry of a stored turn.
struct TurnIndexEntry {
  std::optional<TurnId> Previous;
  TargetId Target;
  std::uint64_t Batch = 0;
  Instant ExpiresAt;
  /// Size of the turn's input and output.
  std::uint64_t TextBytes = 0;
};

/// A close that is durable here, and whose confirmation waits for the chain of
/// its turn.
struct UnconfirmedClose {
  HostId Peer;
  LedgerOperationId Operation;
};

/// A turn that this replica lacks, although it has a turn that continues it.
struct MissingTurn {
  /// The last expiry of the turns that continue it.
  Instant NeededUntil;
  /// Closes of turns whose chains contain it.
  std::vector<UnconfirmedClose> Closes;
  /// The replicas that were asked for it since all had been, and the time of
  /// the last request; absent if none is under way.
  std::set<HolderId> Asked;
  std::optional<Instant> RequestedAt;
  /// Current members that do not have it.
  std::set<HolderId> UnknownTo;
};

/// A claim and the number of the batch that holds it; 0 while it is not
/// durable.
struct StoredClaim {
  TokenClaim Claim;
  std::uint64_t Batch = 0;
};

/// The claims of one program, by the hash of their turn's id.
struct ProgramClaims {
  std::map<Fingerprint, StoredClaim> Claims;
  Instant ExpiresAt;
};

/// The origin of a stream that its caller may continue at any relay.
struct StartedStream {
  StreamOrigin Origin;
  Instant ExpiresAt;
};

/// What the caller of a stream gets from one attempt, as far as it is known.
struct AttemptOutput {
  /// The last event that the caller had before the attempt.
  std::uint64_t ContinuedAfter = 0;
  /// The stream's output, with that of the attempts before.
  std::string Data;
  /// The ends of this attempt's events in Data.
  std::vector<OutputMark> Marks;
};

/// The output of a stream that its caller may continue and whose turn is kept.
/// It was reported here from its first event on, so each attempt to continue it
/// that was opened here since is known.
struct KnownStreamOutput {
  Fingerprint TurnKey;
  Instant ExpiresAt;
  /// Whether reports about one attempt have differed.
  bool IsContradictory = false;
  std::map<Fingerprint, AttemptOutput> Attempts;
};

/// A team's quota, absent if it has none, and the version of the configuration
/// that states it.
struct TeamQuota {
  ConfigVersion Version;
  std::optional<RequestQuota> Quota;
};

/// A relay that waits for permits of one target.
struct WaitingRelay {
  HostId Relay;
  std::uint32_t Wanted = 0;
  /// The time on the relay's clock, and on this replica's.
  Instant AskedAt;
  Instant ReceivedAt;
};

/// What a replica knows of a relay's clock.
struct RelayClock {
  /// The time in the relay's last heartbeat, and when it was received here.
  Instant SentAt;
  Instant ReceivedAt;
  /// SentAt when the present query of the key-value service was sent; absent if
  /// the first heartbeat came later.
  std::optional<Instant> AtQuery;
  /// The time in the last vouch.
  std::optional<Instant> VouchedFor;
};

/// Programs that started recently, and the requests that were admitted for
/// programs in the same time.
struct ProgramCounts {
  DecayingCount Started;
  /// Starts that are not counted yet, the oldest first.
  std::deque<Instant> Recent;
  DecayingCount Requests;
};

/// Issues this replica's share of the permits of one target or team.
struct PermitIssuer {
  PermitBucket Bucket;
  /// The requests that programs of a team which start here may send. Each start
  /// takes the requests of a whole program, so the balance may be negative.
  std::optional<PermitBucket> ProgramBudget;
  ProgramCounts Programs;
  /// Permits of a team that were granted recently.
  DecayingCount Granted;
  /// In the order in which they get the next permits.
  std::deque<WaitingRelay> Waiting;
};

/// Starts of programs that were granted to a relay.
struct SentStartGrant {
  std::uint64_t Sequence = 0;
  Instant At;
  std::uint32_t Count = 0;
};

/// What one relay has in progress at a service.
struct RelayStarts {
  /// The last request, without the starts that were granted since.
  ProgramStartRequest Report;
  Instant ReportedAt;
  /// Grants that are not part of the report yet.
  std::deque<SentStartGrant> Unconfirmed;
};

/// The starts of programs at one service that this replica decides on.
struct ServiceStarts {
  std::map<HostId, RelayStarts> Relays;
  std::uint64_t LastSequence = 0;
  DecayingCount Granted;
  /// Moving average of the use by all relays, and when it was last updated.
  double AverageUse = 0;
  Instant AveragedAt;
};

/// Requests that a relay has sent to one run of a target, less those ended.
struct ReportedSends {
  HostId Relay;
  Instant At;
  std::int32_t Count = 0;
};

/// What relays have reported of the load of one run of a target.
struct GatheredLoad {
  /// The newest report, when the target made it, and the relay that received
  /// it.
  TargetLoad Report;
  std::optional<Instant> ReportedAt;
  HostId Reporter;
  /// Requests sent since the report, the oldest first.
  std::deque<ReportedSends> Sends;
  /// Moving average of the slowness that relays have reported, and when they
  /// last did.
  std::optional<double> Slowness;
  Instant SlownessAt;
  Instant UpdatedAt;
  /// The number of the last change; all rows are counted together.
  std::uint64_t Change = 0;
};

/// A relay that reports loads here and is sent those that others report.
struct LoadSubscriber {
  Instant ReportedAt;
  Instant SentAt;
  /// Rows are sent in the order of their keys, and again from the first one
  /// after the last; LastSent is where the next message goes on. Rows whose
  /// last change is not after SentChanges, the number of changes at the start
  /// of the round before this one, are left out. So a change may be sent twice,
  /// but none is missed.
  TargetRunKey LastSent;
  std::uint64_t SentChanges = 0;
  std::uint64_t RoundChanges = 0;
};

/// The loads of targets that relays have reported to this replica.
struct LoadGathering {
  std::map<TargetRunKey, GatheredLoad> Rows;
  std::uint64_t Changes = 0;
  std::map<HostId, LoadSubscriber> Relays;
};

/// A batch that has been submitted to the data folder and is not durable yet.
struct PendingBatch {
  /// Host that gets the reply; absent for pulled batches.
  std::optional<HostId> Peer;
  /// The operation; its reply is sent once the batch is durable.
  std::variant<std::monostate, OpenTurn, CloseTurn> Operation;
  /// The view under which the operation was accepted.
  ViewVersion View;
  LedgerBatch Batch;
};

/// Progress of copying the records that this replica needs before it may serve
/// in a new view.
struct RecordsPull {
  struct Source {
    /// The process that has numbered the batches; empty before its first page.
    InstanceId Run;
    std::uint64_t Cursor = 0;
    bool IsDone = false;
  };
  ViewVersion View;
  std::map<HolderId, Source> Sources;
  Instant RequestedAt;
  /// Tickets of pulled batches that are not durable yet.
  std::set<std::uint64_t> PendingTickets;
  /// Whether a pulled batch could not be stored, so that the pull has to start
  /// again.
  bool HasFailed = false;
  bool IsComplete = false;
};

struct LedgerState {
  LedgerOptions Options;
  LedgerMember Self;
  /// Identifies this process among those that have served the replica.
  InstanceId Run;
  std::uint32_t ToleratedFailures = 1;
  Instant Now;
  LedgerView View;
  /// Whether the whole state of the key-value service has been read, and the
  /// revision of the view in it; revision 0 means that it has no view.
  bool HasServiceSnapshot = false;
  Revision ViewRevision;
  Instant ServiceSnapshotAt;
  /// Replicas that are registered in the key-value service.
  std::map<HostId, LedgerMember> RegisteredReplicas;
  /// The replica that each host named in its last Hello message. It may not
  /// have registered yet.
  std::map<HostId, HolderId> AnnouncedHolders;
  /// Time since which a member has had no registration.
  std::map<HolderId, Instant> MissingSince;
  /// The last view for which each replica has copied all records.
  std::map<HolderId, ViewVersion> SyncedViews;
  std::set<HostId> RetiringHosts;
  /// Whether the start and the completion of this host's own retirement have
  /// been reported to the operators.
  bool HasReportedStart = false;
  bool HasReportedCompletion = false;
  /// Time since which retiring hosts have had no registration, and the lost
  /// hosts whose retirement this replica has reported on their behalf.
  std::map<HostId, Instant> RetiringMissingSince;
  std::set<HostId> ReportedLostHosts;
  /// Time since which a change of the view has been due.
  std::optional<Instant> ProposalDueSince;
  Instant ProposedAt;
  /// Version of the view that this replica last wrote or tried to write.
  ViewVersion ProposedVersion;
  std::optional<RecordsPull> Pull;

  std::map<TurnId, TurnIndexEntry> Turns;
  /// Gaps in the chains of Turns. They are filled from other replicas: a close
  /// is confirmed only by replicas that have the whole chain of its turn, so
  /// that a write quorum has each chain whole and extends all of its turns.
  std::map<TurnId, MissingTurn> MissingTurns;
  std::map<ProgramId, ProgramClaims> Programs;
  /// Origins of streams by the hash of the attempt that began them. They are
  /// not stored on disk: a stream ends within seconds, and one whose origin is
  /// lost is begun anew by its caller.
  std::map<Fingerprint, StartedStream> StartedStreams;
  /// The same origins by the content of the requests.
  std::map<Fingerprint, StartedStream> StreamsByContent;
  /// Since when no reported origin is missing from these maps: the start of
  /// the process, or the last time that one exceeded the limit or was reported
  /// without its content.
  std::optional<Instant> StreamsCompleteSince;
  /// Outputs by the hash of the attempt that began the stream. Like the
  /// origins, they are not stored on disk.
  std::map<Fingerprint, KnownStreamOutput> StreamOutputs;
  /// Their keys by TurnKey.
  std::set<std::pair<Fingerprint, Fingerprint>> StreamsByTurnKey;
  std::size_t StreamOutputBytes = 0;
  std::map<std::uint64_t, StoredBatch> StoredBatches;
  std::map<std::uint64_t, std::uint32_t> BatchesInSegment;
  std::uint64_t NextBatch = 1;
  std::map<std::uint64_t, PendingBatch> PendingBatches;
  std::uint64_t NextTicket = 1;
  Instant SweptAt;
  /// Limits that targets have named, and the permits that this replica issues.
  LimitTable Limits;
  std::map<PermitSubject, PermitIssuer> PermitIssuers;
  /// Since when this replica has been a member without interruption.
  std::optional<Instant> MemberSince;
  /// The programs of all teams.
  ProgramCounts AllPrograms;
  /// Quotas of teams by the newest configuration that this replica or a relay
  /// that asked for permits has read, and the version that it has read itself.
  std::map<TeamId, TeamQuota> Quotas;
  ConfigVersion QuotaVersion;
  /// When a message was last received from each other member's host.
  std::map<HostId, Instant> MembersHeardAt;
  /// Clocks of the relays that need proofs of their configuration, and the last
  /// change of the configuration's key; revision 0 if there was none.
  std::map<HostId, RelayClock> RelayClocks;
  Revision ConfigurationKeyRevision;
  LoadGathering Loads;
  std::map<ServiceName, ServiceStarts> Starts;
  /// Evidence against contents that crash their targets, for the relays.
  QuarantineTable Suspects{SharedRunPolicy{}, SharedContentLimit};
};

} // namespace tanagerlanding

#endif
