/// \file
/// Taking calls in: where they belong, whether they may run, who waits.
#ifndef TANAGERLANDING_DECISION_CALLADMISSION_H
#define TANAGERLANDING_DECISION_CALLADMISSION_H

#include "EntryContext.h"

namespace tanagerlanding {

/// Takes a local caller's request, or passes it to the shard's owner.
void handleCallArrived(EntryContext &Context, const CallArrived &Event);

/// Takes a call that another entry passed on. It is not passed on again.
void handleForwarded(EntryContext &Context, const HostId &Peer,
                     const ForwardCall &Forwarded);

/// A caller that waits here, or at the entry on Peer, has gone.
void handleCallerVanished(EntryContext &Context, const CallerVanished &Event);
void handleForwardCancelled(EntryContext &Context, const HostId &Peer,
                            const ForwardCancelled &Notice);

/// Passes an owner's answer on to the local caller.
void handleForwardAnswered(EntryContext &Context,
                           const ForwardAnswered &Answered);
void handleForwardChunk(EntryContext &Context, const ForwardChunk &Chunk);

/// Answers the callers whose calls were with an entry that is gone.
void failForwarded(EntryContext &Context, const HostId &Peer);

/// Gives an answer to one who waits.
void answerRoute(EntryContext &Context, const ReplyRoute &Route,
                 const CallAnswer &Answer);

/// Gives an answer to all who wait.
void answerWaiters(EntryContext &Context, const std::vector<Waiter> &Waiters,
                   const CallAnswer &Answer);

/// Gives a piece of an answer to those who want it in pieces.
void streamToWaiters(EntryContext &Context, const std::vector<Waiter> &Waiters,
                     const std::string &Bytes);

/// Counts the answer of a refused call by its cause.
CallFailure refusal(const EntryContext &Context, CallError Code, Execution Ran,
                    bool MayRetry, const char *Detail);

} // namespace tanagerlanding

#endif
