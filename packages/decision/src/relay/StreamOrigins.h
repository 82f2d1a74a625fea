/// \file
/// The software version at which a stream began. Streams of two versions do not
/// fit together, so only targets of that version may go on with a stream. The
/// ledger's replicas keep the origins for relays at which callers continue.
#ifndef TANAGERLANDING_DECISION_RELAY_STREAMORIGINS_H
#define TANAGERLANDING_DECISION_RELAY_STREAMORIGINS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// Returns whether a caller continues a stream with this call.
bool isContinuation(const RelayCall &Call);

/// Returns the attempt that began the stream that a call continues, with an id
/// that is unique over all teams; absent if the caller does not name it or
/// begins a stream.
std::optional<CallerAttemptId> resumedAttemptOf(const RelayCall &Call);

/// Returns whether a caller continues a stream with this call without naming
/// the attempt that began it.
bool isUnnamedContinuation(const RelayCall &Call);

/// Returns the longest time for which the caller of a call may continue its
/// stream. It counts from the first attempt of the caller.
Milliseconds streamLifetimeOf(const RelayState &State, const RelayCall &Call);

/// Returns how long after its arrival the caller of a call may continue its
/// stream.
Milliseconds streamRetentionOf(const RelayState &State, const RelayCall &Call);

/// Returns the origin of a stream that no replica knows: it is certain only if
/// the route has had one service, and all targets of the service one version,
/// for as long as a stream may last, and this relay has watched them meanwhile.
std::optional<StreamOrigin> soleOriginOf(const RelayState &State,
                                         const RelayCall &Call);

/// Notes which routes get other services with a new configuration.
void recordServiceChanges(RelayState &State,
                          const RelayConfiguration &Configuration);

/// Remembers the version of a target that is no longer registered.
void recordFormerVersion(RelayState &State, const RegisteredTarget &Entry);

/// Logs that a caller continues a stream whose origin is known.
void logContinuation(RelayContext &Context, const RelayCall &Call);

/// Records where a stream begins, at the relay and, if its caller may continue
/// it, at the replicas. Call this before its first event is sent to the caller.
void recordStreamStart(RelayContext &Context, RelayCall &Call);

/// Adds what a replica knows of the stream that a call continues.
void mergeResumedOrigin(RelayState &State, RelayCall &Call,
                        const StreamOrigin &Origin);

/// Returns whether a target may run a call: any target unless the call goes on
/// with a stream.
bool mayContinueAt(const RelayCall &Call, const RegisteredTarget &Target);

/// Returns whether a target that may run the call is registered, even if it
/// can't be used at present.
bool hasTargetOfOrigin(const RelayState &State, const RelayCall &Call);

/// Marks the origin of streams as unknown that were sent to an earlier run of a
/// target: the new run may already have begun them.
void invalidateOrigins(RelayContext &Context, const RegisteredTarget &Entry);

/// Tells a replica that has connected which streams this relay began. The
/// replica may have been unreachable or may have lost them in a restart.
void sendReportedStreamsTo(RelayContext &Context, const HolderId &Holder);

void expireReportedStreams(RelayState &State);

} // namespace tanagerlanding

#endif
