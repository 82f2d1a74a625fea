#include "ConnectedStates.h"

#include <algorithm>

namespace tanagerlanding::test {

namespace {

constexpr std::uint32_t Shards = 2;
constexpr const char *Service = "cache-app";
constexpr const char *Zones[] = {"hall-concord", "hall-keene", "hall-nashua"};
constexpr Milliseconds CallDeadline{60000};
constexpr int SettleRounds = 200;
constexpr Milliseconds SettleStep{100};

} // namespace

ConnectedStates::ConnectedStates(std::uint64_t Seed)
    : Entries(EntryCount), Seed(Seed), Sidecars(SidecarCount) {
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry) {
    this->Entries[Entry].Holder.Self =
        HolderId("journal-" + std::to_string(Entry));
    this->startEntry(Entry);
  }
  for (unsigned Sidecar = 0; Sidecar < SidecarCount; ++Sidecar)
    this->startSidecar(Sidecar);
  this->connectAll();
  this->settle();
}

HostId ConnectedStates::entryName(unsigned Entry) {
  return HostId("entry-" + std::to_string(Entry));
}

HostId ConnectedStates::sidecarName(unsigned Sidecar) {
  return HostId("service-" + std::to_string(Sidecar));
}

bool ConnectedStates::isEntry(const HostId &Host) const {
  return Host.Value.compare(0, 5, "entry") == 0;
}

unsigned ConnectedStates::indexOf(const HostId &Host) const {
  return static_cast<unsigned>(Host.Value.back() - '0');
}

ConnectionId ConnectedStates::connectionOf(const HostId &Host) const {
  return ConnectionId(this->indexOf(Host) + 1);
}

bool ConnectedStates::isFrozen(const HostId &Host) const {
  return this->isEntry(Host) && this->Entries[this->indexOf(Host)].Frozen;
}

EntryOptions ConnectedStates::options() const {
  return EntryOptions().withShardCount(Shards);
}

Inventory ConnectedStates::inventory() const {
  Inventory Hosts;
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry) {
    HostSpec Host;
    Host.Name = entryName(Entry);
    Host.Zone = ZoneId(Zones[Entry]);
    Host.Role = HostRole::Entry;
    Host.HasDataFolder = true;
    Hosts.Hosts[Host.Name] = Host;
  }
  for (unsigned Sidecar = 0; Sidecar < SidecarCount; ++Sidecar) {
    HostSpec Host;
    Host.Name = sidecarName(Sidecar);
    Host.Zone = ZoneId(Zones[Sidecar]);
    Host.Role = HostRole::Target;
    Host.Service = ServiceName(Service);
    Host.Kind = TargetKind::Service;
    Host.Capacity = 4;
    Hosts.Hosts[Host.Name] = Host;
  }
  return Hosts;
}

void ConnectedStates::startEntry(unsigned Entry) {
  EntryNode &Node = this->Entries[Entry];
  Node.State = EntryState();
  Node.State.Options = this->options();
  Node.State.Self = entryName(Entry);
  Node.State.Instance =
      InstanceId("run-" + std::to_string(this->NextInstance++));
  Node.State.Holder = Node.Holder.Self;
  Node.State.Random.seed(this->Seed + Entry);
  Node.State.StartedAt = this->Now;
  Node.Unpersisted.clear();

  HolderState Holder;
  Holder.Self = Node.Holder.Self;
  for (const auto &[Key, Records] : Node.Disk) {
    HeldShard &Shard = Holder.Shards[Key.first];
    Shard.Fence = std::max(Shard.Fence, Key.second);
    Shard.NextIndex[Key.second] = Records.size() + 1;
  }
  for (const auto &[Shard, Fence] : Node.DiskFences)
    Holder.Shards[Shard].Fence = std::max(Holder.Shards[Shard].Fence, Fence);
  Node.Holder = Holder;
  this->apply(Entry, EntryTick{this->Now});
  this->apply(Entry, InventoryObserved{this->inventory()});
}

void ConnectedStates::startSidecar(unsigned Sidecar) {
  SidecarNode &Node = this->Sidecars[Sidecar];
  Node = SidecarNode();
  Node.State.Options.withCapacity(4).withKind(TargetKind::Service);
  Node.State.Self = InstanceId("run-" + std::to_string(this->NextInstance++));
  this->applySidecar(Sidecar, SidecarTick{this->Now});
  this->applySidecar(Sidecar, TargetProbed{true, {}, false});
}

void ConnectedStates::passTime(Milliseconds Span) {
  this->Now = this->Now + Span;
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry) {
    if (!this->Entries[Entry].Frozen)
      this->apply(Entry, EntryTick{this->Now});
  }
  for (unsigned Sidecar = 0; Sidecar < SidecarCount; ++Sidecar)
    this->applySidecar(Sidecar, SidecarTick{this->Now});
}

bool ConnectedStates::deliver(std::uint64_t Pick) {
  std::vector<Link> Busy;
  for (const auto &[Between, Queue] : this->Links) {
    if (!Queue.empty() && !this->isFrozen(Between.second))
      Busy.push_back(Between);
  }
  if (Busy.empty())
    return false;
  const Link Chosen = Busy[Pick % Busy.size()];
  const Message Body = this->Links[Chosen].front();
  this->Links[Chosen].pop_front();
  this->receive(Chosen.first, Chosen.second, Body);
  return true;
}

bool ConnectedStates::persist(std::uint64_t Pick) {
  std::vector<unsigned> Busy;
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry) {
    if (!this->Entries[Entry].Unpersisted.empty() &&
        !this->Entries[Entry].Frozen)
      Busy.push_back(Entry);
  }
  if (Busy.empty())
    return false;
  const unsigned Entry = Busy[Pick % Busy.size()];
  const HolderEffect Effect = this->Entries[Entry].Unpersisted.front();
  this->Entries[Entry].Unpersisted.pop_front();
  this->finishPersist(Entry, Effect);
  return true;
}

void ConnectedStates::finishPersist(unsigned Entry,
                                    const HolderEffect &Effect) {
  EntryNode &Node = this->Entries[Entry];
  if (const auto *Batch = std::get_if<PersistBatch>(&Effect)) {
    auto &Kept = Node.Disk[{Batch->Batch.Shard, Batch->Batch.OwnerEpoch}];
    Kept.insert(Kept.end(), Batch->Batch.Records.begin(),
                Batch->Batch.Records.end());
    this->applyHolder(Entry, BatchPersisted{Batch->Peer, Batch->Notice});
  } else if (const auto *Seal = std::get_if<PersistFenceAndSend>(&Effect)) {
    Epoch &Fence = Node.DiskFences[Seal->RequestedSeal.Shard];
    Fence = std::max(Fence, Seal->RequestedSeal.NewEpoch);
    LogSealed Answer = Seal->Head;
    Answer.Records =
        Node.Disk[{Seal->RequestedSeal.Shard, Seal->RequestedSeal.SourceEpoch}];
    this->performHolder(Entry, SendFromHolder{Seal->Peer, Answer});
  } else if (const auto *Drop = std::get_if<DropEpochs>(&Effect)) {
    const auto Start = Node.Disk.lower_bound({Drop->Shard, Epoch()});
    const auto End = Node.Disk.lower_bound({Drop->Shard, Drop->Below});
    Node.Disk.erase(Start, End);
  }
}

bool ConnectedStates::writeTable(bool LoseAnswer) {
  if (this->Writes.empty())
    return false;
  const auto [Writer, Write] = this->Writes.front();
  this->Writes.pop_front();
  VersionedShardEntry &Row = this->Table[Write.Shard];
  if (Row.ModRevision == Write.Expected) {
    Row.Entry = Write.Entry;
    Row.ModRevision = Revision(++this->TableRevision);
  }
  if (!LoseAnswer && !this->isFrozen(Writer)) {
    TableObserved Answer;
    Answer.Rows.emplace_back(Write.Shard, Row);
    this->apply(this->indexOf(Writer), Answer);
  }
  return true;
}

void ConnectedStates::readTable(unsigned Entry) {
  if (this->Entries[Entry].Frozen)
    return;
  TableObserved Whole;
  Whole.IsWhole = true;
  for (const auto &[Shard, Row] : this->Table)
    Whole.Rows.emplace_back(Shard, Row);
  this->apply(Entry, Whole);
}

bool ConnectedStates::endCall(std::uint64_t Pick, TargetEnd End) {
  std::vector<std::pair<unsigned, std::size_t>> Busy;
  for (unsigned Sidecar = 0; Sidecar < SidecarCount; ++Sidecar) {
    for (std::size_t Index = 0; Index < this->Sidecars[Sidecar].Running.size();
         ++Index)
      Busy.emplace_back(Sidecar, Index);
  }
  if (Busy.empty())
    return false;
  const auto [Sidecar, Index] = Busy[Pick % Busy.size()];
  auto &Running = this->Sidecars[Sidecar].Running;
  const DispatchAttempt Work = Running[Index];
  Running.erase(Running.begin() + static_cast<long>(Index));
  const bool Executes =
      End == TargetEnd::Answered || End == TargetEnd::BrokenAfter;
  if (Executes)
    ++this->Executions[Work.Body];
  if (End == TargetEnd::Answered)
    this->applySidecar(
        Sidecar, TargetAnswered{Work.Attempt,
                                TargetAnswer{200, "text/plain", Work.Body},
                                TokenCount(),
                                {}});
  else if (End == TargetEnd::Unreached)
    this->applySidecar(Sidecar, TargetUnreachable{Work.Attempt});
  else
    this->applySidecar(Sidecar, TargetConnectionLost{Work.Attempt});
  return true;
}

void ConnectedStates::cut(const HostId &A, const HostId &B) {
  if (this->Connected.erase({std::min(A, B), std::max(A, B)}) == 0)
    return;
  this->Links.erase({A, B});
  this->Links.erase({B, A});
  this->notifyDisconnected(A, B);
  this->notifyDisconnected(B, A);
}

void ConnectedStates::connectAll() {
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry) {
    for (unsigned Other = Entry + 1; Other < EntryCount; ++Other)
      this->connect(entryName(Entry), entryName(Other));
    for (unsigned Sidecar = 0; Sidecar < SidecarCount; ++Sidecar)
      this->connect(entryName(Entry), sidecarName(Sidecar));
  }
}

void ConnectedStates::connect(const HostId &A, const HostId &B) {
  if (this->isFrozen(A) || this->isFrozen(B))
    return;
  if (!this->Connected.insert({std::min(A, B), std::max(A, B)}).second)
    return;
  this->notifyConnected(A, B);
  this->notifyConnected(B, A);
}

Hello ConnectedStates::greetingOf(const HostId &Host) const {
  if (this->isEntry(Host)) {
    const EntryNode &Node = this->Entries[this->indexOf(Host)];
    return Hello{Host, Node.State.Instance, Node.State.Holder, ConfigVersion()};
  }
  return Hello{Host, this->Sidecars[this->indexOf(Host)].State.Self,
               std::nullopt, ConfigVersion()};
}

void ConnectedStates::notifyConnected(const HostId &At, const HostId &Other) {
  const Hello Greeting = this->greetingOf(Other);
  if (this->isEntry(At))
    this->apply(this->indexOf(At), PeerConnected{Greeting});
  else
    this->applySidecar(this->indexOf(At),
                       OwnerConnected{this->connectionOf(Other), Greeting});
}

void ConnectedStates::notifyDisconnected(const HostId &At,
                                         const HostId &Other) {
  if (this->isEntry(At))
    this->apply(this->indexOf(At), PeerDisconnected{Other});
  else
    this->applySidecar(this->indexOf(At),
                       OwnerDisconnected{this->connectionOf(Other)});
}

void ConnectedStates::restartEntry(unsigned Entry) {
  const HostId Name = entryName(Entry);
  this->Entries[Entry].Frozen = false;
  // The killed process handles no further events; only its peers are notified.
  for (unsigned Other = 0; Other < EntryCount; ++Other) {
    if (Other != Entry)
      this->cut(Name, entryName(Other));
  }
  for (unsigned Sidecar = 0; Sidecar < SidecarCount; ++Sidecar)
    this->cut(Name, sidecarName(Sidecar));
  for (auto Item = this->Requests.begin(); Item != this->Requests.end();) {
    const bool IsLost = Item->first.first == Name;
    Item = IsLost ? this->Requests.erase(Item) : std::next(Item);
  }
  const auto IsOwn = [&](const auto &Item) { return Item.first == Name; };
  this->Writes.erase(
      std::remove_if(this->Writes.begin(), this->Writes.end(), IsOwn),
      this->Writes.end());
  this->startEntry(Entry);
}

void ConnectedStates::restartSidecar(unsigned Sidecar) {
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry)
    this->cut(entryName(Entry), sidecarName(Sidecar));
  // The target finishes its running calls without the new sidecar's knowledge.
  for (const DispatchAttempt &Work : this->Sidecars[Sidecar].Running)
    ++this->Executions[Work.Body];
  this->startSidecar(Sidecar);
}

void ConnectedStates::setFrozen(unsigned Entry, bool Frozen) {
  this->Entries[Entry].Frozen = Frozen;
}

void ConnectedStates::call(unsigned Entry, const std::string &Program,
                           const std::string &Key, bool Idempotent) {
  if (this->Entries[Entry].Frozen)
    return;
  Call RequestedCall;
  RequestedCall.Program = ProgramId(Program);
  RequestedCall.Agent = AgentId("main");
  RequestedCall.Team = TeamId("team");
  RequestedCall.Key = CallKey(Key);
  RequestedCall.Kind = CallKind::Service;
  RequestedCall.IsIdempotent = Idempotent;
  RequestedCall.Service = ServiceName(Service);
  RequestedCall.Method = "POST";
  RequestedCall.Path = "/log";
  RequestedCall.Body = Program + "/" + Key;
  RequestedCall.Grant = Budget{TokenCount{1000}, 1000};
  RequestedCall.Deadline = CallDeadline;
  const RequestId Request(this->NextRequest++);
  this->Requests[{entryName(Entry), Request}] = RequestedCall.Body;
  ++this->CallerCalls;
  this->apply(Entry, CallArrived{Request, RequestedCall});
}

void ConnectedStates::settle() {
  for (unsigned Entry = 0; Entry < EntryCount; ++Entry)
    this->setFrozen(Entry, false);
  for (int Round = 0; Round < SettleRounds; ++Round) {
    this->connectAll();
    bool IsBusy = true;
    while (IsBusy) {
      IsBusy = this->deliver(0);
      IsBusy = this->persist(0) || IsBusy;
      IsBusy = this->writeTable(false) || IsBusy;
      IsBusy = this->endCall(0, TargetEnd::Answered) || IsBusy;
    }
    for (unsigned Entry = 0; Entry < EntryCount; ++Entry)
      this->readTable(Entry);
    this->passTime(SettleStep);
  }
}

void ConnectedStates::send(const HostId &From, const HostId &To,
                           const Message &Body) {
  if (From == To) {
    this->Links[{From, To}].push_back(Body);
    return;
  }
  if (this->Connected.count({std::min(From, To), std::max(From, To)}) > 0)
    this->Links[{From, To}].push_back(Body);
}

void ConnectedStates::receive(const HostId &From, const HostId &To,
                              const Message &Body) {
  if (!this->isEntry(To)) {
    this->applySidecar(this->indexOf(To),
                       OwnerMessageReceived{this->connectionOf(From), Body});
    return;
  }
  const unsigned Entry = this->indexOf(To);
  if (const auto *Append = std::get_if<AppendRecords>(&Body))
    this->applyHolder(Entry, HolderRequestReceived{From, *Append});
  else if (const auto *Seal = std::get_if<SealLog>(&Body))
    this->applyHolder(Entry, HolderRequestReceived{From, *Seal});
  else if (const auto *Release = std::get_if<ReleaseLog>(&Body))
    this->applyHolder(Entry, HolderRequestReceived{From, *Release});
  else
    this->apply(Entry, PeerMessageReceived{From, Body});
}

void ConnectedStates::apply(unsigned Entry, const EntryEvent &Event) {
  for (const EntryEffect &Effect : reduce(this->Entries[Entry].State, Event))
    this->perform(Entry, Effect);
}

void ConnectedStates::applyHolder(unsigned Entry, const HolderEvent &Event) {
  for (const HolderEffect &Effect : reduce(this->Entries[Entry].Holder, Event))
    this->performHolder(Entry, Effect);
}

void ConnectedStates::applySidecar(unsigned Sidecar,
                                   const SidecarEvent &Event) {
  for (const SidecarEffect &Effect :
       reduce(this->Sidecars[Sidecar].State, Event))
    this->performSidecar(Sidecar, Effect);
}

void ConnectedStates::perform(unsigned Entry, const EntryEffect &Effect) {
  const HostId Name = entryName(Entry);
  if (const auto *Send = std::get_if<SendHost>(&Effect)) {
    this->send(Name, Send->Host, Send->Body);
  } else if (const auto *Write = std::get_if<WriteShardEntry>(&Effect)) {
    this->Writes.emplace_back(Name, *Write);
  } else if (const auto *Answer = std::get_if<AnswerCaller>(&Effect)) {
    const auto Requested = this->Requests.find({Name, Answer->Request});
    if (Requested == this->Requests.end())
      return;
    this->Answers[Requested->second].push_back(Answer->Answer);
    this->Requests.erase(Requested);
  }
}

void ConnectedStates::performHolder(unsigned Entry,
                                    const HolderEffect &Effect) {
  if (const auto *Send = std::get_if<SendFromHolder>(&Effect))
    this->send(entryName(Entry), Send->Peer, Send->Body);
  else
    this->Entries[Entry].Unpersisted.push_back(Effect);
}

void ConnectedStates::performSidecar(unsigned Sidecar,
                                     const SidecarEffect &Effect) {
  const HostId Name = sidecarName(Sidecar);
  if (const auto *Send = std::get_if<SendOwner>(&Effect)) {
    this->send(Name,
               entryName(static_cast<unsigned>(Send->Connection.Value - 1)),
               Send->Body);
  } else if (const auto *Work = std::get_if<CallTarget>(&Effect)) {
    ++this->TargetCalls;
    this->Sidecars[Sidecar].Running.push_back(Work->Work);
  } else if (std::holds_alternative<ProbeTarget>(Effect)) {
    this->applySidecar(Sidecar, TargetProbed{true, {}, false});
  }
}

} // namespace tanagerlanding::test
