#include "LimitConversions.h"

#include <cmath>
#include <memory>

namespace tanagerlanding {

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
    Row->stated =
        std::make_unique<wire::TargetLimitNoticeT>(toTable(Each.Stated));
    Row->wanted = Each.Wanted;
    Table.rows.push_back(std::move(Row));
  }
  return Table;
}

PermitRequest fromTable(const wire::PermitRequestT &Table) {
  PermitRequest Body;
  Body.AskedAt = Instant{Milliseconds(Table.asked_at_ms)};
  for (const auto &Row : Table.rows) {
    const auto Stated = Row->stated ? fromTable(*Row->stated) : std::nullopt;
    if (Stated)
      Body.Rows.push_back(PermitRequest::Row{*Stated, Row->wanted});
  }
  return Body;
}

wire::PermitGrantT toTable(const PermitGrant &Body) {
  wire::PermitGrantT Table;
  Table.target = Body.Run.Target.Value;
  Table.started_at_ms = Body.Run.StartedAtMillis;
  Table.count = Body.Count;
  Table.asked_at_ms = Body.AskedAt.SinceStart.count();
  return Table;
}

PermitGrant fromTable(const wire::PermitGrantT &Table) {
  return PermitGrant{TargetRun{TargetId(Table.target), Table.started_at_ms},
                     Table.count, Instant{Milliseconds(Table.asked_at_ms)}};
}

} // namespace tanagerlanding
