/// \file
/// Quarantine of request contents that crash the targets of an entry. See
/// CrashEvidence.h for the evidence and the decision.
#ifndef TANAGERLANDING_DECISION_QUARANTINE_H
#define TANAGERLANDING_DECISION_QUARANTINE_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Records that a call was in flight when its target crashed, and tells the
/// other entries.
void recordCallCrash(EntryContext &Context, const ActiveCall &Active);

/// Clears the suspicion of a content that ran to completion while isolated.
void clearSuspicion(EntryContext &Context, Fingerprint Content);

/// Applies a suspicion, or its clearance, reported by another entry.
void handleSuspect(EntryContext &Context, const SuspectNotice &Notice);

/// Sends all suspicions to an entry that has connected.
void sendSuspicions(EntryContext &Context, const HostId &Host);

} // namespace tanagerlanding

#endif
