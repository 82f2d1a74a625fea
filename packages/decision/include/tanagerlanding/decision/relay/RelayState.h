/// \file
/// The state of a relay.
#ifndef TANAGERLANDING_DECISION_RELAY_RELAYSTATE_H
#define TANAGERLANDING_DECISION_RELAY_RELAYSTATE_H

#include "tanagerlanding/decision/ledger/LedgerMessages.h"
#include "tanagerlanding/decision/relay/CallerRequest.h"
#include "tanagerlanding/decision/relay/EventSplitter.h"
#include "tanagerlanding/decision/relay/RelayConfiguration.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace tanagerlanding {

/// Limits and weights of a relay.
struct RelayOptions {
  /// A target without a registration is used this long after the key-value
  /// service is back; live ones register again within two seconds.
  Milliseconds MissingTargetGrace{2000};
  /// How long the ledger may take to answer before the turn is refused: a
  /// replica answers within its disk's sync, so that more means it is gone.
  Milliseconds LedgerLimit{700};
  /// A replica that has said nothing for this long is not counted on: its
  /// heartbeats come every 400 ms.
  Milliseconds ReplicaSilence{700};
  /// Ticks come every 25 ms; after a longer pause this process itself stood
  /// still, and what it did not hear says nothing about the others.
  Milliseconds TickGap{200};
  /// How long a replica is given to send a history before another is asked.
  Milliseconds HistoryLimit{100};
  /// When a refused caller may come back: the time in which a connection is
  /// made again or a restarted process serves.
  Milliseconds RetryAfter{250};
  /// How long after its start a relay keeps requests for which it lacks the
  /// configuration or the ledger: both come within a second where all hosts
  /// start together, and callers have few further tries.
  Milliseconds StartLimit{1000};
  /// A target that could not be reached is avoided this long, and twice as
  /// long after each further failure, up to AvoidLimit.
  Milliseconds AvoidBase{300};
  Milliseconds AvoidLimit{4000};
  /// Old answers and failures of a target count half after this time: relays
  /// see a target about once a second, and troubles last some seconds.
  Milliseconds HealthHalfLife{3000};
  /// Answers that a target is taken to have given before the first was seen.
  double HealthPrior = 4;
  /// What a request loses that fails at its target: callers give a silent
  /// stream up after two seconds.
  Milliseconds FailureCost{2000};
  /// A target that takes this many times as long as its service usually does
  /// to begin its answers is slow; hosts of a service differ by a third.
  double SlowFactor = 2;
  /// An attempt without an answer is taken for a failure after this many times
  /// the usual time, and after SilenceAtLeast: plain calls differ by that much.
  double SilenceFactor = 8;
  Milliseconds SilenceAtLeast{500};
  /// Sends of one request that targets refused before the caller is told.
  std::uint32_t RefusedSends = 3;
  /// What one more request at a target costs the others there, while slots are
  /// free and once all are taken. From the engines of today: a turn runs for
  /// some 200 ms, a twelfth of which a slot comes free in, and each prompt
  /// that is read holds the others up by about 10 ms.
  Milliseconds CostWhileFree{10};
  Milliseconds CostWhenFull{25};
  /// Prompt tokens that an engine reads in a millisecond. Reading them again
  /// costs the request itself and those beside it.
  double PromptTokensPerMilli = 100;
  /// What a request to another zone must gain to be worth its bytes.
  Milliseconds OtherZoneCost{6};
  /// How long it is remembered where a program last ran, and for how many.
  Milliseconds HomeRetention{15000};
  std::size_t HomeLimit = 20000;
  /// A relay without a quorum of the ledger for this long tells the balancer
  /// that it isn't ready: it could only refuse turns.
  Milliseconds UnreadyAfter{300};
  /// Requests per slot, beyond which a target gets no more: more would wait
  /// there longer than a caller's retry takes.
  double FullFactor = 2.5;
  /// Requests per slot, up to which a target gets turns of programs that only
  /// begin, and of programs whose time is up. Under it the targets' slots stay
  /// in use; beyond it turns wait here, where they can be ordered, while those
  /// of programs under way go first.
  double StartFactor = 1.0;
  double LateFactor = 0.85;
  /// A turn that has waited here for this part of its caller's time goes like
  /// any other: the rest leaves it time to run.
  double WaitShare = 0.5;
  /// The part of a program's time that its beginning may be waited for. A
  /// program's time is at least a fifth more than it takes on idle targets.
  double StartSlack = 0.25;
  /// Waiting turns that may go in one tick, so that relays which see the same
  /// free target don't all send theirs at once.
  std::uint32_t SendsPerTick = 2;
  /// Slots of a target that does not tell.
  std::uint32_t DefaultSlots = 4;
  /// Bytes of an answer that are held back so that the request can be tried
  /// again; beyond them the answer is passed on as it comes.
  std::size_t HeldAnswerBytes = 256 * 1024;
  /// Turns up to this many claims away from the end of the budget are checked
  /// a second time, as claims made at the same moment may not have been seen.
  std::uint64_t BudgetMarginClaims = 16;
  /// After a request to stop, how long the balancer may still send new
  /// connections: two missed readiness checks a second apart, and one more.
  Milliseconds DrainAccept{3200};
  /// How long requests under way may take after a request to stop.
  Milliseconds DrainLimit{7300};
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
  /// When it started, in milliseconds since the Unix epoch; 0 if not told. A
  /// target may start again under its id.
  std::int64_t BornMillis = 0;
};

/// What a relay has lately seen of a target's answers.
struct TargetHealth {
  /// Answers that have begun and attempts that have failed; they lose weight
  /// with time, as of CountedAt.
  double Answers = 0;
  double Failures = 0;
  Instant CountedAt;
  /// How long the target takes to begin an answer, in milliseconds; 0 if not
  /// known.
  double BeginMillis = 0;
};

/// A target as this relay sees it.
struct RelayTarget {
  RegisteredTarget Entry;
  /// Own attempts under way.
  std::uint32_t Outstanding = 0;
  /// What others had there when the target last told its load.
  std::uint32_t OthersLoad = 0;
  Instant LoadAt;
  /// Set while the registration is gone but the target may be alive.
  std::optional<Instant> MissingSince;
  /// Consecutive failures to reach it, and until when it is avoided for them.
  std::uint32_t Failures = 0;
  Instant AvoidUntil;
  TargetHealth Health;
};

/// How far a caller's request is.
enum class RelayPhase : std::uint8_t {
  /// The ledger is asked for the claim and the previous turn.
  Opening,
  /// The claims are read again, near the end of the budget.
  Confirming,
  /// The history is being collected.
  Collecting,
  /// It waits here until a target has room.
  Waiting,
  /// An attempt is at a target.
  Running,
  /// The turn is being made durable; only the end of its answer is missing.
  Closing,
};

/// The ledger's part in one turn.
struct TurnLedger {
  bool HasClaim = false;
  bool IsSettled = false;
  /// What the replicas were asked last, but for who is to send the history.
  OpenTurn Asked;
  Instant AskedAt;
  /// Replicas that have answered or refused the present operation.
  std::set<HolderId> Answered;
  std::set<HolderId> Refused;
  std::map<Fingerprint, TokenClaim> Claims;
  std::set<HolderId> KnowPrevious;
  /// Where the previous turn ran.
  TargetId PreviousTarget;
  /// The replica that was last asked for history, and when.
  HolderId HistoryAsked;
  std::set<HolderId> HistoryTried;
  Instant HistoryAskedAt;
  /// History collected so far, newest part first found; what is missing ends
  /// with HistoryNeeded.
  std::string History;
  std::optional<TurnId> HistoryNeeded;
};

/// A caller's request under way.
struct RelayCall {
  RequestId Request;
  CallerRequest Asked;
  RelayRoute Route;
  ServiceName Service;
  ConfigVersion Version;
  TokenCount TokensPerEvent;
  Instant Arrived;
  Instant Deadline;
  RelayPhase Phase = RelayPhase::Running;
  /// Since when it has been waiting for room.
  Instant WaitsSince;
  TurnLedger Ledger;

  /// The present attempt; 0 if none.
  RelayAttemptId Attempt;
  TargetId Target;
  Instant SentAt;
  /// Whether the attempt's silence has been counted.
  bool IsSilenceNoted = false;
  std::set<TargetId> Tried;
  /// Sends after which the request may have run, and those refused.
  std::uint32_t MayHaveRun = 0;
  std::uint32_t RefusedSends = 0;

  std::optional<TargetAnswerHead> Head;
  /// Body bytes that are held back.
  std::string Held;
  EventSplitter Splitter;
  std::uint32_t EventsSent = 0;
  std::uint64_t LastEventId = 0;
  /// The events' data, kept for the history.
  std::string Output;
  /// Whether the caller has the beginning of the answer.
  bool IsAnswering = false;
};

/// A request that is kept until this relay, which has just started, can admit
/// it.
struct EarlyRequest {
  CallerRequest Asked;
  Instant Arrived;
};

/// Where a program's or a session's prompt is cached.
struct PromptHome {
  TargetId Target;
  Instant UsedAt;
};

/// A close that too few replicas have confirmed.
struct PendingClose {
  CloseTurn Message;
  std::set<HolderId> Confirmed;
  /// The call whose answer ends once the close is durable, if it still waits.
  std::optional<RequestId> Waiting;
  Instant Since;
};

/// The state of a relay.
struct RelayState {
  RelayOptions Options;
  HostId Self;
  ZoneId Zone;
  Instant Now;
  std::mt19937_64 Random;
  std::optional<RelayConfiguration> Configuration;
  std::map<TargetId, RelayTarget> Targets;
  std::map<ServiceName, std::set<TargetId>> TargetsByService;
  /// How long a service's targets usually take to begin an answer, in
  /// milliseconds.
  std::map<ServiceName, double> TypicalBegin;
  bool IsServiceReachable = false;
  Instant ServiceRegainedAt;
  LedgerView View;
  /// Replicas with an open connection.
  std::set<HolderId> Connected;
  /// Replicas that have told that they don't reach the key-value service.
  std::set<HolderId> WithoutService;
  /// When each of them last said anything.
  std::map<HolderId, Instant> HeardAt;
  /// When this relay started, and whether its start is over.
  std::optional<Instant> StartedAt;
  bool HasBegun = false;
  std::map<RequestId, EarlyRequest> EarlyRequests;
  std::map<RequestId, RelayCall> Calls;
  /// Calls that wait for room at a target.
  std::set<RequestId> Waiting;
  std::map<RelayAttemptId, RequestId> Attempts;
  std::map<LedgerOperationId, RequestId> Opens;
  std::map<LedgerOperationId, PendingClose> Closes;
  /// By program and session; see homeKeysOf().
  std::map<std::string, PromptHome> Homes;
  Instant HomesReviewedAt;
  /// Since when the ledger has had no quorum here; before the start, as a relay
  /// begins without one.
  std::optional<Instant> LedgerLostSince = Instant{Milliseconds::min() / 2};
  std::uint64_t NextAttempt = 1;
  std::uint64_t NextOperation = 1;
  bool IsDraining = false;
  bool HasStoppedAccepting = false;
  bool HasAskedExit = false;
  Instant DrainSince;
};

} // namespace tanagerlanding

#endif
