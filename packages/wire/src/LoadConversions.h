/// \file
/// Conversions between the messages about loads of targets and the generated
/// FlatBuffers tables.
#ifndef TANAGERLANDING_WIRE_LOADCONVERSIONS_H
#define TANAGERLANDING_WIRE_LOADCONVERSIONS_H

#include "messages_generated.h"
#include "tanagerlanding/decision/TargetLoads.h"

namespace tanagerlanding {

/// Rows hold bytes, so that many fit into a message: ages in steps of 8 ms,
/// present slow-downs in steps of 4%, slownesses in steps of 2.2%. A report
/// with a figure that does not fit is left out, as a wrong load would attract
/// or repel requests.
wire::TargetLoadReportT toTable(const TargetLoadReport &Body);
TargetLoadReport fromTable(const wire::TargetLoadReportT &Table);
wire::TargetLoadViewT toTable(const TargetLoadView &Body);
TargetLoadView fromTable(const wire::TargetLoadViewT &Table);

} // namespace tanagerlanding

#endif
