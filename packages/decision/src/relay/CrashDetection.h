/// \file
/// Finds out which attempts were lost because their target crashed, and keeps
/// and spreads the evidence against their contents.
///
/// A closed connection alone does not show a crash: targets lose answers, and
/// networks reset connections. A target is taken for crashed if it refuses a
/// connection right after, or once another process serves at its address. If
/// the same process stays registered, the crash is refuted.
#ifndef TANAGERLANDING_DECISION_RELAY_CRASHDETECTION_H
#define TANAGERLANDING_DECISION_RELAY_CRASHDETECTION_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether a call's content is quarantined.
bool isQuarantined(const RelayState &State, const RelayCall &Call);

/// Returns whether a call's content has been in flight in a crash and not been
/// answered since.
bool isSuspect(const RelayState &State, const RelayCall &Call);

/// Returns how long a call's content stays quarantined if no crash follows.
Milliseconds quarantineTimeLeft(const RelayState &State, const RelayCall &Call);

/// Records that a call's attempt ended without a complete answer. Probes the
/// target if the connection was closed. A silent target is judged only by the
/// next registration at its address.
void recordLostAttempt(RelayContext &Context, const RelayCall &Call,
                       bool IsConnectionClosed);

/// Concludes from a probe of a target whether it crashed.
void handleTargetProbed(RelayContext &Context,
                        const TargetConnectionProbed &Event);

/// Concludes from a registration that the process before it at the same address
/// has ended.
void detectReplacedRun(RelayContext &Context, const RegisteredTarget &Entry);

/// Remembers the path of a call that ran to completion, and voids the evidence
/// against its content.
void clearCallContent(RelayContext &Context, const RelayCall &Call);

/// Applies evidence from a replica. Evidence against a path that this relay
/// knows to be answered is voided.
void handleSuspectNotice(RelayContext &Context, const SuspectNotice &Notice);

/// Sends all evidence to a replica that has connected.
void sendEvidenceTo(RelayContext &Context, const HolderId &Holder);

/// Refutes crashes of targets that are still registered, and drops what is too
/// old.
void reviewCrashEvidence(RelayContext &Context);

/// Cancels the attempts of quarantined calls whose targets have not begun to
/// answer, as they would crash them, and refuses the calls.
void stopQuarantinedCalls(RelayContext &Context);

} // namespace tanagerlanding

#endif
