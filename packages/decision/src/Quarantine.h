/// \file
/// Request contents that crash their targets.
#ifndef TANAGERLANDING_DECISION_QUARANTINE_H
#define TANAGERLANDING_DECISION_QUARANTINE_H

#include "EntryContext.h"

namespace tanagerlanding {

/// How a content may be run.
enum class ContentStanding : std::uint8_t { Trusted, Suspect, Quarantined };

/// Returns how a content may be run. A suspect one runs alone.
ContentStanding standingOf(const EntryState &State, Fingerprint Content);

/// Notes that a content was in flight when its target crashed. One that was
/// suspect and ran alone is quarantined.
void noteCrash(EntryContext &Context, Fingerprint Content, bool RanAlone);

/// Notes that a suspect content ran to its end.
void clearSuspicion(EntryContext &Context, Fingerprint Content);

/// Takes what another entry found.
void handleSuspect(EntryContext &Context, const SuspectNotice &Notice);

/// Tells an entry that has come back all that is suspect.
void sendSuspicions(EntryContext &Context, const HostId &Host);

/// Drops what has not been seen for long.
void dropOldSuspicions(EntryContext &Context);

} // namespace tanagerlanding

#endif
