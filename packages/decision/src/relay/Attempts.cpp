#include "Attempts.h"

#include "CallQueue.h"
#include "ConfigurationProof.h"
#include "CrashDetection.h"
#include "DeferredRequests.h"
#include "Directory.h"
#include "Hedging.h"
#include "HistoryTransfers.h"
#include "LimitObservations.h"
#include "LoadCurve.h"
#include "OutputReports.h"
#include "QuotaPermits.h"
#include "Refusals.h"
#include "RequestPermits.h"
#include "Shutdown.h"
#include "StreamOrigins.h"
#include "TargetHealth.h"
#include "TargetLoads.h"
#include "TargetSpeed.h"
#include "Teams.h"
#include "TurnCloses.h"
#include "Turns.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

constexpr std::uint16_t FirstSuccess = 200;
constexpr std::uint16_t FirstRedirect = 300;
constexpr std::uint16_t FirstClientError = 400;
constexpr std::uint16_t FirstServerError = 500;
/// All relays share a target's connection limit; each keeps at most this
/// fraction (1/16) of it as idle connections.
constexpr std::uint32_t IdleConnectionDivisor = 16;
/// Statuses that guarantee callers that the request has not run. A target that
/// returns one without its own not-run mark may have run the request.
constexpr std::uint16_t NotRunStatuses[] = {408, 421, 429, 503};

bool isSuccess(const TargetAnswerHead &Head) {
  return Head.Status >= FirstSuccess && Head.Status < FirstRedirect;
}

/// Returns whether an answer states that the target did not run the request. A
/// mark in an answer that is no error contradicts it, and states nothing.
bool isNotRun(const TargetAnswerHead &Head) {
  return Head.Status >= FirstClientError &&
         (Head.IsNotRun || Head.IsMisdirected);
}

/// Returns whether an answer may be forwarded to the caller. Success needs the
/// target's signature; other statuses must not guarantee that nothing ran.
bool isForwardable(const TargetAnswerHead &Head) {
  if (Head.IsNotRun)
    return false;
  if (isSuccess(Head))
    return Head.IsSigned;
  return std::find(std::begin(NotRunStatuses), std::end(NotRunStatuses),
                   Head.Status) == std::end(NotRunStatuses);
}

bool isStreamed(const RelayCall &Call) {
  return Call.Route.IsStreaming && Call.Head && isSuccess(*Call.Head) &&
         Call.Head->IsEventStream;
}

/// Returns how many idle connections this relay may keep to a target of a
/// service.
std::uint32_t idleConnectionLimitOf(const RelayState &State,
                                    const ServiceName &Service) {
  const auto Found = State.Configuration->Services.find(Service);
  if (Found == State.Configuration->Services.end())
    return 1;
  return std::max(1U, Found->second.ConnectionLimit / IdleConnectionDivisor);
}

/// Returns the call of an attempt, with that attempt as the current one.
RelayCall *findCall(RelayContext &Context, RelayAttemptId Attempt) {
  const auto Request = Context.State.Attempts.find(Attempt);
  if (Request == Context.State.Attempts.end())
    return nullptr;
  const auto Call = Context.State.Calls.find(Request->second);
  if (Call == Context.State.Calls.end())
    return nullptr;
  selectAttempt(Call->second, Attempt);
  return &Call->second;
}

/// Removes the current attempt from the relay's state, if there is one.
void releaseAttempt(RelayContext &Context, RelayCall &Call) {
  if (Call.Attempt.Value == 0)
    return;
  Context.State.Attempts.erase(Call.Attempt);
  endHistoryTransfer(Context.State, Call.Attempt);
  removeOutstanding(Context.State, Call.Target);
  Call.Attempt = RelayAttemptId();
}

void cancelAttempt(RelayContext &Context, RelayCall &Call) {
  if (Call.Attempt.Value == 0)
    return;
  if (Call.IsFirstByteTimeoutRecorded && !Call.Head)
    recordLostAttempt(Context, Call, /*IsConnectionClosed=*/false);
  Context.add(CancelTargetAttempt{Call.Attempt});
  releaseAttempt(Context, Call);
}

void removeCall(RelayContext &Context, RelayCall &Call) {
  cancelOtherAttempt(Context, Call);
  releaseAttempt(Context, Call);
  Context.State.PendingOpens.erase(Call.Ledger.OpenRequest.Operation);
  releaseQuotaClaim(Context.State, Call);
  releaseHistory(Context.State, Call.Ledger);
  reportOutput(Context, Call);
  reportFailedContinuation(Context, Call);
  const RequestId Request = Call.Request;
  Context.State.QueuedCalls.erase(Request);
  Context.State.Calls.erase(Request);
}

/// Aborts a call whose answer has begun but can't be completed.
void abortCall(RelayContext &Context, RelayCall &Call, const char *Cause) {
  cancelAttempt(Context, Call);
  closeTurn(Context, Call, false);
  // The caller may continue the stream as soon as its answer ends.
  reportOutput(Context, Call);
  Context.logCall("answer_broken_off", Call,
                  {{"cause", Cause},
                   {"target", Call.Target.Value},
                   {"events", std::to_string(Call.EventsSent)}});
  Context.count("relay_broken_answers_total", Cause);
  Context.add(AbortAnswer{Call.Request});
  removeCall(Context, Call);
}

/// Forwards a complete answer that is not an event stream.
void deliverBufferedAnswer(RelayContext &Context, RelayCall &Call) {
  clearCallContent(Context, Call);
  recordHedgeOutcome(Context, Call);
  closeTurn(Context, Call, false);
  Context.logCall("answered", Call,
                  {{"status", std::to_string(Call.Head->Status)},
                   {"target", Call.Target.Value}});
  if (!Call.HasBegunAnswer)
    Context.add(
        BeginAnswer{Call.Request, *Call.Head, Call.BufferedBody.size()});
  if (!Call.BufferedBody.empty())
    Context.add(ContinueAnswer{Call.Request, std::move(Call.BufferedBody)});
  Context.add(FinishAnswer{Call.Request});
  removeCall(Context, Call);
}

/// Closes the turn of a stream that the target has completed.
void completeStream(RelayContext &Context, RelayCall &Call) {
  clearCallContent(Context, Call);
  releaseAttempt(Context, Call);
  if (!Call.HasBegunAnswer) {
    Call.HasBegunAnswer = true;
    Context.add(BeginAnswer{Call.Request, *Call.Head, std::nullopt});
  }
  reportOutput(Context, Call);
  const auto Operation = closeTurn(Context, Call, Call.Route.KeepsHistory);
  // A caller that sees the end of its answer may continue from the turn, so
  // the end is held back until the turn is durable. Settling a claim need not
  // be durable: until it is, the claim counts in full.
  if (!Operation || !Call.Route.KeepsHistory) {
    finishCall(Context, Call);
    return;
  }
  Call.Phase = RelayPhase::Closing;
  Context.State.PendingCloses.at(*Operation).WaitingCall = Call.Request;
}

/// Retries or refuses a call whose attempt was not run by the target.
void handleNotRun(RelayContext &Context, RelayCall &Call, const char *Cause) {
  releaseAttempt(Context, Call);
  if (continueOtherAttempt(Context, Call, Cause))
    return;
  Call.Head.reset();
  Call.BufferedBody.clear();
  ++Call.RefusedSends;
  Context.logCall("attempt_not_run", Call,
                  {{"target", Call.Target.Value},
                   {"cause", Cause},
                   {"refused_sends", std::to_string(Call.RefusedSends)}});
  Context.count("relay_attempts_not_run_total", Cause);
  if (Call.HasBegunAnswer && !hasTimeLeft(Context, Call)) {
    abortCall(Context, Call, "deadline");
    return;
  }
  if (Call.RefusedSends > Context.State.Options.MaxRefusedSends) {
    refuseCall(Context, Call, RelayRefusalReason::Overloaded);
    return;
  }
  dispatchCall(Context, Call);
}

/// Returns whether a call may run again after an unknown outcome. Once the
/// answer has begun, another attempt can only continue a stream.
bool mayRepeat(const RelayCall &Call) {
  if (Call.HasBegunAnswer)
    return Call.IsAnswerStreamed && Call.Route.IsResumable;
  return Call.Route.isRetryable();
}

/// Retries, aborts or refuses a call whose attempt may have run at the target.
void handleUnknownOutcome(RelayContext &Context, RelayCall &Call,
                          const char *Cause) {
  releaseAttempt(Context, Call);
  backOffTarget(Context.State, Call.Target);
  recordFailedAttempt(Context.State, Call.Target);
  if (continueOtherAttempt(Context, Call, Cause)) {
    ++Call.UncertainSends;
    Context.count("relay_attempts_unknown_total", Cause);
    return;
  }
  Call.Head.reset();
  Call.BufferedBody.clear();
  Call.Splitter = EventSplitter();
  ++Call.UncertainSends;
  const bool MayRetry = mayRepeat(Call) &&
                        Call.UncertainSends < Call.Route.MaxAttempts &&
                        hasTimeLeft(Context, Call);
  Context.logCall("attempt_outcome_unknown", Call,
                  {{"target", Call.Target.Value},
                   {"cause", Cause},
                   {"content", std::to_string(Call.Content.Value)},
                   {"events", std::to_string(Call.EventsSent)},
                   {"retry", MayRetry ? "yes" : "no"}});
  Context.count("relay_attempts_unknown_total", Cause);
  if (MayRetry)
    dispatchCall(Context, Call);
  else if (Call.HasBegunAnswer)
    abortCall(Context, Call, Cause);
  else
    refuseCall(Context, Call, RelayRefusalReason::TargetFailed);
}

/// Handles an attempt whose connection its target has closed too early.
void handleBrokenAttempt(RelayContext &Context, RelayCall &Call,
                         const char *Cause) {
  recordLostAttempt(Context, Call, /*IsConnectionClosed=*/true);
  handleUnknownOutcome(Context, Call, Cause);
}

/// Ends an attempt whose target sends more than an answer may have.
void endOversizedAttempt(RelayContext &Context, RelayCall &Call,
                         const char *Cause) {
  const bool IsRefusal = isNotRun(*Call.Head);
  cancelAttempt(Context, Call);
  if (IsRefusal)
    handleNotRun(Context, Call, Cause);
  else
    handleUnknownOutcome(Context, Call, Cause);
}

void handleCompleteAnswer(RelayContext &Context, RelayCall &Call) {
  if (!Call.Head) {
    handleUnknownOutcome(Context, Call, "no_head");
    return;
  }
  if (isNotRun(*Call.Head)) {
    const bool IsOther = Call.Head->IsMisdirected;
    if (IsOther)
      backOffTarget(Context.State, Call.Target);
    handleNotRun(Context, Call, IsOther ? "other_target" : "target_refused");
    return;
  }
  if (isStreamed(Call) && Call.Splitter.hasPartialEvent()) {
    handleBrokenAttempt(Context, Call, "partial_event");
    return;
  }
  resetBackoff(Context.State, Call.Target);
  if (Call.Head->Status >= FirstServerError)
    recordFailedAttempt(Context.State, Call.Target);
  if (Call.IsAnswerStreamed && !isStreamed(Call)) {
    handleUnknownOutcome(Context, Call, "no_stream");
    return;
  }
  // The other attempt may still bring an answer that is no failure.
  const bool IsFailed = Call.Hedge && Call.Head->Status >= FirstServerError;
  if (IsFailed || !isForwardable(*Call.Head)) {
    const char *Cause =
        Call.Head->IsNotRun ? "contradictory_answer" : "unsigned_answer";
    handleUnknownOutcome(Context, Call, IsFailed ? "failed_answer" : Cause);
    return;
  }
  if (isSuccess(*Call.Head)) {
    recordCompletion(Context, Call);
    recordRunTime(Context.State, Call);
    recordLoadSample(Context.State, Call);
  }
  if (!isStreamed(Call))
    deliverBufferedAnswer(Context, Call);
  else
    completeStream(Context, Call);
}

/// Sends whole events to the caller, after the head of the answer.
void sendEvents(RelayContext &Context, RelayCall &Call, std::string Events) {
  recordStreamStart(Context, Call);
  if (!Call.HasBegunAnswer) {
    Call.HasBegunAnswer = true;
    Call.IsAnswerStreamed = true;
    Context.logCall("stream_started", Call,
                    {{"target", Call.Target.Value},
                     {"version", Call.Origin->Version.Value}});
    Context.add(BeginAnswer{Call.Request, *Call.Head, std::nullopt});
  }
  reportOutputsIfDue(Context);
  Context.add(ContinueAnswer{Call.Request, std::move(Events)});
}

void forwardEvents(RelayContext &Context, RelayCall &Call,
                   const std::string &Bytes) {
  std::string Whole;
  for (const StreamEvent &Each : Call.Splitter.append(Bytes)) {
    Whole += Each.Bytes;
    if (Each.Id)
      Call.LastEventId = *Each.Id;
    if (Each.HasData)
      ++Call.EventsSent;
    if (Call.Route.KeepsHistory)
      appendOutput(Context.State, Call, Each);
  }
  if (!Whole.empty())
    sendEvents(Context, Call, std::move(Whole));
  const RelayOptions &Options = Context.State.Options;
  if (Options.MaxEventBytes < Call.Splitter.partialBytes())
    endOversizedAttempt(Context, Call, "event_too_large");
  else if (Options.MaxTurnOutputBytes < Call.Output.size())
    endOversizedAttempt(Context, Call, "output_too_large");
}

void bufferBytes(RelayContext &Context, RelayCall &Call,
                 const std::string &Bytes) {
  Call.BufferedBody += Bytes;
  const bool MayForward = !Call.IsAnswerStreamed && isForwardable(*Call.Head);
  if (Call.BufferedBody.size() < Context.State.Options.MaxBufferedAnswerBytes)
    return;
  if (!MayForward) {
    endOversizedAttempt(Context, Call, "answer_too_large");
    return;
  }
  cancelOtherAttempt(Context, Call);
  if (!Call.HasBegunAnswer)
    Context.add(BeginAnswer{Call.Request, *Call.Head, std::nullopt});
  Call.HasBegunAnswer = true;
  Context.add(ContinueAnswer{Call.Request, std::move(Call.BufferedBody)});
  Call.BufferedBody.clear();
}

/// Returns the kind of a call's next send, for logs.
const char *kindOfNextSend(const RelayCall &Call) {
  if (Call.EventsSent > 0)
    return "resumed";
  if (Call.UncertainSends + Call.RefusedSends > 0)
    return "retry";
  return Call.Phase == RelayPhase::Queued ? "queued" : "first";
}

/// Returns the age of a target's load report, for logs; empty without a recent
/// one.
std::string loadAgeOf(const RelayState &State, const RelayTarget &Target) {
  const auto Known = knownLoadOf(State, Target);
  return Known ? RelayContext::millis(Known->Age) : std::string();
}

/// Queues a call until this relay has a permit for one of its targets, or
/// refuses it if that would take too long.
void awaitPermit(RelayContext &Context, RelayCall &Call) {
  if (!mayAwaitPermit(Context.State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::TargetLimit);
    return;
  }
  Context.count("relay_limited_calls_total", "queued");
  Call.IsAwaitingPermit = true;
  enqueueCall(Context, Call);
}

} // namespace

bool hasTimeLeft(const RelayContext &Context, const RelayCall &Call) {
  return Context.now() < Call.Deadline;
}

void dispatchCall(RelayContext &Context, RelayCall &Call) {
  // A call must not overtake queued calls unless it is in the most urgent
  // class, or more urgent than those that wait for a permit.
  const bool IsLessUrgent =
      !Context.State.QueuedCalls.empty() &&
      schedulingClassOf(Context.State, Call) != SchedulingClass::InProgress;
  recordRequest(Context.State, Call.Service);
  if (IsLessUrgent) {
    enqueueCall(Context, Call);
    return;
  }
  if (isBehindAwaitingCall(Context.State, Call)) {
    awaitPermit(Context, Call);
    return;
  }
  const auto Chosen = chooseTarget(Context.State, Call);
  if (!Chosen && Chosen.error() == PlacementFailure::Busy)
    enqueueCall(Context, Call);
  else if (!Chosen && Chosen.error() == PlacementFailure::AwaitingPermit)
    awaitPermit(Context, Call);
  else
    sendCall(Context, Call, Chosen);
}

void sendCall(RelayContext &Context, RelayCall &Call,
              const Result<TargetId, PlacementFailure> &Chosen) {
  RelayState &State = Context.State;
  if (!Chosen) {
    refuseCall(Context, Call, refusalFor(State, Call, Chosen.error()));
    return;
  }
  // The key may have been removed since the call was admitted. An answer that
  // has begun is completed nevertheless.
  const auto Fault = credentialFaultOf(State, Call);
  if (Fault && !Call.HasBegunAnswer) {
    refuseCall(Context, Call, *Fault);
    return;
  }
  if (!Call.HasBegunAnswer && !mayEndBeforeExit(State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::Stopping);
    return;
  }
  // The content may have been quarantined since the call was admitted.
  if (isQuarantined(State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::Quarantined);
    return;
  }
  if (!mayUseKey(State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::ConfigurationStale);
    return;
  }
  if (!beginAttempt(Context, Call, Chosen.value(), kindOfNextSend(Call)))
    awaitPermit(Context, Call);
}

bool beginAttempt(RelayContext &Context, RelayCall &Call, const TargetId &Id,
                  const char *Kind) {
  RelayState &State = Context.State;
  const RelayTarget &Target = State.Targets.at(Id);
  if (!takePermit(State, Target.Entry))
    return false;
  recordHedgeableRequest(State, Call);
  const std::size_t WithoutPermit = targetsWithoutPermit(State, Call);
  if (WithoutPermit > 0)
    Context.count("relay_limited_calls_total", "passed_over");
  Call.Phase = RelayPhase::Running;
  Call.Attempt = RelayAttemptId(State.NextAttempt++);
  Call.Target = Id;
  Call.SentTo = Target.Entry;
  Call.SentAt = State.Now;
  Call.Quota.PermitUntil.reset();
  Call.EventsBeforeAttempt = Call.EventsSent;
  Call.IsFirstByteTimeoutRecorded = false;
  Call.IsHedge = false;
  Call.TriedTargets.insert(Call.Target);
  State.Attempts[Call.Attempt] = Call.Request;
  SendAttempt Send;
  Send.Attempt = Call.Attempt;
  Send.Request = Call.Request;
  Send.Target = Target.Entry;
  Send.IdleLimit = idleConnectionLimitOf(State, Call.Service);
  Send.TimeLeft = Call.Deadline - State.Now;
  Send.Team = Call.Team;
  Send.IsCredentialWithheld =
      Call.Team.has_value() || State.Configuration->needsKeys();
  Send.History = Call.Ledger.History;
  if (Call.Ledger.IsHistoryLong)
    Send.LongHistoryBytes = Call.Ledger.historyBytes();
  if (Call.IsAnswerStreamed)
    Send.ResumeAfter = Call.LastEventId;
  Send.SendBefore = sendDeadlineOf(State, Call);
  Context.logCall(
      "attempt_sent", Call,
      {{"target", Call.Target.Value},
       {"service", Call.Service.Value},
       {"version", Call.SentTo.Version.Value},
       {"content", std::to_string(Call.Content.Value)},
       {"outstanding", std::to_string(Target.Outstanding)},
       {"others", std::to_string(std::lround(externalLoadOf(State, Target)))},
       {"load_age_ms", loadAgeOf(State, Target)},
       {"limit_per_second", RelayContext::rate(limitOf(State, Target.Entry))},
       {"permits_left", std::to_string(heldPermits(State, Target.Entry))},
       {"without_permit", std::to_string(WithoutPermit)},
       {"kind", Kind},
       {"left_ms", RelayContext::millis(Send.TimeLeft)}});
  recordSpeedConditions(State, Call, Target);
  addOutstanding(State, Call.Target);
  State.SendRates[Call.Service].add(1, State.Now, State.Options.RateHalfLife);
  recordTurn(State, Call);
  Call.Quota.HasStart = false;
  recordPromptCacheLocation(State, Call);
  Context.add(std::move(Send));
  startHistoryTransfer(Context, Call);
  return true;
}

void refuseCall(RelayContext &Context, RelayCall &Call,
                RelayRefusalReason Reason) {
  if (Call.HasBegunAnswer) {
    abortCall(Context, Call, toString(Reason));
    return;
  }
  cancelAttempt(Context, Call);
  closeTurn(Context, Call, false);
  const Milliseconds RetryAfter = retryAfterOf(Context.State, Call, Reason);
  const RelayRefusal Refusal{Reason, executionOf(Call), RetryAfter};
  Context.logCall(
      "request_refused", Call,
      {{"reason", toString(Reason)},
       {"execution", toString(Refusal.ExecutionStatus)},
       {"version", Call.Origin ? Call.Origin->Version.Value : std::string()},
       {"content", std::to_string(Call.Content.Value)},
       {"path_content", std::to_string(Call.PathContent.Value)},
       {"without_permit",
        std::to_string(targetsWithoutPermit(Context.State, Call))},
       {"queued", std::to_string(Context.State.QueuedCalls.size())},
       {"retry_after_ms", RelayContext::millis(Refusal.RetryAfter)},
       {"target", Call.Target.Value}});
  Context.count("relay_refusals_total", toString(Reason));
  Context.add(RefuseCaller{Call.Request, Refusal});
  removeCall(Context, Call);
}

void refuseUnfinishedCall(RelayContext &Context, RelayCall &Call,
                          RelayRefusalReason Reason) {
  if (Call.Attempt.Value != 0)
    Call.UncertainSends += Call.Hedge ? 2 : 1;
  refuseCall(Context, Call, Reason);
}

void finishCall(RelayContext &Context, RelayCall &Call) {
  Context.logCall("answered", Call,
                  {{"status", std::to_string(Call.Head->Status)},
                   {"target", Call.Target.Value},
                   {"events", std::to_string(Call.EventsSent)}});
  Context.add(FinishAnswer{Call.Request});
  removeCall(Context, Call);
}

void handleAttemptHead(RelayContext &Context,
                       const AttemptHeadReceived &Event) {
  RelayCall *Call = findCall(Context, Event.Attempt);
  if (!Call)
    return;
  Call->Head = Event.Head;
  Call->HeadAt = Context.now();
  if (Event.Head.IsLeaving)
    recordLeavingRun(Context, Call->SentTo.run());
  if (Event.Head.Status < FirstServerError) {
    recordAnswerStart(Context.State, *Call);
    recordFirstByteTime(Context.State, *Call);
  }
  recordStatedLimit(Context, *Call, Event.Head);
  recordStatedLoad(Context, *Call, Event.Head);
}

void handleAttemptBytes(RelayContext &Context,
                        const AttemptBytesReceived &Event) {
  RelayCall *Call = findCall(Context, Event.Attempt);
  if (!Call || !Call->Head)
    return;
  if (isStreamed(*Call) && isForwardable(*Call->Head))
    forwardEvents(Context, *Call, Event.Bytes);
  else
    bufferBytes(Context, *Call, Event.Bytes);
}

void handleAttemptEnd(RelayContext &Context, const AttemptEnded &Event) {
  RelayCall *Call = findCall(Context, Event.Attempt);
  if (!Call)
    return;
  switch (Event.Ended) {
  case AttemptEnded::Kind::Complete:
    handleCompleteAnswer(Context, *Call);
    return;
  case AttemptEnded::Kind::NeverSent:
    backOffTarget(Context.State, Call->Target);
    handleNotRun(Context, *Call, "unreachable");
    return;
  case AttemptEnded::Kind::Overdue:
    handleNotRun(Context, *Call, "proof_expired");
    return;
  case AttemptEnded::Kind::Broken:
    handleBrokenAttempt(Context, *Call, "broken_connection");
    return;
  }
}

void handleCallerDisconnected(RelayContext &Context, RequestId Request) {
  if (removeDeferredRequest(Context, Request))
    return;
  const auto Found = Context.State.Calls.find(Request);
  if (Found == Context.State.Calls.end())
    return;
  RelayCall &Call = Found->second;
  cancelAttempt(Context, Call);
  if (Call.Phase != RelayPhase::Closing)
    closeTurn(Context, Call, false);
  Context.logCall("caller_gone", Call,
                  {{"target", Call.Target.Value},
                   {"events", std::to_string(Call.EventsSent)}});
  removeCall(Context, Call);
}

void handleFirstByteTimeouts(RelayContext &Context) {
  for (const RequestId Request : takeFirstByteTimeouts(Context)) {
    const auto Found = Context.State.Calls.find(Request);
    if (Found == Context.State.Calls.end())
      continue;
    RelayCall &Call = Found->second;
    // Another target may still answer before the deadline. If a call has no
    // further attempts, its current one continues, as it may still be answered.
    const bool MayRetry = Call.Route.isRetryable() &&
                          Call.UncertainSends + 1 < Call.Route.MaxAttempts;
    if (!MayRetry)
      continue;
    cancelAttempt(Context, Call);
    handleUnknownOutcome(Context, Call, "silent");
  }
}

void refuseExpiredCalls(RelayContext &Context) {
  std::vector<RequestId> Expired;
  for (const auto &[Request, Call] : Context.State.Calls) {
    if (!hasTimeLeft(Context, Call))
      Expired.push_back(Request);
  }
  for (const RequestId Request : Expired)
    refuseUnfinishedCall(Context, Context.State.Calls.at(Request),
                         RelayRefusalReason::DeadlinePassed);
}

} // namespace tanagerlanding
