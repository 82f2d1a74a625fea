/// \file
/// The request rates that targets state they take from all relays together.
/// Relays and ledger replicas keep them by the same rules.
#ifndef TANAGERLANDING_DECISION_TARGETLIMITS_H
#define TANAGERLANDING_DECISION_TARGETLIMITS_H

#include "tanagerlanding/decision/CrashEvidence.h"

#include <map>
#include <optional>
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

/// How an observation changed what is known of a target.
enum class LimitChange : std::uint8_t { None, Named, Changed, Ended };

const char *toString(LimitChange Change);

/// The last observation of each run of a target that has named a limit. An
/// observation without a limit is kept for a while, so that older answers that
/// arrive later are recognized.
struct LimitTable {
  std::map<TargetRun, LimitObservation> Observations;
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

/// Returns notices of all limits in force.
std::vector<TargetLimitNotice> allNotices(const LimitTable &Table, Instant Now);

/// Removes observations older than Retention.
void expireLimits(LimitTable &Table, Milliseconds Retention, Instant Now);

} // namespace tanagerlanding

#endif
