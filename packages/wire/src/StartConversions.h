/// \file
/// Conversions of messages about starts of programs.
#ifndef TANAGERLANDING_WIRE_STARTCONVERSIONS_H
#define TANAGERLANDING_WIRE_STARTCONVERSIONS_H

#include "messages_generated.h"
#include "tanagerlanding/decision/ProgramStarts.h"

namespace tanagerlanding {

wire::ProgramStartRequestT toTable(const ProgramStartRequest &Body);
ProgramStartRequest fromTable(const wire::ProgramStartRequestT &Table);
wire::ProgramStartGrantT toTable(const ProgramStartGrant &Body);
ProgramStartGrant fromTable(const wire::ProgramStartGrantT &Table);

} // namespace tanagerlanding

#endif
