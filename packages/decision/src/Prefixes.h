/// \file
/// How long targets hold the prefixes of agents.
#ifndef TANAGERLANDING_DECISION_PREFIXES_H
#define TANAGERLANDING_DECISION_PREFIXES_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Notes that the agent's prefix will be at Target, and frees the one it
/// leaves behind at Former.
void movePrefix(EntryContext &Context, AgentLine &Line, const LineRef &Ref,
                const HostId &Former, const HostId &Target);

/// Keeps the prefix over a pause; one of an ended program goes at once.
void holdPrefix(EntryContext &Context, const ProgramLedger &Ledger,
                AgentLine &Line, const LineRef &Ref);

/// Frees the prefix of a line whose pause has lasted too long.
void releaseIdlePrefix(EntryContext &Context, const ProgramLedger &Ledger,
                       AgentLine &Line, const LineRef &Ref);

/// Frees the prefix of a line.
void releasePrefix(EntryContext &Context, const ProgramLedger &Ledger,
                   AgentLine &Line, const ProgramId &Program,
                   const AgentId &Agent);

} // namespace tanagerlanding

#endif
