#include "Turns.h"

#include "Attempts.h"
#include "ConfigurationProof.h"
#include "CrashDetection.h"
#include "HistoryTransfers.h"
#include "LimitObservations.h"
#include "OutputReports.h"
#include "ProgramStarts.h"
#include "RequestPermits.h"
#include "StreamOrigins.h"
#include "TargetLoads.h"
#include "Teams.h"
#include "TurnCloses.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

bool hasBudget(const RelayCall &Call) {
  return Call.InboundRequest.Program && Call.InboundRequest.Program->Budget;
}

/// Copies of a held history: in a replica's answer, or those of two replicas,
/// in the call and in its attempt.
constexpr std::size_t CopiesOfHeldHistory = 4;

/// Makes a call forget what is known of its history.
void resetHistory(RelayState &State, TurnLedger &Ledger) {
  releaseHistory(State, Ledger);
  Ledger.HistorySegments.clear();
  Ledger.History.clear();
  Ledger.IsHistoryLong = false;
}

/// Reserves room for a history of the largest size that is held. Without room
/// the history counts as long.
void reserveHistory(RelayState &State, TurnLedger &Ledger) {
  const std::size_t Bytes =
      CopiesOfHeldHistory * State.Options.MaxHeldHistoryBytes;
  if (State.HeldHistories.reserve(Bytes))
    Ledger.ReservedHistoryBytes = Bytes;
  else
    Ledger.IsHistoryLong = true;
}

/// Releases what was reserved beyond the size of the history.
void keepHistory(RelayState &State, TurnLedger &Ledger) {
  const std::size_t Needed = std::min(
      Ledger.ReservedHistoryBytes, CopiesOfHeldHistory * Ledger.History.size());
  State.HeldHistories.release(Ledger.ReservedHistoryBytes - Needed);
  Ledger.ReservedHistoryBytes = Needed;
}

/// Returns how much more history a call may hold.
std::uint64_t historyAllowance(const RelayState &State,
                               const TurnLedger &Ledger) {
  const std::uint64_t Most = State.Options.MaxHeldHistoryBytes;
  if (Ledger.IsHistoryLong || Most < Ledger.History.size())
    return 0;
  return Most - Ledger.History.size();
}

/// Sends the current OpenTurn to one replica. Does not request the history
/// again from its newest turn once part of it has been received.
void sendOpenTo(RelayContext &Context, const TurnLedger &Ledger,
                const HolderId &Holder) {
  OpenTurn Open = Ledger.OpenRequest;
  const bool IsWhollyMissing =
      Ledger.LastMissingTurn &&
      Ledger.LastMissingTurn == Ledger.OpenRequest.Previous;
  Open.IsHistoryRequested = IsWhollyMissing && Holder == Ledger.HistorySource;
  Context.send(Holder, std::move(Open));
}

/// Sends a new OpenTurn to all connected replicas. If IsFirst, it also claims
/// the turn's tokens and requests the history from one replica.
void broadcastOpen(RelayContext &Context, RelayCall &Call, bool IsFirst) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  State.PendingOpens.erase(Ledger.OpenRequest.Operation);
  Ledger.OpenSentAt = State.Now;
  Ledger.AnsweredBy.clear();
  Ledger.RefusedBy.clear();
  Ledger.AnsweredWithAllStreams.clear();
  Ledger.AnsweredWithOutput.clear();
  Ledger.Resumed.reset();
  Ledger.IsAwaitingDirectory = false;
  OpenTurn &Open = Ledger.OpenRequest = OpenTurn();
  Open.Operation = LedgerOperationId(State.NextOperation++);
  State.PendingOpens[Open.Operation] = Call.Request;
  Open.View = State.View.Version;
  Open.Turn = turnOf(Call);
  Open.Program = programOf(Call);
  Open.Previous = previousOf(Call);
  Open.Retention = Call.Route.Retention;
  Open.ResumedAttempt = resumedAttemptOf(Call);
  if (isUnnamedContinuation(Call))
    Open.ResumedContent = Call.Content;
  Open.ResumedAt = positionOf(Call);
  if (IsFirst && hasBudget(Call)) {
    Open.Claimed = Call.InboundRequest.MaxTokens;
    Ledger.HasClaim = true;
  }
  const bool NeedsHistory = IsFirst && Open.Previous;
  const auto Source =
      NeedsHistory ? pickHistorySource(State, {}) : std::nullopt;
  if (NeedsHistory) {
    Ledger.HistorySource = Source.value_or(HolderId());
    Ledger.HistoryRequestedAt = State.Now;
    Ledger.LastMissingTurn = Open.Previous;
    Ledger.TriedHistorySources = {Ledger.HistorySource};
    resetHistory(State, Ledger);
    reserveHistory(State, Ledger);
  }
  Open.MaxHistoryBytes = historyAllowance(State, Ledger);
  for (const LedgerMember &Each : State.View.allMembers()) {
    if (State.ConnectedReplicas.count(Each.Holder) > 0)
      sendOpenTo(Context, Ledger, Each.Holder);
  }
}

/// Returns whether the quorum that the call needs can be formed by the replicas
/// that have answered or may still answer.
bool canReachQuorum(const RelayState &State, const RelayCall &Call) {
  std::set<HolderId> Possible = Call.Ledger.AnsweredBy;
  for (const HolderId &Each : liveReplicas(State)) {
    if (Call.Ledger.RefusedBy.count(Each) == 0)
      Possible.insert(Each);
  }
  if (!State.View.hasReadQuorum(Possible))
    return false;
  return !Call.Ledger.HasClaim || State.View.hasWriteQuorum(Possible);
}

/// Returns whether a turn waits for a quorum that can no longer be reached.
bool hasLostQuorum(const RelayState &State, const RelayCall &Call) {
  return Call.Phase != RelayPhase::CollectingHistory &&
         !canReachQuorum(State, Call);
}

/// Returns the tokens claimed by other turns of the program.
TokenCount claimedByOthers(const RelayCall &Call) {
  const Fingerprint Own = fingerprintOf(turnOf(Call));
  TokenCount Sum;
  for (const auto &[Turn, Claim] : Call.Ledger.Claims) {
    if (!(Turn == Own))
      Sum = Sum + Claim.Tokens;
  }
  return Sum;
}

void mergeClaims(TurnLedger &Ledger, const std::vector<TokenClaim> &Claims) {
  for (const TokenClaim &Each : Claims) {
    TokenClaim &Known = Ledger.Claims[Each.Turn];
    if (!Known.IsSettled)
      Known = Each;
  }
}

/// Requests the missing part of the history from the next replica. Refuses the
/// call if all have been tried.
void requestMissingHistory(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  Call.Phase = RelayPhase::CollectingHistory;
  const auto Source = pickHistorySource(State, Ledger.TriedHistorySources);
  if (!Source) {
    refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    return;
  }
  Ledger.HistorySource = *Source;
  Ledger.HistoryRequestedAt = State.Now;
  Ledger.TriedHistorySources.insert(*Source);
  // Late answers to the last question and refusals of it must not count for
  // this one.
  State.PendingOpens.erase(Ledger.OpenRequest.Operation);
  OpenTurn Read;
  Read.Operation = LedgerOperationId(State.NextOperation++);
  Read.View = State.View.Version;
  Read.Turn = turnOf(Call);
  Read.Program = programOf(Call);
  Read.Previous = Ledger.LastMissingTurn;
  Read.MaxHistoryBytes = historyAllowance(State, Ledger);
  Read.Retention = Call.Route.Retention;
  State.PendingOpens[Read.Operation] = Call.Request;
  Ledger.OpenRequest = std::move(Read);
  sendOpenTo(Context, Ledger, *Source);
}

/// Dispatches a call whose claim and previous turn a quorum has confirmed, or
/// completes its history first.
void continueOpenedTurn(RelayContext &Context, RelayCall &Call) {
  TurnLedger &Ledger = Call.Ledger;
  if (!Ledger.LastMissingTurn) {
    Context.State.PendingOpens.erase(Ledger.OpenRequest.Operation);
    keepHistory(Context.State, Ledger);
    if (isContinuation(Call))
      logContinuation(Context, Call);
    dispatchCall(Context, Call);
    return;
  }
  // If the first history source has not answered yet, its reply is awaited.
  Call.Phase = RelayPhase::CollectingHistory;
  const bool HasAnswered = Ledger.AnsweredBy.count(Ledger.HistorySource) > 0 ||
                           Ledger.RefusedBy.count(Ledger.HistorySource) > 0;
  if (HasAnswered)
    requestMissingHistory(Context, Call);
}

/// Returns whether more replicas may still answer the current operation.
bool areAnswersPending(const RelayState &State, const RelayCall &Call) {
  const std::set<HolderId> Live = liveReplicas(State);
  return std::any_of(Live.begin(), Live.end(), [&](const HolderId &Each) {
    return containsHolder(State.View.Current, Each) &&
           Call.Ledger.AnsweredBy.count(Each) == 0 &&
           Call.Ledger.RefusedBy.count(Each) == 0;
  });
}

/// Returns whether everything is known here that the key-value service had
/// confirmed when a call arrived. Whichever target began the stream that the
/// call continues was registered before.
bool isDirectoryKnownFor(const RelayState &State, const RelayCall &Call) {
  return State.DirectoryKnownAsOf &&
         !(*State.DirectoryKnownAsOf < Call.Arrived);
}

/// Lets a call wait for the key-value service to confirm what is known of it.
void awaitDirectory(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  Call.Ledger.IsAwaitingDirectory = true;
  if (State.DirectoryAskedAt)
    return;
  State.DirectoryAskedAt = State.Now;
  Context.add(ConfirmDirectory{});
}

std::vector<RequestId> callsAwaitingDirectory(const RelayState &State) {
  std::vector<RequestId> Waiting;
  for (const auto &[Operation, Request] : State.PendingOpens) {
    const auto Call = State.Calls.find(Request);
    if (Call != State.Calls.end() && Call->second.Ledger.IsAwaitingDirectory)
      Waiting.push_back(Request);
  }
  return Waiting;
}

/// Returns what is known of the earlier output of a stream, for logs.
const char *earlierOutputText(const TurnLedger &Ledger) {
  if (!Ledger.Resumed)
    return "unknown";
  if (Ledger.Resumed->IsAmbiguous)
    return "ambiguous";
  return Ledger.Resumed->Output ? "known" : "incomplete";
}

void refuseUnknownStream(RelayContext &Context, RelayCall &Call) {
  const TurnLedger &Ledger = Call.Ledger;
  const bool IsAmbiguous = Call.Origin && Call.Origin->Version.Value.empty();
  Context.logCall(
      "stream_unknown", Call,
      {{"begun_by", Call.InboundRequest.ResumedAttempt->Value},
       {"answered", std::to_string(Ledger.AnsweredBy.size())},
       {"complete", std::to_string(Ledger.AnsweredWithAllStreams.size())},
       {"after", std::to_string(Call.InboundRequest.LastEventId.value_or(0))},
       {"output", earlierOutputText(Ledger)},
       {"ambiguous", IsAmbiguous ? "yes" : "no"},
       {"directory",
        Ledger.IsAwaitingDirectory ? "unconfirmed" : "confirmed"}});
  refuseCall(Context, Call, RelayRefusalReason::UnknownStream);
}

/// Determines the origin of a stream whose caller does not name the attempt
/// that began it. Returns whether it is certain now that the origin is known or
/// unknown; if not, further answers are awaited.
bool settleUnnamedOrigin(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  // Another attempt with the same content may have begun at another version.
  // Only replicas that have kept all origins long enough rule that out.
  const bool IsWhole =
      State.View.hasReadQuorum(Call.Ledger.AnsweredWithAllStreams);
  if (!IsWhole && areAnswersPending(State, Call))
    return false;
  if (IsWhole && Call.Origin)
    return true;
  const auto Sole = soleOriginOf(State, Call);
  const bool MayGoOn = Sole && (!Call.Origin || Call.Origin == Sole);
  if (MayGoOn && !isDirectoryKnownFor(State, Call)) {
    awaitDirectory(Context, Call);
    return false;
  }
  if (!Call.Origin)
    Call.Origin = Sole;
  else if (!MayGoOn)
    Call.Origin->Version = SoftwareVersion();
  return true;
}

/// Determines the origin of the stream that a call continues, once a read
/// quorum has answered. Returns whether the call may go on; it may have been
/// refused, or it has to wait for further answers.
bool settleOrigin(RelayContext &Context, RelayCall &Call) {
  if (!isContinuation(Call))
    return true;
  if (isUnnamedContinuation(Call) && !settleUnnamedOrigin(Context, Call))
    return false;
  const bool IsAmbiguous = Call.Origin && Call.Origin->Version.Value.empty();
  if (Call.Origin && !(isUnnamedContinuation(Call) && IsAmbiguous))
    return true;
  refuseUnknownStream(Context, Call);
  return false;
}

/// Determines what the caller already has of the output of a turn that is kept.
/// Returns whether the call may go on; it may have been refused, or it has to
/// wait for further answers.
bool settleEarlierOutput(RelayContext &Context, RelayCall &Call) {
  if (!needsEarlierOutput(Call))
    return true;
  const bool HasPosition = positionOf(Call).has_value();
  if (HasPosition && isEarlierOutputKnown(Context.State, Call)) {
    adoptEarlierOutput(Call);
    return true;
  }
  if (!HasPosition || !areAnswersPending(Context.State, Call))
    refuseUnknownStream(Context, Call);
  return false;
}

/// Dispatches, confirms or refuses a turn once a quorum has answered, or
/// refuses it if a quorum can no longer be reached.
void evaluateOpen(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  const bool IsClaiming = Call.Phase == RelayPhase::Opening && Ledger.HasClaim;
  const bool IsCertain =
      State.View.hasReadQuorum(Ledger.AnsweredBy) &&
      (!IsClaiming || State.View.hasWriteQuorum(Ledger.AnsweredBy));
  if (!IsCertain) {
    if (!canReachQuorum(State, Call))
      refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    return;
  }
  if (previousOf(Call) && Ledger.ReplicasWithPrevious.empty()) {
    refuseCall(Context, Call, RelayRefusalReason::UnknownTurn);
    return;
  }
  if (!settleOrigin(Context, Call) || !settleEarlierOutput(Context, Call))
    return;
  if (hasBudget(Call)) {
    const TokenCount Budget = *Call.InboundRequest.Program->Budget;
    const TokenCount Claimed = claimedByOthers(Call);
    if (!(Claimed < Budget)) {
      Context.logCall("budget_exhausted", Call,
                      {{"program", Call.InboundRequest.Program->Program.Value},
                       {"budget", std::to_string(Budget.Value)},
                       {"claimed", std::to_string(Claimed.Value)}});
      refuseCall(Context, Call, RelayRefusalReason::BudgetExhausted);
      return;
    }
    // Concurrent claims may not see each other, as each may be answered by
    // replicas that the other has not reached yet. A second read starts only
    // once this claim is durable, so that of any two turns at least one sees
    // the other's claim.
    const TokenCount Margin{Call.InboundRequest.MaxTokens.Value *
                            State.Options.BudgetMarginClaims};
    if (Call.Phase == RelayPhase::Opening && Budget < Claimed + Margin) {
      Call.Phase = RelayPhase::Confirming;
      broadcastOpen(Context, Call, false);
      return;
    }
  }
  continueOpenedTurn(Context, Call);
}

/// Adds the part of the history that a replica has sent, or whose size it has
/// stated.
void mergeHistory(RelayCall &Call, const TurnOpened &Reply) {
  TurnLedger &Ledger = Call.Ledger;
  // A replica may answer one question twice, if it was sent again with a newer
  // view; the part that is here already must not be joined a second time.
  const bool IsAdjoining =
      Ledger.LastMissingTurn && Reply.HistoryEnd == Ledger.LastMissingTurn;
  if (!IsAdjoining || (!Reply.History && !Reply.LongHistoryBytes))
    return;
  const std::uint64_t Bytes =
      Reply.History ? Reply.History->size() : *Reply.LongHistoryBytes;
  Ledger.HistorySegments.push_back(
      HistorySegment{*Reply.HistoryEnd, Reply.MissingTurn, Bytes});
  Ledger.IsHistoryLong = Ledger.IsHistoryLong || !Reply.History;
  if (Ledger.IsHistoryLong)
    Ledger.History = std::string();
  else
    Ledger.History = *Reply.History + Ledger.History;
  Ledger.LastMissingTurn = Reply.MissingTurn;
  if (Reply.MissingTurn)
    Ledger.TriedHistorySources = {Reply.Holder};
}

void handleOpened(RelayContext &Context, const HolderId &Holder,
                  const TurnOpened &Reply) {
  RelayState &State = Context.State;
  const auto Request = State.PendingOpens.find(Reply.Operation);
  if (Request == State.PendingOpens.end())
    return;
  RelayCall &Call = State.Calls.at(Request->second);
  TurnLedger &Ledger = Call.Ledger;
  const bool WasCollecting = Call.Phase == RelayPhase::CollectingHistory;
  mergeClaims(Ledger, Reply.Claims);
  if (Reply.HasPrevious)
    Ledger.ReplicasWithPrevious.insert(Holder);
  if (!Reply.PreviousTarget.Value.empty())
    Ledger.PreviousTarget = Reply.PreviousTarget;
  if (Reply.ResumedOrigin && isContinuation(Call))
    mergeResumedOrigin(State, Call, *Reply.ResumedOrigin);
  if (streamLifetimeOf(State, Call) <= Reply.StreamsKeptFor)
    Ledger.AnsweredWithAllStreams.insert(Holder);
  if (Reply.Resumed)
    mergeResumedOutput(Ledger, Holder, *Reply.Resumed);
  mergeHistory(Call, Reply);
  Ledger.AnsweredBy.insert(Holder);
  if (!WasCollecting) {
    evaluateOpen(Context, Call);
    return;
  }
  if (!Ledger.LastMissingTurn)
    continueOpenedTurn(Context, Call);
  else if (Holder == Ledger.HistorySource)
    requestMissingHistory(Context, Call);
}

/// Sends the current view to a replica with an older one, and resends the
/// operation that it refused for that reason.
void resendWithViewOffer(RelayContext &Context, const HolderId &Holder,
                         const LedgerRefused &Reply) {
  RelayState &State = Context.State;
  Context.log("replica_behind",
              {{"holder", Holder.Value},
               {"view", std::to_string(State.View.Version.Value)},
               {"its_view", std::to_string(Reply.View.Version.Value)}});
  Context.send(Holder, ViewOffer{State.View});
  const auto Open = State.PendingOpens.find(Reply.Operation);
  if (Open != State.PendingOpens.end())
    sendOpenTo(Context, State.Calls.at(Open->second).Ledger, Holder);
  const auto Close = State.PendingCloses.find(Reply.Operation);
  if (Close != State.PendingCloses.end())
    Context.send(Holder, Close->second.Message);
}

void handleRefused(RelayContext &Context, const HolderId &Holder,
                   const LedgerRefused &Reply) {
  RelayState &State = Context.State;
  if (State.View.Version < Reply.View.Version) {
    adoptLedgerView(Context, Reply.View);
    return;
  }
  if (Reply.View.Version < State.View.Version) {
    resendWithViewOffer(Context, Holder, Reply);
    return;
  }
  const auto Request = State.PendingOpens.find(Reply.Operation);
  if (Request == State.PendingOpens.end())
    return;
  RelayCall &Call = State.Calls.at(Request->second);
  Call.Ledger.RefusedBy.insert(Holder);
  if (Call.Phase != RelayPhase::CollectingHistory)
    evaluateOpen(Context, Call);
  else if (Holder == Call.Ledger.HistorySource)
    requestMissingHistory(Context, Call);
}

/// Dispatches a replica's message to the handler of its type.
class ReplicaMessageHandler {
public:
  ReplicaMessageHandler(RelayContext &Context, const HolderId &Holder)
      : Context(Context), Holder(Holder) {}

  void operator()(const TurnOpened &Reply) {
    handleOpened(this->Context, this->Holder, Reply);
  }
  void operator()(const TurnClosed &Reply) {
    handleClosed(this->Context, this->Holder, Reply);
  }
  void operator()(const HistoryPart &Part) {
    handleHistoryPart(this->Context, this->Holder, Part);
  }
  void operator()(const LedgerRefused &Reply) {
    handleRefused(this->Context, this->Holder, Reply);
  }
  void operator()(const SuspectNotice &Notice) {
    handleSuspectNotice(this->Context, Notice);
  }
  void operator()(const TargetLimitNotice &Notice) {
    handleLimitNotice(this->Context, this->Holder, Notice);
  }
  void operator()(const TargetLoadView &View) {
    handleTargetLoadView(this->Context, this->Holder, View);
  }
  void operator()(const ProgramStartGrant &Grant) {
    handleStartGrant(this->Context, this->Holder, Grant);
  }
  void operator()(const PermitGrant &Grant) {
    handlePermitGrant(this->Context, this->Holder, Grant);
  }
  void operator()(const ConfigurationVouch &Vouch) {
    handleConfigurationVouch(this->Context, this->Holder, Vouch);
  }
  void operator()(const ViewOffer &Offer) {
    adoptLedgerView(this->Context, Offer.View);
  }
  /// Ignores messages that are not meant for relays.
  template <typename Other> void operator()(const Other &) {}

private:
  RelayContext &Context;
  const HolderId &Holder;
};

/// Returns the calls with a pending ledger open.
std::vector<RequestId> callsAwaitingLedger(const RelayState &State) {
  std::vector<RequestId> Pending;
  for (const auto &[Operation, Request] : State.PendingOpens)
    Pending.push_back(Request);
  return Pending;
}

} // namespace

void releaseHistory(RelayState &State, TurnLedger &Ledger) {
  State.HeldHistories.release(Ledger.ReservedHistoryBytes);
  Ledger.ReservedHistoryBytes = 0;
}

std::set<HolderId> liveReplicas(const RelayState &State) {
  std::set<HolderId> Live;
  for (const HolderId &Each : State.ConnectedReplicas) {
    if (State.Now - State.LastMessageAt.at(Each) <
        State.Options.ReplicaHeartbeatTimeout)
      Live.insert(Each);
  }
  return Live;
}

std::optional<TurnId> previousOf(const RelayCall &Call) {
  const auto &Previous = Call.InboundRequest.PreviousTurn;
  if (!Call.Route.KeepsHistory || !Previous)
    return std::nullopt;
  return TurnId(qualifiedId(Call.Team, Previous->Value));
}

ProgramId programOf(const RelayCall &Call) {
  const auto &Program = Call.InboundRequest.Program;
  return Program ? ProgramId(qualifiedId(Call.Team, Program->Program.Value))
                 : ProgramId();
}

bool needsLedger(const RelayCall &Call) {
  return hasBudget(Call) || previousOf(Call).has_value() ||
         isContinuation(Call);
}

OtherTurns otherTurnsOf(const RelayCall &Call) {
  const Fingerprint Own = fingerprintOf(turnOf(Call));
  OtherTurns Found;
  for (const auto &[Turn, Claim] : Call.Ledger.Claims) {
    if (Turn == Own)
      continue;
    const bool IsRefused = Claim.IsSettled && Claim.Tokens == TokenCount{0};
    ++(IsRefused ? Found.Refused : Found.Begun);
  }
  return Found;
}

void openTurn(RelayContext &Context, RelayCall &Call) {
  Call.Phase = RelayPhase::Opening;
  if (!canReachQuorum(Context.State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    return;
  }
  broadcastOpen(Context, Call, true);
}

void handleReplicaMessage(RelayContext &Context, const HolderId &Holder,
                          const Message &Body) {
  const auto LastMessage = Context.State.LastMessageAt.find(Holder);
  if (LastMessage != Context.State.LastMessageAt.end())
    LastMessage->second = Context.now();
  std::visit(ReplicaMessageHandler(Context, Holder), Body);
}

void handleReplicaConnected(RelayContext &Context, const HolderId &Holder) {
  RelayState &State = Context.State;
  State.ConnectedReplicas.insert(Holder);
  State.LastMessageAt[Holder] = State.Now;
  Context.log("replica_connected", {{"holder", Holder.Value}});
  resendClosesTo(Context, Holder);
  sendEvidenceTo(Context, Holder);
  sendReportedStreamsTo(Context, Holder);
  repeatOutputsTo(Context, Holder);
  exchangeLimits(Context, Holder);
}

void recordDirectoryConfirmation(RelayContext &Context, Instant AskedAt) {
  RelayState &State = Context.State;
  State.DirectoryKnownAsOf =
      std::max(State.DirectoryKnownAsOf.value_or(AskedAt), AskedAt);
  if (State.DirectoryAskedAt && !(AskedAt < *State.DirectoryAskedAt))
    State.DirectoryAskedAt.reset();
  for (const RequestId Request : callsAwaitingDirectory(State)) {
    RelayCall &Call = State.Calls.at(Request);
    Call.Ledger.IsAwaitingDirectory = false;
    evaluateOpen(Context, Call);
  }
}

void refuseCallsAwaitingDirectory(RelayContext &Context) {
  RelayState &State = Context.State;
  State.DirectoryAskedAt.reset();
  for (const RequestId Request : callsAwaitingDirectory(State))
    refuseUnknownStream(Context, State.Calls.at(Request));
}

void recordReplicaReachability(RelayContext &Context, const HolderId &Holder,
                               bool IsServiceLost) {
  RelayState &State = Context.State;
  if (!IsServiceLost) {
    State.ReplicasWithoutKeyValueService.erase(Holder);
    return;
  }
  State.ReplicasWithoutKeyValueService.insert(Holder);
  const std::set<HolderId> Live = liveReplicas(State);
  const bool IsLostToAll =
      !Live.empty() &&
      std::includes(State.ReplicasWithoutKeyValueService.begin(),
                    State.ReplicasWithoutKeyValueService.end(), Live.begin(),
                    Live.end());
  // This relay may not have detected the outage yet, as its own watch request
  // may still be waiting for an answer.
  if (IsLostToAll)
    State.KeyValueServiceRegainedAt = State.Now;
}

void handleReplicaDisconnected(RelayContext &Context, const HolderId &Holder) {
  RelayState &State = Context.State;
  State.ConnectedReplicas.erase(Holder);
  State.ReplicasWithoutKeyValueService.erase(Holder);
  State.LastMessageAt.erase(Holder);
  Context.log("replica_disconnected", {{"holder", Holder.Value}});
  replaceHistorySource(Context, Holder);
  for (const RequestId Request : callsAwaitingLedger(State)) {
    const auto Found = State.Calls.find(Request);
    if (Found == State.Calls.end())
      continue;
    if (Found->second.Phase != RelayPhase::CollectingHistory)
      evaluateOpen(Context, Found->second);
    else if (Found->second.Ledger.HistorySource == Holder)
      requestMissingHistory(Context, Found->second);
  }
}

void adoptLedgerView(RelayContext &Context, const LedgerView &View) {
  RelayState &State = Context.State;
  if (!(State.View.Version < View.Version))
    return;
  State.View = View;
  Context.log("ledger_view_adopted",
              {{"version", std::to_string(View.Version.Value)},
               {"current", std::to_string(View.Current.size())},
               {"next", std::to_string(View.Next.size())}});
  Context.add(ConnectReplicas{View.allMembers()});
  for (const RequestId Request : callsAwaitingLedger(State)) {
    const auto Found = State.Calls.find(Request);
    if (Found != State.Calls.end())
      openTurn(Context, Found->second);
  }
  reviewCloses(Context);
}

void updateQuorumState(RelayContext &Context) {
  RelayState &State = Context.State;
  const std::set<HolderId> Live = liveReplicas(State);
  const bool HasQuorum = !State.View.Current.empty() &&
                         State.View.hasReadQuorum(Live) &&
                         State.View.hasWriteQuorum(Live);
  if (HasQuorum == !State.LedgerLostSince)
    return;
  Context.log(HasQuorum ? "ledger_regained" : "ledger_lost",
              {{"view", std::to_string(State.View.Version.Value)},
               {"connected", std::to_string(State.ConnectedReplicas.size())},
               {"live", std::to_string(Live.size())}});
  if (HasQuorum)
    State.LedgerLostSince.reset();
  else
    State.LedgerLostSince = State.Now;
}

void resetHeartbeatTimers(RelayState &State) {
  for (auto &[Holder, LastMessage] : State.LastMessageAt)
    LastMessage = State.Now;
}

void enforceLedgerTimeouts(RelayContext &Context) {
  RelayState &State = Context.State;
  for (const RequestId Request : callsAwaitingLedger(State)) {
    const auto Found = State.Calls.find(Request);
    if (Found == State.Calls.end())
      continue;
    RelayCall &Call = Found->second;
    const TurnLedger &Ledger = Call.Ledger;
    const bool IsOverdue =
        State.Options.LedgerTimeout <= State.Now - Ledger.OpenSentAt;
    if (IsOverdue && Ledger.IsAwaitingDirectory)
      refuseUnknownStream(Context, Call);
    else if (IsOverdue || hasLostQuorum(State, Call))
      refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    else if (Call.Phase == RelayPhase::CollectingHistory &&
             State.Options.HistoryTimeout <=
                 State.Now - Ledger.HistoryRequestedAt)
      requestMissingHistory(Context, Call);
  }
  dropExpiredCloses(State);
}

} // namespace tanagerlanding
