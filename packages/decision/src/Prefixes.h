/// \file
/// Retention and release of the prefixes that targets hold for agents.
#ifndef TANAGERLANDING_DECISION_PREFIXES_H
#define TANAGERLANDING_DECISION_PREFIXES_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Records that the agent's prefix will be held at Target, and releases the one
/// at Former if that is another target.
void movePrefix(EntryContext &Context, AgentQueue &Queue,
                const AgentQueueRef &Ref, const HostId &Former,
                const HostId &Target);

/// Schedules the release of the prefix after PrefixRetention; the prefix of an
/// ended program is released at once.
void holdPrefix(EntryContext &Context, const ProgramState &DurableState,
                AgentQueue &Queue, const AgentQueueRef &Ref);

/// Releases the prefix of an agent that has been idle for PrefixRetention.
void releaseIdlePrefix(EntryContext &Context, const ProgramState &DurableState,
                       AgentQueue &Queue, const AgentQueueRef &Ref);

/// Releases an agent's prefix if it is still held.
void releasePrefix(EntryContext &Context, const ProgramState &DurableState,
                   AgentQueue &Queue, const ProgramId &Program,
                   const AgentId &Agent);

} // namespace tanagerlanding

#endif
