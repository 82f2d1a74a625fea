/// \file
/// The request rates that targets state they take from all relays together,
/// the quotas of teams, and the permits that replicas issue for both. Relays
/// and ledger replicas keep them by the same rules.
#ifndef TANAGERLANDING_DECISION_TARGETLIMITS_H
#define TANAGERLANDING_DECISION_TARGETLIMITS_H

#include "tanagerlanding/decision/CrashEvidence.h"
#include "tanagerlanding/decision/relay/RelayConfiguration.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// What one answer of a target stated.
struct LimitObservation {
  /// Absent if the answer named no limit.
  std::optional<RequestRate> Limit;
  /// When the request was sent, and when the head of its answer was received.
  Instant SentAt;
  Instant AnsweredAt;
};

/// What a target last stated, in a form that other processes can use: ages
/// instead of times.
struct TargetLimitNotice {
  TargetRun Run;
  std::optional<RequestRate> Limit;
  Milliseconds SentAge{0};
  Milliseconds AnswerAge{0};
};

/// Asks a replica for all limits that it knows of.
struct TargetLimitQuery {};

/// A team's quota as a version of the configuration states it.
struct TeamQuotaNotice {
  TeamId Team;
  ConfigVersion Version;
  RequestQuota Quota;
};

/// What a permit is for: a request to a run of a target, or a request of a
/// team.
using PermitSubject = std::variant<TargetRun, TeamId>;

/// Asks a replica for permits. A later message about a target replaces an
/// earlier one of the same sender, as requests for targets wait at the replica.
/// Each row about a team is answered at once by one PermitGrant.
struct PermitRequest {
  struct Row {
    /// The limit or quota as the sender knows it.
    std::variant<TargetLimitNotice, TeamQuotaNotice> Stated;
    std::uint32_t Wanted = 0;
    /// Whether the permits of a team are for first turns of programs.
    bool IsFirstTurn = false;
    /// Asks whether a program of the team may start, not for a request.
    bool IsProgramStart = false;
    /// Requests of the team that the sender has admitted since its last row
    /// about the start of a program.
    std::uint32_t AdmittedRequests = 0;
    /// For a program start: earlier starts that were allowed and whose first
    /// turn was refused for another reason.
    std::uint32_t ReturnedStarts = 0;
  };
  /// The time on the sender's clock, which the permits return.
  Instant AskedAt;
  std::vector<Row> Rows;
};

/// Permits a number of requests. They are valid for a time from AskedAt, so
/// that a delay on the way cannot add up permits.
struct PermitGrant {
  PermitSubject Subject;
  std::uint32_t Count = 0;
  Instant AskedAt;
  /// The permits of a team that were asked for and not granted, and the time
  /// after which the replica has the next one.
  std::uint32_t Denied = 0;
  Milliseconds NextIn{0};
  bool IsFirstTurn = false;
  bool IsProgramStart = false;
};

/// How an observation changed what is known of a target.
enum class LimitChange : std::uint8_t { None, Named, Changed, Ended };

const char *toString(LimitChange Change);

/// The last observation of each run of a target that has named a limit. An
/// observation without a limit is kept for a while, so that older answers that
/// arrive later are recognized.
struct LimitTable {
  std::map<TargetRun, LimitObservation> Observations;
};

/// Issues permits evenly at a rate. Apart from a small burst, what is not taken
/// is lost, so that idle time does not allow a burst later.
struct PermitBucket {
  double Available = 0;
  Instant AccruedAt;

  void accrue(RequestRate Rate, Instant Now);
  /// The same with a stated number of permits that the bucket may hold.
  void accrue(RequestRate Rate, Instant Now, double Capacity);
  /// Takes one permit. Returns false if there is none.
  bool take();
};

/// Returns the limit in force for a run; absent if it has none.
std::optional<RequestRate> limitOf(const LimitTable &Table,
                                   const TargetRun &Run);

/// Merges an observation. Answers may be received out of order, also by way of
/// other relays: an answer is certainly newer than another if its request was
/// sent after the other was received. Of two answers that overlap, the lower
/// limit holds until a newer one is received.
LimitChange mergeObservation(LimitTable &Table, const TargetRun &Run,
                             const LimitObservation &Observed);

LimitChange mergeNotice(LimitTable &Table, const TargetLimitNotice &Notice,
                        Instant Now);

/// Returns what a run last stated; absent if it has never named a limit.
std::optional<TargetLimitNotice> noticeOf(const LimitTable &Table,
                                          const TargetRun &Run, Instant Now);

/// Returns notices of all limits in force.
std::vector<TargetLimitNotice> allNotices(const LimitTable &Table, Instant Now);

/// Removes observations older than Retention.
void expireLimits(LimitTable &Table, Milliseconds Retention, Instant Now);

} // namespace tanagerlanding

#endif
