#include "tanagerlanding/decision/TargetLimits.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// The time whose permits a bucket may hold, beyond a single permit. Covers the
/// interval at which replicas issue permits.
constexpr double BurstSeconds = 0.1;

bool isLower(const std::optional<RequestRate> &Left,
             const std::optional<RequestRate> &Right) {
  return Left && (!Right || *Left < *Right);
}

LimitChange changeOf(const std::optional<RequestRate> &Before,
                     const std::optional<RequestRate> &After) {
  if (Before == After)
    return LimitChange::None;
  if (!Before)
    return LimitChange::Named;
  return After ? LimitChange::Changed : LimitChange::Ended;
}

} // namespace

void PermitBucket::accrue(RequestRate Rate, Instant Now) {
  this->accrue(Rate, Now, 1 + Rate.PerSecond * BurstSeconds);
}

void PermitBucket::accrue(RequestRate Rate, Instant Now, double Capacity) {
  const double Seconds =
      std::chrono::duration<double>(Now - this->AccruedAt).count();
  this->Available =
      std::min(Capacity, this->Available + Rate.PerSecond * Seconds);
  this->AccruedAt = Now;
}

bool PermitBucket::take() {
  if (this->Available < 1)
    return false;
  --this->Available;
  return true;
}

const char *toString(LimitChange Change) {
  switch (Change) {
  case LimitChange::None:
    return "none";
  case LimitChange::Named:
    return "named";
  case LimitChange::Changed:
    return "changed";
  case LimitChange::Ended:
    return "ended";
  }
  return "unknown";
}

std::optional<RequestRate> limitOf(const LimitTable &Table,
                                   const TargetRun &Run) {
  const auto Found = Table.Observations.find(Run);
  return Found == Table.Observations.end() ? std::nullopt : Found->second.Limit;
}

LimitChange mergeObservation(LimitTable &Table, const TargetRun &Run,
                             const LimitObservation &Observed) {
  const auto Found = Table.Observations.find(Run);
  if (Found == Table.Observations.end()) {
    if (!Observed.Limit)
      return LimitChange::None;
    Table.Observations[Run] = Observed;
    return LimitChange::Named;
  }
  LimitObservation &Known = Found->second;
  const bool IsNewer = Known.AnsweredAt <= Observed.SentAt;
  if (!IsNewer && !isLower(Observed.Limit, Known.Limit)) {
    if (Observed.Limit == Known.Limit)
      Known.AnsweredAt = std::max(Known.AnsweredAt, Observed.AnsweredAt);
    return LimitChange::None;
  }
  const LimitChange Change = changeOf(Known.Limit, Observed.Limit);
  Known = Observed;
  return Change;
}

LimitChange mergeNotice(LimitTable &Table, const TargetLimitNotice &Notice,
                        Instant Now) {
  return mergeObservation(Table, Notice.Run,
                          LimitObservation{Notice.Limit, Now - Notice.SentAge,
                                           Now - Notice.AnswerAge});
}

std::optional<TargetLimitNotice> noticeOf(const LimitTable &Table,
                                          const TargetRun &Run, Instant Now) {
  const auto Found = Table.Observations.find(Run);
  if (Found == Table.Observations.end())
    return std::nullopt;
  const LimitObservation &Known = Found->second;
  return TargetLimitNotice{Run, Known.Limit, Now - Known.SentAt,
                           Now - Known.AnsweredAt};
}

std::vector<TargetLimitNotice> allNotices(const LimitTable &Table,
                                          Instant Now) {
  std::vector<TargetLimitNotice> Notices;
  for (const auto &[Run, Known] : Table.Observations) {
    if (Known.Limit)
      Notices.push_back(*noticeOf(Table, Run, Now));
  }
  return Notices;
}

void expireLimits(LimitTable &Table, Milliseconds Retention, Instant Now) {
  for (auto Each = Table.Observations.begin();
       Each != Table.Observations.end();)
    Each = Retention < Now - Each->second.AnsweredAt
               ? Table.Observations.erase(Each)
               : std::next(Each);
}

} // namespace tanagerlanding
