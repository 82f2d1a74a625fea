/// \file
/// The state of a relay.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYSTATE_H
#define TANAGERLANDING_DECISION_RELAY_RELAYSTATE_H

#include "tanagerlanding/decision/ByteBudget.h"
#include "tanagerlanding/decision/CrashEvidence.h"
#include "tanagerlanding/decision/DecayingCount.h"
#include "tanagerlanding/decision/TargetLimits.h"
#include "tanagerlanding/decision/TargetLoads.h"
#include "tanagerlanding/decision/ledger/LedgerMessages.h"
#include "tanagerlanding/decision/relay/CallerRequest.h"
#include "tanagerlanding/decision/relay/ConfigurationProof.h"
#include "tanagerlanding/decision/relay/EventSplitter.h"
#include "tanagerlanding/decision/relay/RelayConfiguration.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tanagerlanding {

/// Timeouts, limits and cost weights of a relay.
struct RelayOptions {
  /// Whether this relay reports the loads of targets to the replicas and places
  /// requests by the loads and speeds that relays share.
  bool IsLoadShared = false;
  /// How long targets without a registration remain usable after the key-value
  /// service is reachable again. Live targets register again within 2 s.
  Milliseconds MissingTargetGrace{2000};
  /// How long a turn waits for the ledger before it is refused. Replicas answer
  /// within the time of a disk sync; a longer delay means that they are lost.
  Milliseconds LedgerTimeout{700};
  /// A replica from which nothing was received for this long is considered
  /// failed. Replicas send a heartbeat every 400 ms.
  Milliseconds ReplicaHeartbeatTimeout{700};
  /// A longer gap between two ticks, which come every 25 ms, means that this
  /// process has stalled. Missing heartbeats then do not indicate failed
  /// replicas.
  Milliseconds StallThreshold{200};
  /// How long to wait for a history before requesting it from another replica.
  Milliseconds HistoryTimeout{100};
  /// Longest history, in bytes, that is read with the answer to the opening of
  /// a turn and held until its call ends. Almost all are shorter.
  std::uint64_t MaxHeldHistoryBytes = 64 * 1024;
  /// Size of the parts in which longer ones are read.
  std::uint32_t HistoryPartBytes = 128 * 1024;
  /// How long to wait for a part before it is requested from another replica,
  /// and how long without one before the call ends. Replicas send parts in
  /// order, so that a part may have to wait for others.
  Milliseconds HistoryPartTimeout{500};
  Milliseconds HistoryLossTimeout{2000};
  /// The retry delay sent to refused callers: the time in which a connection is
  /// re-established or a restarted process is ready.
  Milliseconds RetryAfter{250};
  /// How long after its start a relay defers requests for which it lacks the
  /// directory or the ledger. Both become available within a second if all
  /// hosts start together, and callers have few retries.
  Milliseconds StartupGracePeriod{1000};
  /// Backoff of a target after a failure. It doubles with each consecutive
  /// failure, up to BackoffLimit.
  Milliseconds BackoffBase{300};
  Milliseconds BackoffLimit{4000};
  /// Half-life of a target's counts of answers and failures. A relay sees about
  /// one answer per second from a target, and faults last some seconds.
  Milliseconds HealthHalfLife{3000};
  /// Number of answers assumed for a target before the first one is seen. It
  /// dampens the failure rate while few outcomes are known.
  double HealthPrior = 4;
  /// Cost of a request that fails at its target. Callers abort a stream
  /// after 2 s without data.
  Milliseconds FailureCost{2000};
  /// A target is slow if its time to first byte exceeds that of its service by
  /// this factor. Hosts of a service differ by a third.
  double SlowFactor = 2;
  /// An attempt without an answer counts as failed after this many times the
  /// usual time to first byte, but not before MinFirstByteTimeout. Plain calls
  /// differ by that much.
  double FirstByteTimeoutFactor = 8;
  Milliseconds MinFirstByteTimeout{500};
  /// Number of sends of one request that targets may refuse; with one more, the
  /// caller is refused.
  std::uint32_t MaxRefusedSends = 3;
  /// Cost per request that runs in a slot of a target, and per request that
  /// queues for one, counting the new request. At current engines a turn runs
  /// for some 200 ms, a slot becomes free in about a twelfth of that, and each
  /// prompt that is read delays the other requests by about 10 ms.
  Milliseconds CostPerRunningRequest{10};
  Milliseconds CostPerQueuedRequest{25};
  /// Prompt tokens that an engine reads per millisecond. Reading them again
  /// delays the request itself and the others at the target.
  double PromptTokensPerMilli = 100;
  /// Cost of sending a request to another zone. A target there must be cheaper
  /// by this much to justify the cross-zone traffic.
  Milliseconds CrossZoneCost{6};
  /// How long a prompt cache location is kept after its last use, and the
  /// number of locations at which they begin to be evicted earlier.
  Milliseconds PromptCacheRetention{15000};
  std::size_t PromptCacheLocationLimit = 20000;
  /// A relay without a ledger quorum for this long reports to the balancer that
  /// it is not ready, as it could only refuse turns.
  Milliseconds UnreadyAfter{300};
  /// Load, in requests per slot, at which a target gets no more requests.
  /// Further ones would wait there longer than a caller's retry takes.
  double MaxLoadPerSlot = 2.5;
  /// Load, in requests per slot, below which a target gets turns of programs in
  /// progress. Above it they are queued at the relay, as a target serves its
  /// own queue in order of arrival.
  double InProgressLoadPerSlot = 1.25;
  /// Load, in requests per slot, below which a target gets first turns of
  /// programs, and turns of overdue programs. It is high enough to keep the
  /// slots in use; above it these turns are queued at the relay, where they can
  /// be ordered, and turns of programs in progress go first.
  double StartingLoadPerSlot = 1.0;
  double OverdueLoadPerSlot = 0.85;
  /// How much longer than at the load at which they are fastest turns may take
  /// while programs are started, and the lowest load to which starts are
  /// limited for it. A program's time is at least a fifth more than it takes on
  /// idle targets, and its turns are about half of that.
  double MaxTurnSlowdown = 1.4;
  double MinStartLoadPerSlot = 0.5;
  /// How often a relay tells the deciding replica what it has in progress while
  /// no start waits, and how long a granted start may be used.
  Milliseconds StartReportInterval{100};
  Milliseconds StartGrantLifetime{200};
  /// How long a turn of a program that is past its deadline is queued. Then its
  /// caller learns at once that it has not run.
  Milliseconds MaxOverdueQueueTime{250};
  /// The fraction of its caller's time after which a queued turn is scheduled
  /// like a turn in progress. The rest of the time is left for running it.
  double MaxQueueTimeFraction = 0.5;
  /// The fraction of a program's time for which its first turn may be queued
  /// before the program counts as overdue. A program's time is at least a fifth
  /// more than it takes on idle targets.
  double MaxStartDelayFraction = 0.25;
  /// How long the oldest first turn in the queue may have waited while a
  /// further one is still queued before any has been dispatched.
  Milliseconds UnknownStartDelayLimit{100};
  /// Half-life of the count from which the rate of dispatched first turns is
  /// estimated, short enough to follow a burst, and of the one that it is
  /// compared with, which covers the time of a program.
  Milliseconds StartRateHalfLife{700};
  Milliseconds UsualStartRateHalfLife{5500};
  /// Added to both rates, so that a relay with few starts does not take chance
  /// for growth.
  double StartRateNoise = 2;
  /// Queued turns that may be dispatched per tick, so that relays that see the
  /// same free target do not all send their turns at once.
  std::uint32_t MaxDispatchesPerTick = 2;
  /// Slots assumed for a target that does not report them.
  std::uint32_t DefaultSlots = 4;
  /// Size up to which an answer is buffered so that the request can still be
  /// retried. Larger answers are forwarded as they are received.
  std::size_t MaxBufferedAnswerBytes = 256 * 1024;
  /// Maximum size of one event of a stream, which is forwarded as a whole.
  std::size_t MaxEventBytes = 256 * 1024;
  /// Maximum size of the output of a turn that is kept for its history.
  std::size_t MaxTurnOutputBytes = 1024 * 1024;
  /// If fewer than this many claims of the turn's size remain of the budget,
  /// the claims are read a second time, as concurrent claims may have been
  /// missed.
  std::uint64_t BudgetMarginClaims = 16;
  /// How long new connections are accepted after a shutdown request. The
  /// balancer needs two failed readiness checks a second apart, and one more.
  Milliseconds DrainAcceptPeriod{3200};
  /// Time limit for requests in flight after a shutdown request.
  Milliseconds DrainTimeout{7300};
  /// How long attempts that were lost at a target may be attributed to a crash
  /// of it, and their number per target. A crashed target is back within some
  /// seconds.
  Milliseconds LostAttemptRetention{10000};
  std::size_t MaxLostAttemptsPerTarget = 200;
  /// How long after a crash was detected further attempts are lost by it. All
  /// connections of a process end together.
  Milliseconds CrashSettleTime{1000};
  /// Number of paths that are remembered for a route, and the number of
  /// distinct ones from which paths tell its requests apart.
  std::size_t MaxPathsPerRoute = 2000;
  std::size_t MinDistinctPaths = 10;
  /// The time after which a crashed target is no longer registered: three
  /// heartbeats of 1.2 s, and as much again for a slow key-value service.
  Milliseconds RegistrationLapse{8000};
  /// Added to the longest time of a caller, to get the time for which the
  /// origin of its stream is kept. Covers processes that are suspended.
  Milliseconds StreamOriginMargin{5000};
  /// The time that a caller has for its request with all attempts, unless it
  /// states more or its route's time-out is longer. What a continuation states
  /// is only what is left of it.
  Milliseconds MaxCallerTime{15000};
  /// After a longer gap between two ticks this relay may serve a request before
  /// it has read the changes of registrations meanwhile.
  Milliseconds MaxUnwatchedTime{1000};
  /// Number of streams of this relay whose origins are reported again to
  /// replicas that connect.
  std::size_t ReportedStreamLimit = 5000;
  /// Reports of outputs per second, and at once, that are sent without waiting
  /// for the next tick.
  RequestRate ImmediateOutputReports{50};
  double OutputReportBurst = 25;
  /// How long a permit is valid from the time when it was asked for, and how
  /// long a replica may take to grant it.
  Milliseconds PermitLifetime{1500};
  Milliseconds PermitRequestTimeout{1000};
  /// The time whose requests a relay holds or awaits permits for, beyond a
  /// single one.
  Milliseconds PermitHorizon{500};
  /// Number of targets of a service for which a relay asks for permits, unless
  /// it needs as many permits. Relays ask for different ones.
  std::size_t MinPermitTargets = 16;
  /// Hedges as a share of the requests of a service; 0 if none are sent.
  double HedgeShare = 0;
  /// Requests per slot over a service above which no hedges are sent.
  double HedgeMaxLoad = 0.7;
  /// Half-life of the counts from which rates of requests are estimated, and
  /// the rate below which a relay holds no permits in advance.
  Milliseconds RateHalfLife{2000};
  double MinRequestsPerSecond = 0.2;
  /// Whether keys of teams are accepted only with a proof that the
  /// configuration is recent, and the age at which the proof expires.
  bool IsRevocationStrict = false;
  Milliseconds MaxProofAge{4750};
  /// The retry delay sent to callers who were refused for want of a proof. The
  /// next heartbeat or watch usually brings one.
  Milliseconds StaleRetryAfter{400};
  /// How long a permit of a team is valid from the time when it was asked for.
  /// A tenth of the 5 s over which a quota is counted, which is its tolerance.
  Milliseconds QuotaPermitLifetime{500};
  /// How long a replica may take to answer for a team's permit before the next
  /// one is asked, and how long it is then asked last.
  Milliseconds QuotaAnswerTimeout{150};
  Milliseconds SilentIssuerTime{1000};
  /// The time whose requests of a team a relay holds or awaits permits for.
  Milliseconds QuotaHorizon{250};
  /// The rate at which a relay without replicas admits requests of a team even
  /// if it was granted less.
  double MinOwnQuotaPerSecond = 0.2;
  /// The shortest retry delay of callers that were refused for a quota.
  Milliseconds MinQuotaRetryAfter{100};
  /// How long a team's permits and rates are kept after its last request.
  Milliseconds QuotaStockRetention{60000};
};

/// A target as registered in the key-value service.
struct RegisteredTarget {
  TargetId Id;
  ServiceName Service;
  std::string Address;
  std::uint16_t Port = 0;
  ZoneId Zone;
  std::uint32_t Slots = 0;
  bool IsLeaving = false;
  /// Start time of the target's process, in milliseconds since the Unix epoch;
  /// 0 if not reported. A target may restart under the same id.
  std::int64_t StartedAtMillis = 0;
  SoftwareVersion Version;

  TargetRun run() const { return TargetRun{this->Id, this->StartedAtMillis}; }
};

/// An attempt that ended without a complete answer.
struct LostAttempt {
  CallerAttemptId Request;
  Fingerprint Content;
  CrashExposure Exposure = CrashExposure::BeforeOutput;
  Instant SentAt;
  Instant EndedAt;
};

/// The attempts that were lost at one run of a target. They count as evidence
/// against their contents if that run has crashed.
struct TargetLosses {
  std::string Address;
  std::uint16_t Port = 0;
  std::vector<LostAttempt> Attempts;
  bool IsProbing = false;
  std::optional<Instant> CrashedAt;
  Instant UpdatedAt;
};

/// Recent answers and failures of a target, as seen by one relay.
struct TargetHealth {
  /// Number of answers that have begun and of attempts that have failed, with
  /// exponential decay, as of CountedAt.
  double Answers = 0;
  double Failures = 0;
  Instant CountedAt;
  /// Moving average of the time to first byte, in milliseconds; 0 if unknown.
  double FirstByteMillis = 0;
};

/// The numbers of requests that a relay has sent to a target, and of those that
/// have ended, as of At.
struct OwnRequestCounts {
  Instant At;
  std::uint64_t Sent = 0;
  std::uint64_t Ended = 0;
};

/// What a relay knows of the load of a target.
struct TargetLoadKnowledge {
  /// The newest report, own or of another relay, and when the target made it.
  TargetLoad Report;
  std::optional<Instant> ReportedAt;
  bool IsOwnReport = false;
  /// Requests that other relays have sent since the report, less those ended.
  std::int32_t SentByOthers = 0;
  /// This relay's requests now, at the time of the report, and at those times
  /// of the recent past at which they changed.
  OwnRequestCounts Own;
  OwnRequestCounts AtReport;
  std::deque<OwnRequestCounts> Recent;
  /// What has not been sent to the gathering replica yet: an own report, and
  /// the number of requests sent since it or since the last message, less those
  /// ended.
  bool HasUnsentReport = false;
  std::int32_t UnsentRequests = 0;
  /// Whether an invalid load of this run has been logged.
  bool IsInvalidLogged = false;
};

/// How long work takes at a target apart from its load, as a multiple of what
/// it takes at its service.
struct TargetSpeed {
  /// By this relay's own samples, and by those of all relays as last received.
  double Slowness = 1;
  Instant SampledAt;
  std::optional<double> SharedSlowness;
  Instant SharedAt;
  /// Samples that have not been sent to the gathering replica yet.
  double UnsentSum = 0;
  std::uint32_t UnsentSamples = 0;
  /// The slowness at the last log line about it.
  double LoggedSlowness = 1;
};

/// Moving averages of how long work takes at a service, in milliseconds; 0 if
/// unknown.
struct ServiceTimes {
  double PerEvent = 0;
  double PerRequest = 0;
};

/// The times that streams of a service took per event, by the load of their
/// target at the start of their answers.
struct LoadCurve {
  static constexpr std::size_t BinsPerSlot = 8;
  static constexpr std::size_t BinCount = 13;

  struct Bin {
    double Millis = 0;
    std::uint32_t Samples = 0;
  };

  std::array<Bin, BinCount> Bins;
};

/// The starts of programs at one service that a replica has granted to this
/// relay, and the exchange with that replica.
struct StartStock {
  /// Starts that are not used yet, and when the last of them were granted.
  std::uint32_t Granted = 0;
  Instant GrantedAt;
  HolderId Decider;
  /// The last request, and since when requests have had no answer.
  Instant AskedAt;
  std::optional<Instant> UnansweredSince;
  std::uint64_t LastGrant = 0;
  std::uint32_t ReportedInFlight = 0;
  Instant NextStartAt;
  /// The load limit at the last log line about it.
  double LoggedLimit = 1;
};

/// The exchange of loads with the replica that gathers them.
struct LoadExchange {
  std::optional<HolderId> Gatherer;
  /// When the gatherer was chosen or last sent a view.
  Instant GathererHeardAt;
  /// Replicas that have sent no view in time, and until when others are
  /// preferred.
  std::map<HolderId, Instant> PassedOverUntil;
  std::optional<Instant> ViewReceivedAt;
  /// When the last report was sent, the targets with something new, and the
  /// target that was reported last.
  Instant ReportedAt;
  std::set<TargetId> Unsent;
  TargetId LastSent;
  /// Registered targets by the keys in messages. Different ones may share a
  /// key.
  std::multimap<TargetRunKey, TargetId> TargetsByKey;
};

/// A registered target with this relay's state of it.
struct RelayTarget {
  RegisteredTarget Entry;
  /// Attempts of this relay in flight.
  std::uint32_t Outstanding = 0;
  TargetLoadKnowledge Load;
  TargetSpeed Speed;
  /// Set while the registration is missing but the target may be alive.
  std::optional<Instant> MissingSince;
  /// Consecutive failures, and the end of the backoff that they caused.
  std::uint32_t ConsecutiveFailures = 0;
  Instant BackoffUntil;
  TargetHealth Health;
};

/// The phase of a call.
enum class RelayPhase : std::uint8_t {
  /// Waiting for a permit of its team's quota.
  AwaitingQuota,
  /// Waiting for the ledger to claim tokens and look up the previous turn.
  Opening,
  /// Waiting for a second read of the claims, near the end of the budget.
  Confirming,
  /// Waiting for the missing part of the history.
  CollectingHistory,
  /// Queued at the relay until a target has capacity.
  Queued,
  /// An attempt has been sent to a target.
  Running,
  /// Waiting for the turn to become durable; only the end of the answer is left
  /// to send.
  Closing,
};

/// An attempt of a call beside its current one. The call has two attempts while
/// it is hedged; an event of either makes that one the current attempt.
struct HedgeAttempt {
  RelayAttemptId Attempt;
  TargetId Target;
  RegisteredTarget SentTo;
  Instant SentAt;
  bool IsFirstByteTimeoutRecorded = false;
  bool IsHedge = false;
  std::optional<TargetAnswerHead> Head;
  std::string BufferedBody;
};

/// How long the last answers of a service took to begin.
struct FirstByteSamples {
  /// The service, and whether its requests state their work.
  using Key = std::pair<ServiceName, bool>;

  /// In milliseconds; per unit of work if it is stated.
  std::deque<double> Recent;
  /// The 95th percentile; absent while there are too few samples.
  std::optional<double> Quantile;

  void add(double Millis);
};

/// A part of a history as one replica has it: the turns after After or, without
/// it, from the first one on, to End.
struct HistorySegment {
  TurnId End;
  std::optional<TurnId> After;
  /// Size of the turns' texts.
  std::uint64_t Bytes = 0;
};

/// A history that is read from replicas while the target of one attempt
/// receives it.
struct HistoryTransfer {
  /// What is still to be read, the oldest turns first, and the position in the
  /// first segment.
  std::deque<HistorySegment> Unread;
  std::uint64_t Offset = 0;
  /// The part that is being read; its operation is that of the last query.
  std::optional<HistoryQuery> Wanted;
  Instant WantedSince;
  /// The replica that was asked for it, absent if there was none, and those
  /// that were asked before.
  std::optional<HolderId> Source;
  std::set<HolderId> TriedSources;
  Instant AskedAt;
  /// Bytes that were received and the target's connection has not taken.
  std::size_t UnwrittenBytes = 0;
};

/// The state of one turn at the ledger.
struct TurnLedger {
  bool HasClaim = false;
  bool IsSettled = false;
  /// The last OpenTurn sent to the replicas. IsHistoryRequested is set per
  /// replica when it is sent.
  OpenTurn OpenRequest;
  Instant OpenSentAt;
  /// Replicas that have answered or refused the current operation.
  std::set<HolderId> AnsweredBy;
  std::set<HolderId> RefusedBy;
  /// Those that have kept the origins of all streams for long enough.
  std::set<HolderId> AnsweredWithAllStreams;
  /// Those that have known the stream since its first event, and what they
  /// know of its output.
  std::set<HolderId> AnsweredWithOutput;
  std::optional<ResumedOutput> Resumed;
  /// Whether the replicas' answers suffice, but the key-value service has to
  /// confirm what this relay knows of it.
  bool IsAwaitingDirectory = false;
  std::map<Fingerprint, TokenClaim> Claims;
  std::set<HolderId> ReplicasWithPrevious;
  /// The target that ran the previous turn; empty if unknown.
  TargetId PreviousTarget;
  /// The replica from which history was last requested, those already tried,
  /// and the time of the last request.
  HolderId HistorySource;
  std::set<HolderId> TriedHistorySources;
  Instant HistoryRequestedAt;
  /// History known so far, collected from the newest turn backwards. The
  /// missing older part ends with turn LastMissingTurn; nothing if complete.
  std::vector<HistorySegment> HistorySegments;
  std::optional<TurnId> LastMissingTurn;
  /// The text of the segments. Empty if it is too long to be held; it is read
  /// while an attempt is sent then.
  std::string History;
  bool IsHistoryLong = false;
  /// What is reserved for History and its copies.
  std::size_t ReservedHistoryBytes = 0;

  std::uint64_t historyBytes() const {
    std::uint64_t Sum = 0;
    for (const HistorySegment &Each : this->HistorySegments)
      Sum += Each.Bytes;
    return Sum;
  }
};

/// A call's claim on its team's quota.
struct QuotaClaim {
  /// Whether the call is the first turn of a program, as far as is known.
  bool IsFirstTurn = false;
  /// Whether the call starts a program that no replica has let start yet.
  bool NeedsStart = false;
  /// Whether a replica has let the program start and nothing was sent since.
  bool HasStart = false;
  /// The replica that has been asked for this call and has not answered; empty
  /// if there is none.
  HolderId Asked;
  Instant AskedAt;
  Instant TimeoutAt;
  /// Replicas that have denied a permit or have not answered in time.
  std::set<HolderId> DeniedBy;
  /// The end of the permit that the call has taken; absent before that, and
  /// once the call has been sent.
  std::optional<Instant> PermitUntil;
};

/// A caller's request in progress.
struct RelayCall {
  RequestId Request;
  CallerRequest InboundRequest;
  /// Identifies the content, which keeps it when a caller sends it again under
  /// a new id.
  Fingerprint Content;
  /// Identifies the path, for requests that have only that in common.
  Fingerprint PathContent;
  RelayRoute Route;
  ServiceName Service;
  /// The team whose key the request carries; absent if it carries none.
  std::optional<TeamId> Team;
  /// The team's priority or, without a team, the route's; 0 is the most urgent.
  std::uint32_t Priority = 0;
  ConfigVersion Version;
  TokenCount TokensPerEvent;
  Instant Arrived;
  Instant Deadline;
  RelayPhase Phase = RelayPhase::Running;
  /// When it was queued to wait for capacity.
  Instant QueuedAt;
  /// Whether it is queued because targets that have room name a limit.
  bool IsAwaitingPermit = false;
  QuotaClaim Quota;
  TurnLedger Ledger;

  /// The current attempt; 0 if none.
  RelayAttemptId Attempt;
  TargetId Target;
  RegisteredTarget SentTo;
  Instant SentAt;
  /// When the head of the attempt's answer was received.
  Instant HeadAt;
  /// Whether the attempt's target seemed to have a free slot for it, and to be
  /// as fast as usual.
  bool HadFreeSlot = false;
  /// EventsSent at the time when the attempt was sent.
  std::uint32_t EventsBeforeAttempt = 0;
  /// Whether the attempt's first-byte timeout has been recorded as a failure.
  bool IsFirstByteTimeoutRecorded = false;
  /// Whether the current attempt is a hedge, and the other attempt if there are
  /// two.
  bool IsHedge = false;
  std::optional<HedgeAttempt> Hedge;
  /// Whether a hedge was sent for this call, and whether one was denied.
  bool HasBeenHedged = false;
  bool IsHedgeDenied = false;
  std::set<TargetId> TriedTargets;
  /// Sends after which the request may have run, and sends that targets did not
  /// run.
  std::uint32_t UncertainSends = 0;
  std::uint32_t RefusedSends = 0;

  std::optional<TargetAnswerHead> Head;
  /// Body bytes that are buffered and not forwarded yet.
  std::string BufferedBody;
  EventSplitter Splitter;
  std::uint32_t EventsSent = 0;
  /// The last event that the caller has, also from an earlier attempt; 0 if it
  /// has none.
  std::uint64_t LastEventId = 0;
  /// Where the stream began, once its first event was received or if the caller
  /// continues it. Only targets of the same version may go on with it.
  std::optional<StreamOrigin> Origin;
  /// Data of the events, stored as the turn's output in the history.
  std::string Output;
  /// The ends of this call's events in Output, if the caller may continue the
  /// stream, and how much of both the replicas were sent.
  std::vector<OutputMark> OutputMarks;
  std::size_t ReportedBytes = 0;
  std::size_t ReportedMarks = 0;
  /// Whether the answer's head has been sent to the caller, and whether events
  /// follow it.
  bool HasBegunAnswer = false;
  bool IsAnswerStreamed = false;
};

/// A stream that this relay began and its caller may continue.
struct ReportedStream {
  /// The id that the caller chose for the attempt.
  CallerAttemptId Request;
  Fingerprint Content;
  StreamOrigin Origin;
  /// The run that sent the first event.
  TargetRun Run;
  Instant StartedAt;
  Instant ExpiresAt;
};

/// A request that is deferred during start-up until it can be admitted.
struct DeferredRequest {
  CallerRequest InboundRequest;
  Instant Arrived;
};

/// The target that caches the prompt of a program or of one of its agents.
struct PromptCacheLocation {
  TargetId Target;
  Instant UsedAt;
};

/// A close that a quorum of replicas has not confirmed yet.
struct PendingClose {
  CloseTurn Message;
  std::set<HolderId> ConfirmedBy;
  /// The call whose answer is completed once the close is durable, if any.
  std::optional<RequestId> WaitingCall;
  Instant Since;
};

/// The last request of a relay for permits of one subject from one replica.
struct PermitInquiry {
  Instant AskedAt;
  /// Permits that are still awaited.
  std::uint32_t Awaited = 0;
  /// After a denial, when the replica has the next permit: for first turns of
  /// programs, and for other requests.
  Instant NextForFirstTurns{};
  Instant NextForOthers{};
};

/// The permits of one subject that a relay holds.
struct PermitStock {
  /// Until when each permit is valid, the first to end first.
  std::deque<Instant> ValidUntil;
  /// The last request to each replica.
  std::map<HolderId, PermitInquiry> Inquiries;
  /// Permits granted recently, and their rate at the last one. Without replicas
  /// the relay goes on at this rate.
  DecayingCount Granted;
  RequestRate LastShare;
  PermitBucket OwnShare;
  /// Requests of a team at this relay, and the last one.
  DecayingCount Requested;
  Instant RequestedAt;
  /// Requests of a team that were admitted here and have not been reported, and
  /// until when no program of the team may start.
  std::uint32_t UnreportedRequests = 0;
  /// Starts that were allowed and refused later for another reason.
  std::uint32_t ReturnedStarts = 0;
  Instant NextStartAt;
};

/// Paths of a route's requests.
struct PathGeneration {
  /// Whether a request with the path was answered.
  std::map<Fingerprint, bool> IsAnswered;
  /// Number of paths of each team; the empty team stands for none.
  std::map<TeamId, std::size_t> PathsOfTeam;
};

/// The paths of a route's last requests. There are two generations; the older
/// one is dropped once the newer one is full.
struct RoutePaths {
  PathGeneration Newer;
  PathGeneration Older;
};

/// The state of a relay.
struct RelayState {
  RelayOptions Options;
  HostId Self;
  ZoneId Zone;
  Instant Now;
  /// Now is also set between ticks, so stalls show only in this time.
  Instant LastTickAt;
  std::mt19937_64 Random;
  std::optional<RelayConfiguration> Configuration;
  tanagerlanding::ConfigurationProof ConfigurationProof;
  /// Added to the times in heartbeats; see heartbeatOf().
  Milliseconds HeartbeatOffset{0};
  std::map<TargetId, RelayTarget> Targets;
  std::map<ServiceName, std::set<TargetId>> TargetsByService;
  LoadExchange Loads;
  /// Runs of targets that stated in an answer that they are leaving, and when
  /// they last did. A run that leaves does not come back.
  std::map<TargetRun, Instant> LeavingRuns;
  /// The request limits that targets state in their answers.
  LimitTable Limits;
  /// Permits to send requests to runs that name a limit, and requests of teams
  /// that have a quota.
  std::map<PermitSubject, PermitStock> Permits;
  /// Calls in the phase AwaitingQuota.
  std::map<TeamId, std::set<RequestId>> CallsAwaitingQuota;
  /// Replicas that have not answered for a team's permit, and until when they
  /// are asked last.
  std::map<HolderId, Instant> SilentIssuersUntil;
  /// Time since which no replica has answered for a team's permit although one
  /// was asked or none is live.
  std::optional<Instant> NoIssuerSince;
  /// Requests for each service that were to be sent, and that were sent.
  std::map<ServiceName, DecayingCount> RequestRates;
  std::map<ServiceName, DecayingCount> SendRates;
  /// Turns that were sent for each team.
  std::map<TeamId, DecayingCount> TeamTurns;
  /// First turns of programs that were dispatched.
  std::map<ServiceName, DecayingCount> StartRates;
  std::map<ServiceName, DecayingCount> UsualStartRates;
  std::map<ServiceName, StartStock> ProgramStarts;
  std::map<ServiceName, LoadCurve> LoadCurves;
  /// Invalid limits that have been logged.
  std::set<std::pair<TargetRun, std::string>> ReportedInvalidLimits;
  /// Versions of targets that are no longer registered, and when they last
  /// were.
  std::map<ServiceName, std::map<SoftwareVersion, Instant>> FormerVersions;
  /// When versions may last have been in service unobserved, apart from
  /// outages of the key-value service, and when the services of each route last
  /// changed.
  std::optional<Instant> VersionsUnwatchedAt;
  std::map<RouteName, Instant> ServicesChangedAt;
  /// Streams that callers may continue, by the attempts that began them here.
  std::map<CallerAttemptId, ReportedStream> ReportedStreams;
  /// Calls with output that the replicas were not sent, and the reports that
  /// may be sent before the next tick.
  std::set<RequestId> UnreportedOutputs;
  PermitBucket OutputReports;
  /// Times to first byte from which hedge delays are taken, and the hedges that
  /// the share allows by now. Both are empty while hedging is off.
  std::map<FirstByteSamples::Key, FirstByteSamples> FirstByteTimes;
  std::map<ServiceName, double> HedgeCredits;
  /// Moving average of the time to first byte of each service, in milliseconds.
  std::map<ServiceName, double> TypicalFirstByteMillis;
  std::map<ServiceName, ServiceTimes> TypicalTimes;
  /// Moving average of the time that calls of each route run at their targets,
  /// in milliseconds.
  std::map<RouteName, double> RunMillis;
  bool IsKeyValueServiceReachable = false;
  Instant KeyValueServiceRegainedAt;
  /// Everything that the key-value service had confirmed before this time is
  /// known here; absent before its first answer.
  std::optional<Instant> DirectoryKnownAsOf;
  /// When ConfirmDirectory was last issued, until its result is known.
  std::optional<Instant> DirectoryAskedAt;
  LedgerView View;
  /// Replicas with an open connection.
  std::set<HolderId> ConnectedReplicas;
  /// Replicas that have reported that they can't reach the key-value service.
  std::set<HolderId> ReplicasWithoutKeyValueService;
  /// When a message was last received from each connected replica.
  std::map<HolderId, Instant> LastMessageAt;
  /// When this relay started, and whether start-up has ended.
  std::optional<Instant> StartedAt;
  bool HasFinishedStartup = false;
  std::map<RequestId, DeferredRequest> DeferredRequests;
  std::map<RequestId, RelayCall> Calls;
  /// Calls that are queued until a target has capacity.
  std::set<RequestId> QueuedCalls;
  std::map<RelayAttemptId, RequestId> Attempts;
  std::map<LedgerOperationId, RequestId> PendingOpens;
  std::map<LedgerOperationId, PendingClose> PendingCloses;
  /// Long histories that are being sent, the queries for their parts, and those
  /// that wait for room, the first to continue first.
  std::map<RelayAttemptId, HistoryTransfer> HistoryTransfers;
  std::map<LedgerOperationId, RelayAttemptId> PendingParts;
  std::deque<RelayAttemptId> TransfersAwaitingRoom;
  /// The memory of histories that are held with their calls, and of parts that
  /// are asked for or not written yet.
  ByteBudget HeldHistories;
  ByteBudget HistoryParts;
  /// Prompt cache locations by program and agent; see promptCacheKeysOf().
  std::map<std::string, PromptCacheLocation> PromptCacheLocations;
  Instant HintsExpiredAt;
  /// Evidence against contents that crash their targets.
  QuarantineTable Quarantine{SharedRunPolicy{}, SharedContentLimit};
  /// Attempts lost within LostAttemptRetention, by the run that they were sent
  /// to.
  std::map<TargetRun, TargetLosses> Losses;
  std::map<RouteName, RoutePaths> PathsByRoute;
  Instant CrashEvidenceReviewedAt;
  /// Whether running calls have to be checked against new evidence.
  bool HasNewCrashEvidence = false;
  /// When this relay lost the ledger's quorum; nothing while it has one. Starts
  /// far in the past, as a relay starts without a quorum.
  std::optional<Instant> LedgerLostSince = Instant{Milliseconds::min() / 2};
  std::uint64_t NextAttempt = 1;
  std::uint64_t NextOperation = 1;
  bool IsDraining = false;
  bool HasStoppedAccepting = false;
  bool HasRequestedExit = false;
  Instant DrainSince;
};

} // namespace tanagerlanding

#endif
