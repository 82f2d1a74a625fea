/// \file
/// Queues of the calls of each agent, and the steps that finish or retry the
/// active call.
#ifndef TANAGERLANDING_DECISION_AGENTQUEUES_H
#define TANAGERLANDING_DECISION_AGENTQUEUES_H

#include "EntryContext.h"

namespace tanagerlanding {

/// An agent's queue with the shard and program that it belongs to. Parts that
/// do not exist are null.
struct AgentQueueView {
  OwnedShard *Shard = nullptr;
  ProgramState *DurableState = nullptr;
  AgentQueue *Queue = nullptr;
  AgentQueueRef Ref;

  bool hasActive() const { return this->Queue && this->Queue->Active; }
  ActiveCall &active() const { return *this->Queue->Active; }
};

/// Returns an agent's queue; parts that do not exist are null.
AgentQueueView findAgentQueue(EntryContext &Context, const AgentQueueRef &Ref);

/// Returns the queue whose active call's current attempt is Id. The result has
/// no active call if there is none.
AgentQueueView findAttempt(EntryContext &Context, const AttemptId &Id);

/// Sets the phase of a call and the time of the change.
void setPhase(EntryContext &Context, ActiveCall &Active, CallPhase Phase);

/// Removes a call's current attempt from its target's outstanding count.
void removeFromTargetLoad(EntryState &State, ActiveCall &Active);

/// Removes the active call, whose waiters have been answered, and starts the
/// agent's next one.
void closeCall(EntryContext &Context, const AgentQueueView &View);

/// Fails the active call and answers its waiters at once.
void failCall(EntryContext &Context, const AgentQueueView &View, CallError Code,
              bool MayRetry, const char *Detail);

/// Finishes a call that may have run and must not run again. The failure is
/// stored as its final answer, and the reserved tokens are charged.
void finishUnknown(EntryContext &Context, const AgentQueueView &View);

/// Ends the current attempt without an answer; the call may be retried. The
/// reserved tokens are charged unless the attempt did not run.
void releaseAttempt(EntryContext &Context, const AgentQueueView &View,
                    Execution ExecutionStatus);

/// Schedules a retry after a backoff, or fails the call if it has no waiters,
/// attempts, retry credit or time left.
void retryOrFail(EntryContext &Context, const AgentQueueView &View);

} // namespace tanagerlanding

#endif
