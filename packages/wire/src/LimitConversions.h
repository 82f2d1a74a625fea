/// \file
/// Conversions between the messages about limits of targets and permits and the
/// generated FlatBuffers tables.
#ifndef TANAGERLANDING_WIRE_LIMITCONVERSIONS_H
#define TANAGERLANDING_WIRE_LIMITCONVERSIONS_H

#include "messages_generated.h"
#include "tanagerlanding/decision/TargetLimits.h"

#include <optional>

namespace tanagerlanding {

wire::TargetLimitNoticeT toTable(const TargetLimitNotice &Body);
/// Returns nothing if the limit is no usable rate.
std::optional<TargetLimitNotice>
fromTable(const wire::TargetLimitNoticeT &Table);
wire::TargetLimitQueryT toTable(const TargetLimitQuery &Body);
TargetLimitQuery fromTable(const wire::TargetLimitQueryT &Table);
wire::PermitRequestT toTable(const PermitRequest &Body);
/// Leaves out rows without a usable limit or quota.
PermitRequest fromTable(const wire::PermitRequestT &Table);
wire::PermitGrantT toTable(const PermitGrant &Body);
PermitGrant fromTable(const wire::PermitGrantT &Table);

} // namespace tanagerlanding

#endif
