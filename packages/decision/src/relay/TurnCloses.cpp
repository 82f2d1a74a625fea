#include "TurnCloses.h"

#include "Attempts.h"
#include "Teams.h"
#include "Turns.h"

namespace tanagerlanding {

namespace {

/// How long a close is pending before it is dropped. That is safe: without a
/// close the claim counts in full.
constexpr Milliseconds CloseTimeout{10000};

void sendClose(RelayContext &Context, PendingClose &Close) {
  RelayState &State = Context.State;
  Close.Message.View = State.View.Version;
  for (const LedgerMember &Each : State.View.allMembers()) {
    if (State.ConnectedReplicas.count(Each.Holder) > 0 &&
        Close.ConfirmedBy.count(Each.Holder) == 0)
      Context.send(Each.Holder, Close.Message);
  }
}

/// Completes a close if a quorum has confirmed it. Returns whether it has.
bool completeClose(RelayContext &Context, LedgerOperationId Operation) {
  RelayState &State = Context.State;
  const auto Found = State.PendingCloses.find(Operation);
  if (!State.View.hasWriteQuorum(Found->second.ConfirmedBy))
    return false;
  const auto WaitingCall = Found->second.WaitingCall;
  State.PendingCloses.erase(Found);
  const auto Call =
      WaitingCall ? State.Calls.find(*WaitingCall) : State.Calls.end();
  if (Call != State.Calls.end())
    finishCall(Context, Call->second);
  return true;
}

} // namespace

std::optional<LedgerOperationId> closeTurn(RelayContext &Context,
                                           RelayCall &Call, bool IsKept) {
  RelayState &State = Context.State;
  TurnLedger &Ledger = Call.Ledger;
  const bool HasOpenClaim = Ledger.HasClaim && !Ledger.IsSettled;
  if (!HasOpenClaim && !IsKept)
    return std::nullopt;
  Ledger.IsSettled = true;
  PendingClose Close;
  Close.Since = State.Now;
  Close.Message.Operation = LedgerOperationId(State.NextOperation++);
  Close.Message.Program = programOf(Call);
  Close.Message.Turn = turnOf(Call);
  Close.Message.Retention = Call.Route.Retention;
  if (HasOpenClaim)
    Close.Message.Used =
        TokenCount{Call.EventsSent * Call.TokensPerEvent.Value};
  if (IsKept) {
    Close.Message.IsKept = true;
    Close.Message.Previous = previousOf(Call);
    Close.Message.Input = std::move(Call.InboundRequest.Body);
    Close.Message.Output = std::move(Call.Output);
    Close.Message.Target = Call.Target;
  }
  const LedgerOperationId Operation = Close.Message.Operation;
  PendingClose &Kept = State.PendingCloses[Operation] = std::move(Close);
  sendClose(Context, Kept);
  return Operation;
}

void handleClosed(RelayContext &Context, const HolderId &Holder,
                  const TurnClosed &Reply) {
  const auto Found = Context.State.PendingCloses.find(Reply.Operation);
  if (Found == Context.State.PendingCloses.end())
    return;
  Found->second.ConfirmedBy.insert(Holder);
  completeClose(Context, Reply.Operation);
}

void reviewCloses(RelayContext &Context) {
  std::vector<LedgerOperationId> Pending;
  for (const auto &[Operation, Close] : Context.State.PendingCloses)
    Pending.push_back(Operation);
  for (const LedgerOperationId Operation : Pending) {
    if (!completeClose(Context, Operation))
      sendClose(Context, Context.State.PendingCloses.at(Operation));
  }
}

void resendClosesTo(RelayContext &Context, const HolderId &Holder) {
  for (const auto &[Operation, Close] : Context.State.PendingCloses) {
    if (Close.ConfirmedBy.count(Holder) == 0)
      Context.send(Holder, Close.Message);
  }
}

void dropExpiredCloses(RelayState &State) {
  for (auto Each = State.PendingCloses.begin();
       Each != State.PendingCloses.end();) {
    const bool IsOld = CloseTimeout <= State.Now - Each->second.Since;
    Each = IsOld ? State.PendingCloses.erase(Each) : std::next(Each);
  }
}

} // namespace tanagerlanding
