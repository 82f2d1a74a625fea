/// \file
/// Quarantine of request contents that crash their targets.
#ifndef TANAGERLANDING_DECISION_QUARANTINE_H
#define TANAGERLANDING_DECISION_QUARANTINE_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Whether, and how, a request content may be run.
enum class ContentStatus : std::uint8_t { Trusted, Suspect, Quarantined };

/// Returns the status of a content. A suspect content runs isolated at its
/// target.
ContentStatus contentStatus(const EntryState &State, Fingerprint Content);

/// Records that a content was in flight when its target crashed. A suspect
/// content that ran isolated is quarantined.
void recordCrash(EntryContext &Context, Fingerprint Content, bool RanAlone);

/// Clears the suspicion of a content that ran to completion while isolated.
void clearSuspicion(EntryContext &Context, Fingerprint Content);

/// Applies a suspicion, or its clearance, reported by another entry.
void handleSuspect(EntryContext &Context, const SuspectNotice &Notice);

/// Sends all suspicions to an entry that has connected.
void sendSuspicions(EntryContext &Context, const HostId &Host);

/// Drops suspicions older than the retention period, and the oldest ones beyond
/// the limit on their number.
void dropOldSuspicions(EntryContext &Context);

} // namespace tanagerlanding

#endif
