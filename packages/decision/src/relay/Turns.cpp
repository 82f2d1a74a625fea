#include "Turns.h"

#include "Attempts.h"
#include "TurnCloses.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

/// Returns the connected replicas that have sent something within the heartbeat
/// time-out.
std::set<HolderId> liveReplicas(const RelayState &State) {
  std::set<HolderId> Live;
  for (const HolderId &Each : State.Connected) {
    if (State.Now - State.HeardAt.at(Each) < State.Options.ReplicaSilence)
      Live.insert(Each);
  }
  return Live;
}

bool hasClaim(const RelayCall &Call) {
  return Call.Asked.Program && Call.Asked.Program->Budget;
}

/// Returns an untried replica to read history from, preferably in this zone,
/// where the transfer is cheapest.
std::optional<HolderId> pickHistorySource(const RelayState &State,
                                          const std::set<HolderId> &Tried) {
  std::optional<HolderId> Best;
  for (const LedgerMember &Each : State.View.Current) {
    if (State.Connected.count(Each.Holder) == 0 || Tried.count(Each.Holder) > 0)
      continue;
    if (Each.Zone == State.Zone)
      return Each.Holder;
    if (!Best)
      Best = Each.Holder;
  }
  return Best;
}

/// Sends the current OpenTurn to one replica. Does not request the history
/// again from its newest turn once part of it has been received.
void askReplica(RelayContext &Context, const TurnLedger &Ledger,
                const HolderId &Holder) {
  OpenTurn Asked = Ledger.Asked;
  const bool IsWhollyMissing =
      Ledger.HistoryNeeded && Ledger.HistoryNeeded == Ledger.Asked.Previous;
  Asked.WantsHistory = IsWhollyMissing && Holder == Ledger.HistoryAsked;
  Context.send(Holder, std::move(Asked));
}

/// Sends a new OpenTurn to all connected replicas. If IsFirst, it also claims
/// the turn's tokens and requests the history from one replica.
void sendOpen(RelayContext &Context, RelayCall &Call, bool IsFirst) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  State.Opens.erase(Ledger.Asked.Operation);
  Ledger.AskedAt = State.Now;
  Ledger.Answered.clear();
  Ledger.Refused.clear();
  OpenTurn &Open = Ledger.Asked = OpenTurn();
  Open.Operation = LedgerOperationId(State.NextOperation++);
  State.Opens[Open.Operation] = Call.Request;
  Open.View = State.View.Version;
  Open.Turn = Call.Asked.Id;
  Open.Program = programOf(Call);
  Open.Previous = previousOf(Call);
  Open.Retention = Call.Route.Retention;
  if (IsFirst && hasClaim(Call)) {
    Open.Claimed = Call.Asked.MostTokens;
    Ledger.HasClaim = true;
  }
  const bool NeedsHistory = IsFirst && Open.Previous;
  const auto Source =
      NeedsHistory ? pickHistorySource(State, {}) : std::nullopt;
  if (NeedsHistory) {
    Ledger.HistoryAsked = Source.value_or(HolderId());
    Ledger.HistoryAskedAt = State.Now;
    Ledger.HistoryNeeded = Open.Previous;
    Ledger.HistoryTried = {Ledger.HistoryAsked};
    Ledger.History.clear();
  }
  for (const LedgerMember &Each : State.View.allMembers()) {
    if (State.Connected.count(Each.Holder) > 0)
      askReplica(Context, Ledger, Each.Holder);
  }
}

/// Returns whether the replicas that have answered or still may can form the
/// quorum that the call needs.
bool canSucceed(const RelayState &State, const RelayCall &Call) {
  std::set<HolderId> Possible = Call.Ledger.Answered;
  for (const HolderId &Each : liveReplicas(State)) {
    if (Call.Ledger.Refused.count(Each) == 0)
      Possible.insert(Each);
  }
  if (!State.View.isReadBy(Possible))
    return false;
  return !Call.Ledger.HasClaim || State.View.isWrittenBy(Possible);
}

/// Returns whether a turn waits for a quorum that can no longer be reached.
bool isHopeless(const RelayState &State, const RelayCall &Call) {
  return Call.Phase != RelayPhase::Collecting && !canSucceed(State, Call);
}

/// Returns the tokens claimed by other turns of the program.
TokenCount claimedByOthers(const RelayCall &Call) {
  const Fingerprint Own = fingerprintOf(Call.Asked.Id);
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
void collectHistory(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  Call.Phase = RelayPhase::Collecting;
  const auto Source = pickHistorySource(State, Ledger.HistoryTried);
  if (!Source) {
    refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    return;
  }
  Ledger.HistoryAsked = *Source;
  Ledger.HistoryAskedAt = State.Now;
  Ledger.HistoryTried.insert(*Source);
  OpenTurn Read;
  Read.Operation = Ledger.Asked.Operation;
  Read.View = State.View.Version;
  Read.Turn = Call.Asked.Id;
  Read.Program = programOf(Call);
  Read.Previous = Ledger.HistoryNeeded;
  Read.Retention = Call.Route.Retention;
  State.Opens[Read.Operation] = Call.Request;
  Ledger.Asked = std::move(Read);
  askReplica(Context, Ledger, *Source);
}

/// Dispatches a call whose claim and previous turn a quorum has confirmed, or
/// completes its history first.
void proceed(RelayContext &Context, RelayCall &Call) {
  TurnLedger &Ledger = Call.Ledger;
  if (!Ledger.HistoryNeeded) {
    Context.State.Opens.erase(Ledger.Asked.Operation);
    dispatchCall(Context, Call);
    return;
  }
  // If the first history source has not answered yet, its reply is awaited.
  Call.Phase = RelayPhase::Collecting;
  const bool HasAnswered = Ledger.Answered.count(Ledger.HistoryAsked) > 0 ||
                           Ledger.Refused.count(Ledger.HistoryAsked) > 0;
  if (HasAnswered)
    collectHistory(Context, Call);
}

/// Dispatches, confirms or refuses a turn once a quorum has answered, or
/// refuses it if a quorum can no longer be reached.
void evaluateOpen(RelayContext &Context, RelayCall &Call) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  const bool IsClaiming = Call.Phase == RelayPhase::Opening && Ledger.HasClaim;
  const bool IsCertain =
      State.View.isReadBy(Ledger.Answered) &&
      (!IsClaiming || State.View.isWrittenBy(Ledger.Answered));
  if (!IsCertain) {
    if (!canSucceed(State, Call))
      refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    return;
  }
  if (previousOf(Call) && Ledger.KnowPrevious.empty()) {
    refuseCall(Context, Call, RelayRefusalReason::UnknownTurn);
    return;
  }
  if (hasClaim(Call)) {
    const TokenCount Budget = *Call.Asked.Program->Budget;
    const TokenCount Taken = claimedByOthers(Call);
    if (!(Taken < Budget)) {
      Context.logCall("budget_exhausted", Call,
                      {{"program", programOf(Call).Value},
                       {"budget", std::to_string(Budget.Value)},
                       {"claimed", std::to_string(Taken.Value)}});
      refuseCall(Context, Call, RelayRefusalReason::BudgetExhausted);
      return;
    }
    // Concurrent claims may not see each other, as each may be answered by
    // replicas that the other has not reached yet. A second read starts only
    // once this claim is durable, so that of any two turns at least one sees
    // the other's claim.
    const TokenCount Margin{Call.Asked.MostTokens.Value *
                            State.Options.BudgetMarginClaims};
    if (Call.Phase == RelayPhase::Opening && Budget < Taken + Margin) {
      Call.Phase = RelayPhase::Confirming;
      sendOpen(Context, Call, false);
      return;
    }
  }
  proceed(Context, Call);
}

void takeHistory(RelayCall &Call, const TurnOpened &Reply) {
  TurnLedger &Ledger = Call.Ledger;
  if (!Reply.History || !Ledger.HistoryNeeded ||
      !(Reply.Holder == Ledger.HistoryAsked))
    return;
  Ledger.History = *Reply.History + Ledger.History;
  Ledger.HistoryNeeded = Reply.MissingTurn;
  if (Reply.MissingTurn)
    Ledger.HistoryTried = {Reply.Holder};
}

void handleOpened(RelayContext &Context, const HolderId &Holder,
                  const TurnOpened &Reply) {
  RelayState &State = Context.State;
  const auto Request = State.Opens.find(Reply.Operation);
  if (Request == State.Opens.end())
    return;
  RelayCall &Call = State.Calls.at(Request->second);
  TurnLedger &Ledger = Call.Ledger;
  const bool WasCollecting = Call.Phase == RelayPhase::Collecting;
  mergeClaims(Ledger, Reply.Claims);
  if (Reply.KnowsPrevious)
    Ledger.KnowPrevious.insert(Holder);
  if (!Reply.PreviousTarget.Value.empty())
    Ledger.PreviousTarget = Reply.PreviousTarget;
  takeHistory(Call, Reply);
  Ledger.Answered.insert(Holder);
  if (!WasCollecting) {
    evaluateOpen(Context, Call);
    return;
  }
  if (!Ledger.HistoryNeeded)
    proceed(Context, Call);
  else if (Holder == Ledger.HistoryAsked)
    collectHistory(Context, Call);
}

/// Sends the current view to a replica with an older one, and resends the
/// operation that it refused for that reason.
void bringUpToView(RelayContext &Context, const HolderId &Holder,
                   const LedgerRefused &Reply) {
  RelayState &State = Context.State;
  Context.log("replica_behind",
              {{"holder", Holder.Value},
               {"view", std::to_string(State.View.Version.Value)},
               {"its_view", std::to_string(Reply.View.Version.Value)}});
  Context.send(Holder, ViewOffer{State.View});
  const auto Open = State.Opens.find(Reply.Operation);
  if (Open != State.Opens.end())
    askReplica(Context, State.Calls.at(Open->second).Ledger, Holder);
  const auto Close = State.Closes.find(Reply.Operation);
  if (Close != State.Closes.end())
    Context.send(Holder, Close->second.Message);
}

void handleRefused(RelayContext &Context, const HolderId &Holder,
                   const LedgerRefused &Reply) {
  RelayState &State = Context.State;
  if (State.View.Version < Reply.View.Version) {
    adoptRelayView(Context, Reply.View);
    return;
  }
  if (Reply.View.Version < State.View.Version) {
    bringUpToView(Context, Holder, Reply);
    return;
  }
  const auto Request = State.Opens.find(Reply.Operation);
  if (Request == State.Opens.end())
    return;
  RelayCall &Call = State.Calls.at(Request->second);
  Call.Ledger.Refused.insert(Holder);
  if (Call.Phase != RelayPhase::Collecting)
    evaluateOpen(Context, Call);
  else if (Holder == Call.Ledger.HistoryAsked)
    collectHistory(Context, Call);
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
  void operator()(const LedgerRefused &Reply) {
    handleRefused(this->Context, this->Holder, Reply);
  }
  void operator()(const ViewOffer &Offer) {
    adoptRelayView(this->Context, Offer.View);
  }
  /// Ignores messages that are not meant for relays.
  template <typename Other> void operator()(const Other &) {}

private:
  RelayContext &Context;
  const HolderId &Holder;
};

/// Returns the calls with a pending ledger open.
std::vector<RequestId> waitingCalls(const RelayState &State) {
  std::vector<RequestId> Waiting;
  for (const auto &[Operation, Request] : State.Opens)
    Waiting.push_back(Request);
  return Waiting;
}

} // namespace

std::optional<TurnId> previousOf(const RelayCall &Call) {
  return Call.Route.KeepsHistory ? Call.Asked.Previous : std::nullopt;
}

ProgramId programOf(const RelayCall &Call) {
  return Call.Asked.Program ? Call.Asked.Program->Program : ProgramId();
}

bool needsLedger(const RelayCall &Call) {
  return hasClaim(Call) || previousOf(Call).has_value();
}

bool hasOtherClaims(const RelayCall &Call) {
  const Fingerprint Own = fingerprintOf(Call.Asked.Id);
  const auto &Claims = Call.Ledger.Claims;
  return std::any_of(Claims.begin(), Claims.end(),
                     [&Own](const auto &Each) { return !(Each.first == Own); });
}

void openTurn(RelayContext &Context, RelayCall &Call) {
  Call.Phase = RelayPhase::Opening;
  if (!canSucceed(Context.State, Call)) {
    refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    return;
  }
  sendOpen(Context, Call, true);
}

void handleReplica(RelayContext &Context, const HolderId &Holder,
                   const Message &Body) {
  const auto Heard = Context.State.HeardAt.find(Holder);
  if (Heard != Context.State.HeardAt.end())
    Heard->second = Context.now();
  std::visit(ReplicaMessageHandler(Context, Holder), Body);
}

void connectReplica(RelayContext &Context, const HolderId &Holder) {
  RelayState &State = Context.State;
  State.Connected.insert(Holder);
  State.HeardAt[Holder] = State.Now;
  Context.log("replica_connected", {{"holder", Holder.Value}});
  repeatClosesTo(Context, Holder);
}

void noteReplicaReach(RelayContext &Context, const HolderId &Holder,
                      bool IsServiceLost) {
  RelayState &State = Context.State;
  if (!IsServiceLost) {
    State.WithoutService.erase(Holder);
    return;
  }
  State.WithoutService.insert(Holder);
  const std::set<HolderId> Live = liveReplicas(State);
  const bool IsLostToAll =
      !Live.empty() &&
      std::includes(State.WithoutService.begin(), State.WithoutService.end(),
                    Live.begin(), Live.end());
  // This relay's own watch may not have noticed the outage yet, as it may still
  // be waiting for an answer.
  if (IsLostToAll)
    State.ServiceRegainedAt = State.Now;
}

void disconnectReplica(RelayContext &Context, const HolderId &Holder) {
  RelayState &State = Context.State;
  State.Connected.erase(Holder);
  State.WithoutService.erase(Holder);
  State.HeardAt.erase(Holder);
  Context.log("replica_disconnected", {{"holder", Holder.Value}});
  for (const RequestId Request : waitingCalls(State)) {
    const auto Found = State.Calls.find(Request);
    if (Found == State.Calls.end())
      continue;
    if (Found->second.Phase != RelayPhase::Collecting)
      evaluateOpen(Context, Found->second);
    else if (Found->second.Ledger.HistoryAsked == Holder)
      collectHistory(Context, Found->second);
  }
}

void adoptRelayView(RelayContext &Context, const LedgerView &View) {
  RelayState &State = Context.State;
  if (!(State.View.Version < View.Version))
    return;
  State.View = View;
  Context.log("ledger_view_adopted",
              {{"version", std::to_string(View.Version.Value)},
               {"current", std::to_string(View.Current.size())},
               {"next", std::to_string(View.Next.size())}});
  Context.add(ConnectReplicas{View.allMembers()});
  for (const RequestId Request : waitingCalls(State)) {
    const auto Found = State.Calls.find(Request);
    if (Found != State.Calls.end())
      openTurn(Context, Found->second);
  }
  repeatCloses(Context);
}

void reviewQuorum(RelayContext &Context) {
  RelayState &State = Context.State;
  const std::set<HolderId> Live = liveReplicas(State);
  const bool HasQuorum = !State.View.Current.empty() &&
                         State.View.isReadBy(Live) &&
                         State.View.isWrittenBy(Live);
  if (HasQuorum == !State.LedgerLostSince)
    return;
  Context.log(HasQuorum ? "ledger_regained" : "ledger_lost",
              {{"view", std::to_string(State.View.Version.Value)},
               {"connected", std::to_string(State.Connected.size())},
               {"live", std::to_string(Live.size())}});
  if (HasQuorum)
    State.LedgerLostSince.reset();
  else
    State.LedgerLostSince = State.Now;
}

void forgiveSilence(RelayState &State) {
  for (auto &[Holder, Heard] : State.HeardAt)
    Heard = State.Now;
}

void reviewLedger(RelayContext &Context) {
  RelayState &State = Context.State;
  for (const RequestId Request : waitingCalls(State)) {
    const auto Found = State.Calls.find(Request);
    if (Found == State.Calls.end())
      continue;
    RelayCall &Call = Found->second;
    const TurnLedger &Ledger = Call.Ledger;
    const bool IsOverdue =
        State.Options.LedgerLimit <= State.Now - Ledger.AskedAt;
    if (IsOverdue || isHopeless(State, Call))
      refuseCall(Context, Call, RelayRefusalReason::LedgerUnavailable);
    else if (Call.Phase == RelayPhase::Collecting &&
             State.Options.HistoryLimit <= State.Now - Ledger.HistoryAskedAt)
      collectHistory(Context, Call);
  }
  dropOldCloses(State);
}

} // namespace tanagerlanding
