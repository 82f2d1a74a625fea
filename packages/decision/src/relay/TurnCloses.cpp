#include "TurnCloses.h"

#include "Attempts.h"
#include "Teams.h"
#include "Turns.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace tanagerlanding {

namespace {

/// How long a close is pending before it is dropped. That is safe: without a
/// close the claim counts in full.
constexpr Milliseconds CloseTimeout{10000};

/// Returns the stub that replicas without the text are sent.
CloseTurn stubOf(const PendingClose &Close) {
  const CloseTurn &Whole = Close.Message;
  CloseTurn Stub;
  Stub.Operation = *Close.StubOperation;
  Stub.View = Whole.View;
  Stub.Program = Whole.Program;
  Stub.Used = Whole.Used;
  Stub.Turn = Whole.Turn;
  Stub.IsKept = true;
  Stub.Previous = Whole.Previous;
  Stub.Target = Whole.Target;
  Stub.Retention = Whole.Retention;
  Stub.Stub =
      TurnTextStub{fingerprintOfContent({Whole.Input, Whole.Output}), {}};
  for (const auto &[Holder, SentAt] : Close.TextSentAt)
    Stub.Stub->TextHolders.push_back(Holder);
  return Stub;
}

/// Sends one replica what it has not confirmed of a close: the text if it was
/// chosen for it, otherwise the stub.
void sendCloseTo(RelayContext &Context, const PendingClose &Close,
                 const HolderId &Holder) {
  if (Close.ConfirmedBy.count(Holder) > 0)
    return;
  if (!Close.StubOperation || Close.TextSentAt.count(Holder) > 0)
    Context.send(Holder, Close.Message);
  else if (Close.StubConfirmedBy.count(Holder) == 0)
    Context.send(Holder, stubOf(Close));
}

/// Returns whether a replica has confirmed a text or may still do so in time.
bool countsForText(const RelayState &State, const PendingClose &Close,
                   const HolderId &Holder) {
  if (Close.ConfirmedBy.count(Holder) > 0)
    return true;
  const auto Sent = Close.TextSentAt.find(Holder);
  return Sent != Close.TextSentAt.end() &&
         State.ConnectedReplicas.count(Holder) > 0 &&
         Close.TextRefusedBy.count(Holder) == 0 &&
         State.Now - Sent->second < State.Options.TextConfirmTimeout;
}

/// Returns the connected members of a set, the nearest first: live ones, those
/// of this zone before others, in an order that differs by relay so that relays
/// of one zone do not all choose the same members elsewhere.
std::vector<HolderId> nearestOf(const RelayState &State,
                                const std::vector<LedgerMember> &Set) {
  const std::set<HolderId> Live = liveReplicas(State);
  std::vector<std::tuple<bool, bool, std::uint64_t, HolderId>> Ranked;
  for (const LedgerMember &Each : Set) {
    if (State.ConnectedReplicas.count(Each.Holder) > 0)
      Ranked.emplace_back(
          Live.count(Each.Holder) == 0, !(Each.Zone == State.Zone),
          fingerprintOfContent({State.Self.Value, Each.Holder.Value}).Value,
          Each.Holder);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<HolderId> Nearest;
  for (const auto &Each : Ranked)
    Nearest.push_back(std::get<HolderId>(Each));
  return Nearest;
}

/// Chooses further members of a set for the text until a write quorum of it has
/// confirmed it or may still do so in time. Returns those chosen.
std::vector<HolderId> chooseForText(const RelayState &State,
                                    PendingClose &Close,
                                    const std::vector<LedgerMember> &Set) {
  std::vector<HolderId> Chosen;
  std::size_t Counted = 0;
  for (const LedgerMember &Each : Set)
    Counted += countsForText(State, Close, Each.Holder) ? 1 : 0;
  for (const HolderId &Each : nearestOf(State, Set)) {
    if (State.View.writeQuorum(Set) <= Counted)
      break;
    if (Close.ConfirmedBy.count(Each) > 0 ||
        !Close.TextSentAt.emplace(Each, State.Now).second)
      continue;
    Chosen.push_back(Each);
    ++Counted;
  }
  return Chosen;
}

/// Chooses members for the text in both sets of the view, as a write needs a
/// quorum of each.
std::vector<HolderId> chooseForText(const RelayState &State,
                                    PendingClose &Close) {
  std::vector<HolderId> Chosen =
      chooseForText(State, Close, State.View.Current);
  const auto InNext = chooseForText(State, Close, State.View.Next);
  Chosen.insert(Chosen.end(), InNext.begin(), InNext.end());
  return Chosen;
}

void sendClose(RelayContext &Context, PendingClose &Close) {
  RelayState &State = Context.State;
  Close.Message.View = State.View.Version;
  if (Close.StubOperation)
    chooseForText(State, Close);
  for (const LedgerMember &Each : State.View.allMembers()) {
    if (State.ConnectedReplicas.count(Each.Holder) > 0)
      sendCloseTo(Context, Close, Each.Holder);
  }
}

/// Returns the close with an operation for the text or for stubs. A stub's
/// operation follows that of its text.
std::map<LedgerOperationId, PendingClose>::iterator
findClose(RelayState &State, LedgerOperationId Operation) {
  auto Found = State.PendingCloses.upper_bound(Operation);
  if (Found == State.PendingCloses.begin())
    return State.PendingCloses.end();
  --Found;
  const bool IsMatch =
      Found->first == Operation || Found->second.StubOperation == Operation;
  return IsMatch ? Found : State.PendingCloses.end();
}

/// Completes a close if a quorum has confirmed it.
void completeClose(RelayContext &Context, LedgerOperationId Operation) {
  RelayState &State = Context.State;
  const auto Found = State.PendingCloses.find(Operation);
  if (!State.View.hasWriteQuorum(Found->second.ConfirmedBy))
    return;
  const auto WaitingCall = Found->second.WaitingCall;
  State.PendingCloses.erase(Found);
  if (!WaitingCall)
    return;
  const auto Call = State.Calls.find(*WaitingCall);
  if (Call != State.Calls.end())
    finishCall(Context, Call->second);
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
    if (State.Options.TextCopies == TurnTextCopies::Nearest)
      Close.StubOperation = LedgerOperationId(State.NextOperation++);
  }
  const LedgerOperationId Operation = Close.Message.Operation;
  PendingClose &Kept = State.PendingCloses[Operation] = std::move(Close);
  sendClose(Context, Kept);
  return Operation;
}

void handleClosed(RelayContext &Context, const HolderId &Holder,
                  const TurnClosed &Reply) {
  const auto Found = findClose(Context.State, Reply.Operation);
  if (Found == Context.State.PendingCloses.end())
    return;
  if (!(Found->first == Reply.Operation)) {
    Found->second.StubConfirmedBy.insert(Holder);
    return;
  }
  Found->second.ConfirmedBy.insert(Holder);
  completeClose(Context, Reply.Operation);
}

void resendCloses(RelayContext &Context) {
  for (auto &[Operation, Close] : Context.State.PendingCloses)
    sendClose(Context, Close);
}

void resendClosesTo(RelayContext &Context, const HolderId &Holder) {
  for (const auto &[Operation, Close] : Context.State.PendingCloses)
    sendCloseTo(Context, Close, Holder);
  sendMissingTexts(Context);
}

void resendRefusedClose(RelayContext &Context, const HolderId &Holder,
                        LedgerOperationId Operation) {
  const auto Found = findClose(Context.State, Operation);
  if (Found == Context.State.PendingCloses.end())
    return;
  const PendingClose &Close = Found->second;
  if (Found->first == Operation)
    Context.send(Holder, Close.Message);
  else
    Context.send(Holder, stubOf(Close));
}

void handleCloseRefused(RelayContext &Context, const HolderId &Holder,
                        LedgerOperationId Operation) {
  const auto Found = Context.State.PendingCloses.find(Operation);
  if (Found == Context.State.PendingCloses.end() ||
      !Found->second.StubOperation)
    return;
  Found->second.TextRefusedBy.insert(Holder);
  sendMissingTexts(Context);
}

void sendMissingTexts(RelayContext &Context) {
  for (auto &[Operation, Close] : Context.State.PendingCloses) {
    if (!Close.StubOperation)
      continue;
    for (const HolderId &Each : chooseForText(Context.State, Close))
      Context.send(Each, Close.Message);
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
