#include "LimitConversions.h"

#include <cmath>
#include <memory>

namespace tanagerlanding {

namespace {

/// Returns nothing if the quota is no usable rate and burst.
std::optional<TeamQuotaNotice> fromTable(const wire::TeamQuotaRowT &Table) {
  const RequestQuota Quota{RequestRate{Table.requests_per_second}, Table.burst};
  const bool IsUsable = std::isfinite(Quota.Rate.PerSecond) &&
                        Quota.Rate.PerSecond > 0 &&
                        std::isfinite(Quota.Burst) && Quota.Burst >= 0;
  if (!IsUsable)
    return std::nullopt;
  return TeamQuotaNotice{TeamId(Table.team), ConfigVersion(Table.config),
                         Quota};
}

/// Sets the field of a row that holds what the sender knows of its subject.
class StatementEncoder {
public:
  explicit StatementEncoder(wire::PermitRequestRowT &Row) : Row(Row) {}

  void operator()(const TargetLimitNotice &Notice) {
    this->Row.stated =
        std::make_unique<wire::TargetLimitNoticeT>(toTable(Notice));
  }

  void operator()(const TeamQuotaNotice &Notice) {
    this->Row.quota = std::make_unique<wire::TeamQuotaRowT>();
    this->Row.quota->team = Notice.Team.Value;
    this->Row.quota->config = Notice.Version.Value;
    this->Row.quota->requests_per_second = Notice.Quota.Rate.PerSecond;
    this->Row.quota->burst = Notice.Quota.Burst;
  }

private:
  wire::PermitRequestRowT &Row;
};

} // namespace

wire::TargetLimitNoticeT toTable(const TargetLimitNotice &Body) {
  wire::TargetLimitNoticeT Table;
  Table.target = Body.Run.Target.Value;
  Table.started_at_ms = Body.Run.StartedAtMillis;
  Table.has_limit = Body.Limit.has_value();
  Table.requests_per_second = Body.Limit.value_or(RequestRate()).PerSecond;
  Table.sent_age_ms = Body.SentAge.count();
  Table.answer_age_ms = Body.AnswerAge.count();
  return Table;
}

std::optional<TargetLimitNotice>
fromTable(const wire::TargetLimitNoticeT &Table) {
  TargetLimitNotice Body;
  Body.Run = TargetRun{TargetId(Table.target), Table.started_at_ms};
  if (Table.has_limit) {
    const double PerSecond = Table.requests_per_second;
    if (!std::isfinite(PerSecond) || PerSecond <= 0)
      return std::nullopt;
    Body.Limit = RequestRate{PerSecond};
  }
  Body.SentAge = Milliseconds(Table.sent_age_ms);
  Body.AnswerAge = Milliseconds(Table.answer_age_ms);
  return Body;
}

wire::TargetLimitQueryT toTable(const TargetLimitQuery &) { return {}; }

TargetLimitQuery fromTable(const wire::TargetLimitQueryT &) { return {}; }

wire::PermitRequestT toTable(const PermitRequest &Body) {
  wire::PermitRequestT Table;
  Table.asked_at_ms = Body.AskedAt.SinceStart.count();
  for (const PermitRequest::Row &Each : Body.Rows) {
    auto Row = std::make_unique<wire::PermitRequestRowT>();
    std::visit(StatementEncoder(*Row), Each.Stated);
    Row->wanted = Each.Wanted;
    Row->first_turn = Each.IsFirstTurn;
    Row->program_start = Each.IsProgramStart;
    Row->admitted = Each.AdmittedRequests;
    Row->returned = Each.ReturnedStarts;
    Table.rows.push_back(std::move(Row));
  }
  return Table;
}

PermitRequest fromTable(const wire::PermitRequestT &Table) {
  PermitRequest Body;
  Body.AskedAt = Instant{Milliseconds(Table.asked_at_ms)};
  for (const auto &Row : Table.rows) {
    PermitRequest::Row Each;
    Each.Wanted = Row->wanted;
    Each.IsFirstTurn = Row->first_turn;
    Each.IsProgramStart = Row->program_start;
    Each.AdmittedRequests = Row->admitted;
    Each.ReturnedStarts = Row->returned;
    if (const auto Limit = Row->stated ? fromTable(*Row->stated) : std::nullopt)
      Each.Stated = *Limit;
    else if (const auto Quota =
                 Row->quota ? fromTable(*Row->quota) : std::nullopt)
      Each.Stated = *Quota;
    else
      continue;
    Body.Rows.push_back(std::move(Each));
  }
  return Body;
}

wire::PermitGrantT toTable(const PermitGrant &Body) {
  wire::PermitGrantT Table;
  if (const auto *Team = std::get_if<TeamId>(&Body.Subject)) {
    Table.team = Team->Value;
  } else {
    const auto &Run = std::get<TargetRun>(Body.Subject);
    Table.target = Run.Target.Value;
    Table.started_at_ms = Run.StartedAtMillis;
  }
  Table.count = Body.Count;
  Table.asked_at_ms = Body.AskedAt.SinceStart.count();
  Table.denied = Body.Denied;
  Table.next_in_ms = Body.NextIn.count();
  Table.first_turn = Body.IsFirstTurn;
  Table.program_start = Body.IsProgramStart;
  return Table;
}

PermitGrant fromTable(const wire::PermitGrantT &Table) {
  PermitGrant Body;
  if (!Table.team.empty())
    Body.Subject = TeamId(Table.team);
  else
    Body.Subject = TargetRun{TargetId(Table.target), Table.started_at_ms};
  Body.Count = Table.count;
  Body.AskedAt = Instant{Milliseconds(Table.asked_at_ms)};
  Body.Denied = Table.denied;
  Body.NextIn = Milliseconds(Table.next_in_ms);
  Body.IsFirstTurn = Table.first_turn;
  Body.IsProgramStart = Table.program_start;
  return Body;
}

} // namespace tanagerlanding
