#include "ConnectedReplicas.h"

#include "tanagerlanding/decision/ledger/SegmentIndex.h"

#include <algorithm>

namespace tanagerlanding::test {

namespace {

constexpr std::size_t BatchesPerSegment = 4;
constexpr std::uint32_t BatchBytes = 10;
constexpr std::uint32_t BatchesPerPage = 10;
constexpr Milliseconds LeaseTime{2000};
/// Messages that follow from each other within one step of time.
constexpr int RoundTripsPerStep = 3;
constexpr Milliseconds RetentionMargin{3000};
/// After which the relay's caller has left.
constexpr Milliseconds CloseTimeout{2000};
const HostId Relay("relay");

HostId hostName(std::size_t Number) {
  return HostId("h" + std::to_string(Number));
}

} // namespace

ConnectedReplicas::ConnectedReplicas(std::uint64_t Seed, unsigned HostCount)
    : Random(Seed), Now{Milliseconds(100000)} {
  for (unsigned Host = 0; Host < HostCount; ++Host) {
    Node Fresh;
    Fresh.Host = hostName(Host);
    this->Nodes.push_back(std::move(Fresh));
    this->emptyDisk(this->Nodes.back());
  }
  for (unsigned Host = 0; Host < HostCount; ++Host)
    this->start(Host);
}

ConnectedReplicas::Node *ConnectedReplicas::find(const HostId &Host) {
  for (Node &Each : this->Nodes) {
    if (Each.Host == Host)
      return &Each;
  }
  return nullptr;
}

const ConnectedReplicas::Node *
ConnectedReplicas::find(const HostId &Host) const {
  return const_cast<ConnectedReplicas *>(this)->find(Host);
}

bool ConnectedReplicas::isRunning(const LedgerMember &Member) const {
  const Node *At = this->find(Member.Host);
  return At->State && At->Stored.Holder == Member.Holder;
}

void ConnectedReplicas::emptyDisk(Node &At) {
  At.Stored = Disk();
  At.Stored.Holder = HolderId("r" + std::to_string(this->NextHolder++));
}

void ConnectedReplicas::readDisk(Node &At) {
  Disk &Stored = At.Stored;
  At.IsReadingDisk = true;
  for (const auto &[Segment, Batches] : Stored.Segments) {
    std::vector<IndexedBatch> Found;
    for (std::size_t Offset = 0; Offset < Batches.size(); ++Offset)
      Found.push_back({BatchLocation{Segment, Offset, BatchBytes},
                       withoutText(Batches[Offset])});
    if (Segment != Stored.LastSegment)
      Found = withoutSuperseded(std::move(Found));
    for (IndexedBatch &Each : Found) {
      const Milliseconds Age =
          this->Now - Instant{Milliseconds(Each.Batch.WrittenAtMillis)};
      this->apply(At, LedgerBatchRecovered{Each.Place, Each.Batch, Age});
    }
  }
  At.IsReadingDisk = false;
  for (auto Each = Stored.Segments.begin(); Each != Stored.Segments.end();) {
    const bool IsNeeded = At.State->BatchesInSegment.count(Each->first) > 0 ||
                          Each->first == Stored.LastSegment;
    Each = IsNeeded ? std::next(Each) : Stored.Segments.erase(Each);
  }
}

void ConnectedReplicas::start(unsigned Host) {
  Node &At = this->Nodes[Host];
  if (At.State || At.IsRemoved)
    return;
  At.State.emplace();
  LedgerState &State = *At.State;
  State.Options.PageBytes = BatchesPerPage * BatchBytes;
  State.Options.RetentionMargin = RetentionMargin;
  State.Now = this->Now;
  State.Run = InstanceId("run" + std::to_string(this->NextRun++));
  this->readDisk(At);
  State.View = At.Stored.View;
  State.Self = LedgerMember{At.Stored.Holder, At.Host, "10.0.0.1", 90,
                            ZoneId("zone-" + At.Host.Value)};
  for (const auto &[Name, Member] : this->Registered)
    At.Notices.push_back(ReplicaRegistered{Member});
  for (const auto &[Holder, Version] : this->Synced)
    At.Notices.push_back(ReplicaSynced{Holder, Version});
  for (const HostId &Each : this->Retiring)
    At.Notices.push_back(RetirementRequested{Each, true});
  if (this->ViewAt.Value > 0)
    At.Notices.push_back(LedgerViewObserved{this->View, this->ViewAt});
  At.Notices.push_back(LedgerServiceSnapshotRead{});
  At.RegistrationEndsAt.reset();
  this->Registered[At.Host] = State.Self;
  this->notifyAll(ReplicaRegistered{State.Self});
  Hello Greeting;
  Greeting.Host = At.Host;
  Greeting.Holder = At.Stored.Holder;
  for (Node &Other : this->Nodes) {
    if (!Other.State || Other.Host == At.Host)
      continue;
    this->send(At.Host, Other.Host, Greeting);
    Hello Reply;
    Reply.Host = Other.Host;
    Reply.Holder = Other.Stored.Holder;
    this->send(Other.Host, At.Host, Reply);
    if (Other.State->View.Version.Value > 0)
      this->send(Other.Host, At.Host, ViewOffer{Other.State->View});
  }
  this->send(At.Host, Relay, ViewOffer{State.View});
  for (auto &[Operation, Pending] : this->Closes)
    this->sendClose(Pending, At.Host);
}

void ConnectedReplicas::kill(unsigned Host) {
  Node &At = this->Nodes[Host];
  if (!At.State)
    return;
  while (!At.Unpersisted.empty() && this->draw(2) == 0)
    this->persistNext(At);
  At.Unpersisted.clear();
  const std::deque<LedgerEffect> UnderWay = std::move(At.Calls);
  At.Calls.clear();
  At.State.reset();
  At.Notices.clear();
  At.IsFrozen = false;
  for (const LedgerEffect &Each : UnderWay) {
    if (this->draw(2) == 0)
      this->carryOutCall(At, Each);
  }
  for (auto &[Between, Queue] : this->Links) {
    if (Between.second == At.Host)
      Queue.clear();
    else if (Between.first == At.Host)
      Queue.resize(this->draw(Queue.size() + 1));
  }
  At.RegistrationEndsAt = this->Now + LeaseTime;
}

void ConnectedReplicas::loseDisk(unsigned Host) {
  this->kill(Host);
  this->emptyDisk(this->Nodes[Host]);
}

void ConnectedReplicas::setFrozen(unsigned Host, bool IsFrozen) {
  this->Nodes[Host].IsFrozen = IsFrozen && this->Nodes[Host].State;
}

void ConnectedReplicas::retire(unsigned Host) {
  this->Retiring.insert(this->Nodes[Host].Host);
  this->notifyAll(RetirementRequested{this->Nodes[Host].Host, true});
}

bool ConnectedReplicas::isRemoved(unsigned Host) const {
  return this->Nodes[Host].IsRemoved;
}

void ConnectedReplicas::advance(Milliseconds Span) {
  for (Milliseconds Passed{0}; Passed < Span; Passed += Milliseconds(100)) {
    for (int Times = 0; Times < RoundTripsPerStep; ++Times)
      this->makeProgress();
    this->Now = this->Now + Milliseconds(100);
    this->completeCloses();
    for (Node &Each : this->Nodes) {
      if (Each.RegistrationEndsAt && *Each.RegistrationEndsAt < this->Now) {
        Each.RegistrationEndsAt.reset();
        this->Registered.erase(Each.Host);
        this->Synced.erase(Each.Stored.Holder);
        this->notifyAll(ReplicaUnregistered{Each.Host});
      }
      if (!Each.IsFrozen)
        this->apply(Each, LedgerTick{this->Now});
    }
  }
}

void ConnectedReplicas::makeProgress() {
  std::size_t Steps = 0;
  for (const auto &[Between, Queue] : this->Links)
    Steps += Queue.size();
  for (const Node &Each : this->Nodes)
    Steps += Each.Unpersisted.size() + Each.Notices.size() + Each.Calls.size();
  for (Steps = 20 + 4 * Steps; Steps > 0; --Steps) {
    Node &At = this->Nodes[this->draw(this->Nodes.size())];
    const std::uint64_t Kind = this->draw(6);
    if (Kind < 3 && !this->Links.empty()) {
      auto Each = this->Links.begin();
      std::advance(Each, this->draw(this->Links.size()));
      this->deliver(Each->first);
    } else if (At.IsFrozen || !At.State) {
      continue;
    } else if (Kind == 3) {
      this->persistNext(At);
    } else if (Kind == 4 && !At.Notices.empty()) {
      const LedgerEvent Event = std::move(At.Notices.front());
      At.Notices.pop_front();
      this->apply(At, Event);
    } else if (Kind == 5 && !At.Calls.empty()) {
      const LedgerEffect Call = std::move(At.Calls.front());
      At.Calls.pop_front();
      this->carryOutCall(At, Call);
    }
  }
}

void ConnectedReplicas::send(const HostId &From, const HostId &To,
                             Message Body) {
  this->Links[Link(From, To)].push_back(std::move(Body));
}

void ConnectedReplicas::notifyAll(const LedgerEvent &Event) {
  for (Node &Each : this->Nodes) {
    if (Each.State)
      Each.Notices.push_back(Event);
  }
}

void ConnectedReplicas::deliver(const Link &Between) {
  std::deque<Message> &Queue = this->Links[Between];
  if (Queue.empty())
    return;
  Node *To = this->find(Between.second);
  if (To && To->IsFrozen)
    return;
  const Message Body = std::move(Queue.front());
  Queue.pop_front();
  if (Between.second == Relay)
    this->receiveAtRelay(Between.first, Body);
  else if (!To)
    this->ReceiveAtRelay(Between.second, Between.first, Body);
  else if (const auto *Greeting = std::get_if<Hello>(&Body))
    this->apply(*To, ReplicaHelloReceived{Greeting->Host, *Greeting->Holder});
  else
    this->apply(*To, LedgerMessageReceived{Between.first, Body});
}

void ConnectedReplicas::apply(Node &At, const LedgerEvent &Event) {
  if (!At.State)
    return;
  At.State->Now = this->Now;
  for (const LedgerEffect &Each : reduce(*At.State, Event))
    this->perform(At, Each);
}

std::vector<LedgerBatch>
ConnectedReplicas::read(const Node &At,
                        const std::vector<BatchLocation> &Places) const {
  std::vector<LedgerBatch> Found;
  for (const BatchLocation &Each : Places)
    Found.push_back(At.Stored.Segments.at(Each.Segment).at(Each.Offset));
  return Found;
}

std::string ConnectedReplicas::historyOf(const Node &At,
                                         const SendHistory &Asked) const {
  std::string History;
  for (const auto &[Turn, Place] : Asked.Turns) {
    const LedgerBatch Batch = this->read(At, {Place}).front();
    for (const LedgerRecord &Each : Batch.Records) {
      const auto *Kept = std::get_if<TurnRecord>(&Each);
      if (Kept && Kept->Turn == Turn)
        History += Kept->Input.text() + Kept->Output.text();
    }
  }
  return History;
}

void ConnectedReplicas::setRelayReceiver(RelayReceiver Receiver) {
  this->ReceiveAtRelay = std::move(Receiver);
}

void ConnectedReplicas::sendFromRelay(const HostId &From, const HostId &To,
                                      Message Body) {
  const Node *At = this->find(To);
  if (At && At->State)
    this->send(From, To, std::move(Body));
}

void ConnectedReplicas::disconnectRelay(const HostId &From, const HostId &Host,
                                        bool IsRelayLost) {
  this->Links[Link(Host, From)].clear();
  std::deque<Message> &Sent = this->Links[Link(From, Host)];
  Sent.resize(IsRelayLost ? this->draw(Sent.size() + 1) : 0);
}

bool ConnectedReplicas::isReachable(const LedgerMember &Member) const {
  return this->isRunning(Member) && !this->find(Member.Host)->IsFrozen;
}

void ConnectedReplicas::perform(Node &At, const LedgerEffect &Effect) {
  if (const auto *Persist = std::get_if<PersistLedgerBatch>(&Effect)) {
    At.Unpersisted.push_back(*Persist);
  } else if (const auto *Persisted = std::get_if<PersistLedgerView>(&Effect)) {
    At.Stored.View = Persisted->View;
  } else if (const auto *Sent = std::get_if<SendHost>(&Effect)) {
    const Node *To = this->find(Sent->Host);
    if (!To || To->State)
      this->send(At.Host, Sent->Host, Sent->Body);
  } else if (const auto *Asked = std::get_if<SendHistory>(&Effect)) {
    TurnOpened Reply = Asked->Reply;
    Reply.History = this->historyOf(At, *Asked);
    this->send(At.Host, Asked->Peer, std::move(Reply));
  } else if (const auto *Page = std::get_if<SendRecords>(&Effect)) {
    RecordsPage Body = Page->Header;
    Body.Batches = this->read(At, Page->Batches);
    const Node *To = this->find(Page->Peer);
    if (To && To->State)
      this->send(At.Host, Page->Peer, std::move(Body));
  } else if (const auto *Turns = std::get_if<SendTurns>(&Effect)) {
    TurnsFound Body = Turns->Header;
    Body.Batches = this->read(At, Turns->Batches);
    const Node *To = this->find(Turns->Peer);
    if (To && To->State)
      this->send(At.Host, Turns->Peer, std::move(Body));
  } else if (const auto *Dropped = std::get_if<DropSegment>(&Effect)) {
    // As in a data folder, a segment may be needed again while it is read.
    if (!At.IsReadingDisk && Dropped->Segment != At.Stored.LastSegment)
      At.Stored.Segments.erase(Dropped->Segment);
  } else if (std::holds_alternative<WriteLedgerView>(Effect) ||
             std::holds_alternative<WriteSynced>(Effect) ||
             std::holds_alternative<ReportRetirement>(Effect)) {
    At.Calls.push_back(Effect);
  }
}

void ConnectedReplicas::persistNext(Node &At) {
  if (At.Unpersisted.empty())
    return;
  PersistLedgerBatch Next = std::move(At.Unpersisted.front());
  At.Unpersisted.pop_front();
  Disk &Stored = At.Stored;
  if (Stored.Segments[Stored.LastSegment].size() == BatchesPerSegment)
    ++Stored.LastSegment;
  std::vector<LedgerBatch> &Last = Stored.Segments[Stored.LastSegment];
  Next.Batch.WrittenAtMillis = this->Now.SinceStart.count();
  Last.push_back(std::move(Next.Batch));
  this->apply(At, LedgerBatchStored{
                      Next.Ticket, BatchLocation{Stored.LastSegment,
                                                 Last.size() - 1, BatchBytes}});
}

void ConnectedReplicas::carryOutCall(Node &At, const LedgerEffect &Call) {
  if (const auto *Write = std::get_if<WriteLedgerView>(&Call)) {
    if (!(Write->Expected == this->ViewAt))
      return;
    this->View = Write->View;
    this->ViewAt = Revision(this->ViewAt.Value + 1);
    this->notifyAll(LedgerViewObserved{this->View, this->ViewAt});
    this->send(At.Host, Relay, ViewOffer{this->View});
  } else if (const auto *Published = std::get_if<WriteSynced>(&Call)) {
    this->Synced[At.Stored.Holder] = Published->View;
    this->notifyAll(ReplicaSynced{At.Stored.Holder, Published->View});
  } else if (const auto *Report = std::get_if<ReportRetirement>(&Call)) {
    Node *Retired = this->find(Report->Host);
    if (!Report->IsCompleted || Retired->IsRemoved)
      return;
    Retired->IsRemoved = true;
    this->kill(static_cast<unsigned>(Retired - this->Nodes.data()));
    Retired->Stored = Disk();
  }
}

void ConnectedReplicas::sendClose(Close &Pending, const HostId &To) {
  Pending.Message.View = this->RelayView.Version;
  this->send(Relay, To, Pending.Message);
}

void ConnectedReplicas::sendCloses() {
  for (auto &[Operation, Pending] : this->Closes) {
    for (const LedgerMember &Each : this->RelayView.allMembers()) {
      if (this->isRunning(Each) && Pending.ConfirmedBy.count(Each.Holder) == 0)
        this->sendClose(Pending, Each.Host);
    }
  }
}

void ConnectedReplicas::adoptAtRelay(const LedgerView &Offered) {
  if (!(this->RelayView.Version < Offered.Version))
    return;
  this->RelayView = Offered;
  this->completeCloses();
  this->sendCloses();
}

void ConnectedReplicas::receiveAtRelay(const HostId &From,
                                       const Message &Body) {
  if (const auto *Offer = std::get_if<ViewOffer>(&Body)) {
    this->adoptAtRelay(Offer->View);
  } else if (const auto *Refused = std::get_if<LedgerRefused>(&Body)) {
    this->adoptAtRelay(Refused->View);
    const auto Pending = this->Closes.find(Refused->Operation);
    if (!(Refused->View.Version < this->RelayView.Version))
      return;
    this->send(Relay, From, ViewOffer{this->RelayView});
    if (Pending != this->Closes.end())
      this->sendClose(Pending->second, From);
  } else if (const auto *Closed = std::get_if<TurnClosed>(&Body)) {
    const auto Pending = this->Closes.find(Closed->Operation);
    if (Pending == this->Closes.end())
      return;
    Pending->second.ConfirmedBy.insert(Closed->Holder);
    this->completeCloses();
  }
}

void ConnectedReplicas::completeCloses() {
  for (auto Each = this->Closes.begin(); Each != this->Closes.end();) {
    const Close &Pending = Each->second;
    const bool IsDurable = this->RelayView.hasWriteQuorum(Pending.ConfirmedBy);
    const bool IsLate = CloseTimeout <= this->Now - Pending.Since;
    if (!IsDurable && !IsLate) {
      ++Each;
      continue;
    }
    Chain &Of = this->Chains[Pending.Chain];
    Of.IsClosing = false;
    if (IsDurable) {
      Of.Turns.push_back(Pending.Message.Turn);
      Of.AnsweredAt = this->Now;
      ++this->Answered;
    }
    Each = this->Closes.erase(Each);
  }
}

void ConnectedReplicas::runTurn(unsigned Number) {
  Chain &Of = this->Chains[Number];
  if (Of.IsClosing || this->RelayView.Version.Value == 0)
    return;
  if (Of.AnsweredAt && Retention <= this->Now - *Of.AnsweredAt)
    Of = Chain();
  if (!this->isReadable(Of.Turns, {}))
    return;
  Close Pending;
  Pending.Chain = Number;
  Pending.Since = this->Now;
  CloseTurn &Message = Pending.Message;
  Message.Operation = LedgerOperationId(this->NextOperation++);
  Message.Program = ProgramId("p" + std::to_string(Number));
  Message.Turn = TurnId("c" + std::to_string(Number) + "-" +
                        std::to_string(Message.Operation.Value));
  Message.Used = TokenCount{1};
  Message.IsKept = true;
  if (!Of.Turns.empty())
    Message.Previous = Of.Turns.back();
  Message.Retention = Retention;
  OpenTurn Open;
  Open.Operation = LedgerOperationId(this->NextOperation++);
  Open.View = this->RelayView.Version;
  Open.Turn = Message.Turn;
  Open.Program = Message.Program;
  Open.Claimed = TokenCount{5};
  Open.Previous = Message.Previous;
  Open.Retention = Retention;
  for (const LedgerMember &Each : this->RelayView.allMembers()) {
    if (this->isRunning(Each))
      this->send(Relay, Each.Host, Open);
  }
  Of.IsClosing = true;
  Close &Kept = this->Closes[Message.Operation] = std::move(Pending);
  for (const LedgerMember &Each : this->RelayView.allMembers()) {
    if (this->isRunning(Each))
      this->sendClose(Kept, Each.Host);
  }
}

bool ConnectedReplicas::isReadable(const std::vector<TurnId> &Turns,
                                   const std::set<HostId> &Lost) const {
  return std::all_of(Turns.begin(), Turns.end(), [&](const TurnId &Turn) {
    return std::any_of(this->View.Current.begin(), this->View.Current.end(),
                       [&](const LedgerMember &Each) {
                         const Node *At = this->find(Each.Host);
                         return Lost.count(Each.Host) == 0 &&
                                this->isRunning(Each) &&
                                At->State->Turns.count(Turn) > 0;
                       });
  });
}

std::vector<std::string>
ConnectedReplicas::unreadableChains(const std::set<HostId> &Lost) const {
  std::vector<std::string> Found;
  for (const auto &[Number, Each] : this->Chains) {
    const bool IsKept =
        Each.AnsweredAt && this->Now - *Each.AnsweredAt < Retention;
    if (IsKept && !this->isReadable(Each.Turns, Lost))
      Found.push_back(Each.Turns.back().Value);
  }
  return Found;
}

std::set<HostId> ConnectedReplicas::memberHosts() const {
  std::set<HostId> Found;
  for (const LedgerMember &Each : this->View.Current)
    Found.insert(Each.Host);
  return Found;
}

std::string ConnectedReplicas::membershipFault() const {
  if (this->View.isChanging())
    return "the change to view " + std::to_string(this->View.Version.Value) +
           " is not complete";
  for (const LedgerMember &Each : this->View.Current) {
    if (!this->isRunning(Each))
      return Each.Holder.Value + " on " + Each.Host.Value +
             " is lost and still a member";
  }
  return "";
}

} // namespace tanagerlanding::test
