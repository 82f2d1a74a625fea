#include "CallAdmission.h"

#include "CallAttempts.h"
#include "CallDeadlines.h"
#include "Durability.h"
#include "Membership.h"
#include "Ownership.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Sends an answer along a route.
class RouteAnswerer {
public:
  RouteAnswerer(EntryContext &Context, const CallAnswer &Answer)
      : Context(Context), Answer(Answer) {}

  void operator()(const LocalRoute &Route) {
    if (this->Context.State.Requests.erase(Route.Request) > 0)
      this->Context.Effects.push_back(
          AnswerCaller{Route.Request, this->Answer});
  }

  void operator()(const PeerRoute &Route) {
    this->Context.send(Route.Peer,
                       ForwardAnswered{Route.Request, this->Answer});
  }

private:
  EntryContext &Context;
  const CallAnswer &Answer;
};

/// Sends a chunk of an answer along a route.
class RouteStreamer {
public:
  RouteStreamer(EntryContext &Context, const std::string &Bytes)
      : Context(Context), Bytes(Bytes) {}

  void operator()(const LocalRoute &Route) {
    this->Context.Effects.push_back(StreamToCaller{Route.Request, this->Bytes});
  }

  void operator()(const PeerRoute &Route) {
    this->Context.send(Route.Peer, ForwardChunk{Route.Request, this->Bytes});
  }

private:
  EntryContext &Context;
  const std::string &Bytes;
};

bool isSameRoute(const ReplyRoute &A, const ReplyRoute &B) {
  if (A.index() != B.index())
    return false;
  if (const auto *Local = std::get_if<LocalRoute>(&A))
    return Local->Request == std::get<LocalRoute>(B).Request;
  const PeerRoute &PeerA = std::get<PeerRoute>(A);
  const PeerRoute &PeerB = std::get<PeerRoute>(B);
  return PeerA.Peer == PeerB.Peer && PeerA.Request == PeerB.Request;
}

/// Removes the waiter with the given route. Returns whether there was one.
bool removeWaiter(std::vector<Waiter> &Waiters, const ReplyRoute &Route) {
  const auto End =
      std::remove_if(Waiters.begin(), Waiters.end(), [&](const Waiter &Each) {
        return isSameRoute(Each.Route, Route);
      });
  const bool WasThere = End != Waiters.end();
  Waiters.erase(End, Waiters.end());
  return WasThere;
}

void refuse(EntryContext &Context, const ReplyRoute &Route, CallError Code,
            bool MayRetry, const char *Detail) {
  const CallFailure Failure =
      refusal(Context, Code, Execution::NotRun, MayRetry, Detail);
  answerRoute(Context, Route, Failure);
}

/// Returns whether the shard has been unable to make records durable for
/// AppendTimeout or longer.
bool isStalled(const EntryContext &Context, const OwnedShard &Shard) {
  const Milliseconds Limit = Context.State.Options.AppendTimeout;
  if (Shard.Phase != ShardPhase::Serving &&
      Context.now() - Shard.StoppedAt >= Limit)
    return true;
  return !Shard.Pending.empty() &&
         Context.now() - Shard.Pending.front().Since >= Limit;
}

/// Admits one call to a shard that findUsable() returned.
class CallAdmitter {
public:
  CallAdmitter(EntryContext &Context, OwnedShard &Shard, ShardId Id,
               const Call &RequestedCall, Waiter Caller)
      : Context(Context), Shard(Shard), Id(Id), RequestedCall(RequestedCall),
        Caller(Caller) {}

  void admit() {
    if (isStalled(this->Context, this->Shard)) {
      this->refuse(CallError::NotDurable, true,
                   "the program's journal can't be written now");
      return;
    }
    if (!this->findOrStartProgram())
      return;
    if (this->Program->Team != this->RequestedCall.Team) {
      this->refuse(CallError::ForeignProgram, false,
                   "the program belongs to another team");
      return;
    }
    if (this->repeatsEarlierCall())
      return;
    if (this->Program->HasEnded) {
      this->refuse(CallError::ProgramEnded, false, "the program has ended");
      return;
    }
    if (this->RequestedCall.Kind == CallKind::EndProgram)
      this->end();
    else
      this->enqueue();
  }

private:
  bool findOrStartProgram() {
    auto Found = this->Shard.DurableState.find(this->RequestedCall.Program);
    if (Found == this->Shard.DurableState.end()) {
      if (!this->RequestedCall.Grant) {
        this->refuse(CallError::MissingBudget, false,
                     "the first call of a program must carry its budget");
        return false;
      }
      appendRecord(this->Context, this->Shard, this->Id,
                   ProgramStarted{this->RequestedCall.Program,
                                  this->RequestedCall.Team,
                                  *this->RequestedCall.Grant},
                   std::monostate());
      Found = this->Shard.DurableState.find(this->RequestedCall.Program);
    }
    this->Program = &Found->second;
    ProgramRuntime &Runtime = this->Shard.Programs[this->RequestedCall.Program];
    const bool IsNew = Runtime.LastUsed.SinceStart == Milliseconds(0);
    Runtime.LastUsed = this->Context.now();
    if (IsNew)
      scheduleProgramCheck(this->Context, this->Id,
                           this->RequestedCall.Program);
    return true;
  }

  /// Answers a repeat of a finished call, or attaches it to the call in flight.
  /// Returns whether the call was a repeat.
  bool repeatsEarlierCall() {
    const std::uint64_t Digest = digestOf(this->RequestedCall);
    // Calls in flight are checked first, because their answers may be in the
    // ledger before they are durable.
    for (auto &[Agent, Queue] :
         this->Shard.Programs[this->RequestedCall.Program].AgentQueues) {
      PendingCall *Pending = this->findPendingCall(Queue);
      if (!Pending)
        continue;
      if (digestOf(Pending->RequestedCall) != Digest)
        this->refuseReused();
      else
        this->joinWaiters(*Pending);
      return true;
    }
    const auto Stored = this->Program->Answers.find(this->RequestedCall.Key);
    if (Stored == this->Program->Answers.end())
      return false;
    if (Stored->second.Digest != Digest)
      this->refuseReused();
    else
      answerRoute(this->Context, this->Caller.Route, Stored->second.Answer);
    return true;
  }

  void joinWaiters(PendingCall &Pending) {
    // Chunks that were already sent are not kept, so this caller gets the
    // complete answer at the end.
    this->Caller.IsStreaming = false;
    Pending.Waiters.push_back(this->Caller);
    Pending.Deadline = std::max(
        Pending.Deadline, this->Context.now() + this->RequestedCall.Deadline);
  }

  PendingCall *findPendingCall(AgentQueue &Queue) {
    if (Queue.Active &&
        Queue.Active->Pending.RequestedCall.Key == this->RequestedCall.Key)
      return &Queue.Active->Pending;
    for (PendingCall &Pending : Queue.Waiting) {
      if (Pending.RequestedCall.Key == this->RequestedCall.Key)
        return &Pending;
    }
    return nullptr;
  }

  void refuseReused() {
    this->refuse(CallError::KeyReused, false,
                 "the idempotency key was used for another call");
  }

  void end() {
    cancelProgram(this->Context, this->Shard, this->Id,
                  this->RequestedCall.Program);
    appendRecord(this->Context, this->Shard, this->Id,
                 ProgramEnded{this->RequestedCall.Program},
                 ConfirmEnd{this->Caller.Route});
  }

  void enqueue() {
    if (!this->Context.State.Accepted.hasService(this->RequestedCall.Service)) {
      this->refuse(CallError::UnknownService, false,
                   "no host of the inventory runs this service");
      return;
    }
    AgentQueue &Queue = this->Shard.Programs[this->RequestedCall.Program]
                            .AgentQueues[this->RequestedCall.Agent];
    if (Queue.Waiting.size() >= this->Context.State.Options.AgentQueueLimit) {
      this->refuse(CallError::QueueFull, true,
                   "too many calls of this agent wait already");
      return;
    }
    PendingCall Pending;
    Pending.RequestedCall = this->RequestedCall;
    Pending.Waiters.push_back(this->Caller);
    Pending.Arrived = this->Context.now();
    Pending.Deadline = this->Context.now() + this->RequestedCall.Deadline;
    const AgentQueueRef Ref{this->Id, this->RequestedCall.Program,
                            this->RequestedCall.Agent};
    this->Context.State.Due.emplace(Pending.Deadline, Ref);
    Queue.Waiting.push_back(std::move(Pending));
    startNextCall(this->Context, this->Shard, Ref);
  }

  void refuse(CallError Code, bool MayRetry, const char *Detail) {
    tanagerlanding::refuse(this->Context, this->Caller.Route, Code, MayRetry,
                           Detail);
  }

  EntryContext &Context;
  OwnedShard &Shard;
  const ShardId Id;
  const Call &RequestedCall;
  Waiter Caller;
  ProgramState *Program = nullptr;
};

/// Removes a waiter from every call at this entry. A queued call without
/// waiters is dropped; an active one is cancelled if that is safe.
void removeRoute(EntryContext &Context, const ReplyRoute &Route) {
  for (auto &[Id, Shard] : Context.State.Owned) {
    for (auto &[Program, Runtime] : Shard.Programs) {
      for (auto &[Agent, Queue] : Runtime.AgentQueues) {
        for (auto Pending = Queue.Waiting.begin();
             Pending != Queue.Waiting.end();) {
          const bool IsLast =
              removeWaiter(Pending->Waiters, Route) && Pending->Waiters.empty();
          Pending = IsLast ? Queue.Waiting.erase(Pending) : std::next(Pending);
        }
        if (Queue.Active && removeWaiter(Queue.Active->Pending.Waiters, Route))
          cancelIfAbandoned(Context, *Queue.Active);
      }
    }
  }
}

} // namespace

CallFailure refusal(const EntryContext &Context, CallError Code,
                    Execution ExecutionStatus, bool MayRetry,
                    const char *Detail) {
  const Milliseconds RetryAfter =
      MayRetry ? Context.State.Options.RetryAfter : Milliseconds(0);
  return CallFailure{Code, ExecutionStatus, RetryAfter, Detail};
}

void answerRoute(EntryContext &Context, const ReplyRoute &Route,
                 const CallAnswer &Answer) {
  if (const auto *Failure = std::get_if<CallFailure>(&Answer))
    Context.count("refused_total", toString(Failure->Code));
  std::visit(RouteAnswerer(Context, Answer), Route);
}

void answerWaiters(EntryContext &Context, const std::vector<Waiter> &Waiters,
                   const CallAnswer &Answer) {
  for (const Waiter &Each : Waiters)
    answerRoute(Context, Each.Route, Answer);
}

void streamToWaiters(EntryContext &Context, const std::vector<Waiter> &Waiters,
                     const std::string &Bytes) {
  for (const Waiter &Each : Waiters) {
    if (Each.IsStreaming)
      std::visit(RouteStreamer(Context, Bytes), Each.Route);
  }
}

void handleCallArrived(EntryContext &Context, const CallArrived &Event) {
  EntryState &State = Context.State;
  const ReplyRoute Route = LocalRoute{Event.Request};
  const ShardId Id =
      shardOf(Event.RequestedCall.Program, State.Options.ShardCount);
  State.Requests[Event.Request] = State.Self;
  if (State.IsDraining) {
    refuse(Context, Route, CallError::Draining, true,
           "this entry is about to stop");
    return;
  }
  if (OwnedShard *Shard = findUsable(State, Id)) {
    CallAdmitter(Context, *Shard, Id, Event.RequestedCall,
                 Waiter{Route, Event.RequestedCall.IsStreaming})
        .admit();
    return;
  }
  const auto Row = State.Table.find(Id);
  const bool HasOwner =
      Row != State.Table.end() && isEntryLive(State, Row->second.Entry.Owner);
  if (!HasOwner) {
    refuse(Context, Route, CallError::NotOwner, true,
           "no entry serves the program at present");
    return;
  }
  const ShardEntry &Entry = Row->second.Entry;
  State.Requests[Event.Request] = Entry.Owner;
  Context.send(Entry.Owner, ForwardCall{Event.Request, Entry.OwnerEpoch,
                                        Event.RequestedCall});
}

void handleForwarded(EntryContext &Context, const HostId &Peer,
                     const ForwardCall &Forwarded) {
  const ReplyRoute Route = PeerRoute{Peer, Forwarded.Request};
  const ShardId Id = shardOf(Forwarded.RequestedCall.Program,
                             Context.State.Options.ShardCount);
  OwnedShard *Shard = findUsable(Context.State, Id);
  if (!Shard) {
    refuse(Context, Route, CallError::NotOwner, true,
           "no entry serves the program at present");
    return;
  }
  if (Context.State.IsDraining) {
    refuse(Context, Route, CallError::Draining, true,
           "the program's owner is about to stop");
    return;
  }
  CallAdmitter(Context, *Shard, Id, Forwarded.RequestedCall,
               Waiter{Route, Forwarded.RequestedCall.IsStreaming})
      .admit();
}

void handleCallerDisconnected(EntryContext &Context,
                              const CallerDisconnected &Event) {
  const auto Found = Context.State.Requests.find(Event.Request);
  if (Found == Context.State.Requests.end())
    return;
  const HostId Owner = Found->second;
  Context.State.Requests.erase(Found);
  if (Owner == Context.State.Self)
    removeRoute(Context, LocalRoute{Event.Request});
  else
    Context.send(Owner, ForwardCancelled{Event.Request});
}

void handleForwardCancelled(EntryContext &Context, const HostId &Peer,
                            const ForwardCancelled &Notice) {
  removeRoute(Context, PeerRoute{Peer, Notice.Request});
}

void handleForwardAnswered(EntryContext &Context,
                           const ForwardAnswered &Answered) {
  std::visit(RouteAnswerer(Context, Answered.Answer),
             ReplyRoute(LocalRoute{Answered.Request}));
}

void handleForwardChunk(EntryContext &Context, const ForwardChunk &Chunk) {
  if (Context.State.Requests.count(Chunk.Request) > 0)
    Context.Effects.push_back(StreamToCaller{Chunk.Request, Chunk.Bytes});
}

void failForwarded(EntryContext &Context, const HostId &Peer) {
  std::vector<RequestId> Lost;
  for (const auto &[Request, Owner] : Context.State.Requests) {
    if (Owner == Peer)
      Lost.push_back(Request);
  }
  for (const RequestId Request : Lost) {
    const CallFailure Failure =
        refusal(Context, CallError::OwnerLost, Execution::Unknown, true,
                "the entry that had the call is gone; repeat with the same "
                "idempotency key");
    answerRoute(Context, LocalRoute{Request}, Failure);
  }
}

} // namespace tanagerlanding
