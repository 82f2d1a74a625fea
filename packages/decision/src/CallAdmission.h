/// \file
/// Admission of calls: forwarding to the shard's owner, checks, and delivery of
/// answers to the callers that wait.
#ifndef TANAGERLANDING_DECISION_CALLADMISSION_H
#define TANAGERLANDING_DECISION_CALLADMISSION_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Admits a local caller's request, or forwards it to the shard's owner.
void handleCallArrived(EntryContext &Context, const CallArrived &Event);

/// Admits a call that another entry forwarded. It is not forwarded again.
void handleForwarded(EntryContext &Context, const HostId &Peer,
                     const ForwardCall &Forwarded);

/// Handles the disconnection of a caller that waits here, or at the entry on
/// Peer.
void handleCallerDisconnected(EntryContext &Context,
                              const CallerDisconnected &Event);
void handleForwardCancelled(EntryContext &Context, const HostId &Peer,
                            const ForwardCancelled &Notice);

/// Passes an owner's answer to the local caller.
void handleForwardAnswered(EntryContext &Context,
                           const ForwardAnswered &Answered);
void handleForwardChunk(EntryContext &Context, const ForwardChunk &Chunk);

/// Answers the callers whose calls were forwarded to an entry that has
/// disconnected.
void failForwarded(EntryContext &Context, const HostId &Peer);

/// Sends an answer along a route. A failure is counted in refused_total by its
/// error code.
void answerRoute(EntryContext &Context, const ReplyRoute &Route,
                 const CallAnswer &Answer);

/// Sends an answer to all waiters.
void answerWaiters(EntryContext &Context, const std::vector<Waiter> &Waiters,
                   const CallAnswer &Answer);

/// Sends a chunk of an answer to the waiters that requested streaming.
void streamToWaiters(EntryContext &Context, const std::vector<Waiter> &Waiters,
                     const std::string &Bytes);

/// Returns the failure for a refused call; RetryAfter is 0 unless MayRetry is
/// set.
CallFailure refusal(const EntryContext &Context, CallError Code,
                    Execution ExecutionStatus, bool MayRetry,
                    const char *Detail);

} // namespace tanagerlanding

#endif
