#include "ConnectedRelays.h"

#include <algorithm>
#include <utility>

namespace tanagerlanding::test {

namespace {

constexpr Milliseconds StepTime{100};
constexpr std::uint64_t MaxEvents = 8;
constexpr unsigned MaxAttemptsOfTurn = 12;
/// After which a caller breaks its connection off.
constexpr Milliseconds MaxSilence{1200};

} // namespace

ConnectedRelays::ConnectedRelays(std::uint64_t Seed, unsigned RelayCount,
                                 unsigned HostCount, unsigned CallerCount)
    : Replicas(Seed, HostCount), Callers(CallerCount) {
  this->Replicas.setRelayReceiver(
      [this](const HostId &To, const HostId &From, const Message &Body) {
        for (Relay &Each : this->Relays) {
          if (!(Each.Host == To))
            continue;
          for (const auto &[Holder, Member] : Each.Connected) {
            if (Member.Host == From)
              Each.Inbox.emplace_back(Holder, Body);
          }
        }
      });
  for (unsigned Number = 0; Number < RelayCount; ++Number) {
    this->Relays.emplace_back();
    this->Relays.back().Host = HostId("relay-" + std::to_string(Number));
    this->startRelay(Number);
  }
  for (Caller &Each : this->Callers) {
    this->beginTurn(Each);
    Each.NextAt = this->Now + Milliseconds(3000);
  }
}

void ConnectedRelays::startRelay(unsigned Number) {
  Relay &At = this->Relays[Number];
  if (At.Process)
    return;
  At.Process.emplace();
  RelayFixture &Process = *At.Process;
  Process.State.Self = At.Host;
  Process.apply(DirectoryRegained{});
  Process.passTime(Milliseconds(5000));
  Process.configure();
  RelayRoute &Route = Process.State.Configuration->Routes.back();
  Route.IsResumable = true;
  Route.MaxAttempts = 3;
  Route.Timeout = Milliseconds(6000);
  Route.Retention = ConnectedReplicas::Retention;
  for (const char *Name : {"t1", "t2", "t3"})
    Process.addTarget(Name);
  Process.Effects.clear();
}

void ConnectedRelays::killRelay(unsigned Number) {
  Relay &At = this->Relays[Number];
  if (!At.Process)
    return;
  for (const auto &[Holder, Member] : At.Connected)
    this->Replicas.disconnectRelay(At.Host, Member.Host, /*IsRelayLost=*/true);
  for (auto &[Request, Effects] : At.Answers) {
    Effects.resize(this->draw(Effects.size() + 1), AbortAnswer{Request});
    Effects.emplace_back(AbortAnswer{Request});
  }
  this->Runs.erase(std::remove_if(this->Runs.begin(), this->Runs.end(),
                                  [Number](const Run &Each) {
                                    return Each.Relay == Number;
                                  }),
                   this->Runs.end());
  for (const auto &[Key, Each] : this->Attempts) {
    if (Key.first == Number && At.Answers.count(Key.second) == 0)
      At.Answers[Key.second] = {AbortAnswer{Key.second}};
  }
  At.Process.reset();
  At.Connected.clear();
  At.Inbox.clear();
  At.Disconnected.clear();
  At.IsFrozen = false;
}

void ConnectedRelays::setRelayFrozen(unsigned Number, bool IsFrozen) {
  this->Relays[Number].IsFrozen = IsFrozen && this->Relays[Number].Process;
}

void ConnectedRelays::cut(unsigned Number, unsigned Host) {
  Relay &At = this->Relays[Number];
  const HostId Name("h" + std::to_string(Host));
  for (auto Each = At.Connected.begin(); Each != At.Connected.end();) {
    if (!(Each->second.Host == Name)) {
      ++Each;
      continue;
    }
    const HolderId Holder = Each->first;
    this->Replicas.disconnectRelay(At.Host, Name, /*IsRelayLost=*/true);
    Each = At.Connected.erase(Each);
    this->apply(Number, ReplicaDisconnected{Holder});
  }
}

void ConnectedRelays::cutCaller(unsigned Number) {
  Caller &Of = this->Callers[Number];
  if (Of.Pending && Of.LastEvent > 0)
    this->endAttempt(Of);
}

void ConnectedRelays::advance(Milliseconds Span) {
  for (Milliseconds Passed{0}; Passed < Span; Passed += StepTime) {
    this->Now = this->Now + StepTime;
    for (unsigned Number = 0; Number < this->Relays.size(); ++Number) {
      Relay &At = this->Relays[Number];
      if (!At.Process || At.IsFrozen)
        continue;
      this->connectReplicas(Number);
      this->apply(Number, RelayTick{this->Now});
      if (std::exchange(At.IsConfirmingDirectory, false))
        this->apply(Number, DirectoryConfirmed{this->Now});
    }
    for (int Times = 0; Times < 40; ++Times) {
      if (Times == 20) {
        for (const auto &Each : std::exchange(this->Pending, {}))
          Each();
      }
      this->makeProgress(
          static_cast<unsigned>(this->draw(this->Relays.size())));
      this->proceedRun();
    }
    for (unsigned Number = 0; Number < this->Callers.size(); ++Number)
      this->sendNext(Number);
    this->Replicas.advance(StepTime);
  }
}

void ConnectedRelays::doWithinStep(std::function<void()> Action) {
  this->Pending.push_back(std::move(Action));
}

void ConnectedRelays::connectReplicas(unsigned Number) {
  Relay &At = this->Relays[Number];
  const LedgerView View = this->Replicas.view();
  if (At.Process->State.View.Version < View.Version && this->draw(3) == 0)
    this->apply(Number, RelayLedgerViewObserved{View});
  for (auto Each = At.Connected.begin(); Each != At.Connected.end();) {
    const LedgerMember Member = Each->second;
    const bool IsMember =
        containsHolder(At.Process->State.View.allMembers(), Member.Holder);
    if (IsMember && this->Replicas.isRunning(Member)) {
      // Stands for the heartbeats.
      if (this->Replicas.isReachable(Member))
        At.Process->State.LastMessageAt[Member.Holder] = this->Now;
      ++Each;
      continue;
    }
    this->Replicas.disconnectRelay(At.Host, Member.Host, false);
    Each = At.Connected.erase(Each);
    this->apply(Number, ReplicaDisconnected{Member.Holder});
  }
  for (const LedgerMember &Each : At.Process->State.View.allMembers()) {
    if (At.Connected.count(Each.Holder) > 0 ||
        !this->Replicas.isReachable(Each) || this->draw(3) == 0)
      continue;
    At.Connected[Each.Holder] = Each;
    this->apply(Number, ReplicaConnected{Each.Holder});
  }
}

void ConnectedRelays::apply(unsigned Number, const RelayEvent &Event) {
  RelayFixture &Process = *this->Relays[Number].Process;
  Process.State.Now = this->Now;
  Process.apply(Event);
  std::vector<RelayEffect> Effects;
  Effects.swap(Process.Effects);
  for (const RelayEffect &Each : Effects)
    this->perform(Number, Each);
}

void ConnectedRelays::perform(unsigned Number, const RelayEffect &Effect) {
  Relay &At = this->Relays[Number];
  const auto Queue = [&](RequestId Request) {
    if (this->Attempts.count({Number, Request}) > 0)
      At.Answers[Request].push_back(Effect);
  };
  if (const auto *Sent = std::get_if<SendToReplica>(&Effect)) {
    const auto To = At.Connected.find(Sent->Holder);
    if (To != At.Connected.end())
      this->Replicas.sendFromRelay(At.Host, To->second.Host, Sent->Body);
  } else if (const auto *Attempted = std::get_if<SendAttempt>(&Effect)) {
    this->beginRun(Number, *Attempted);
  } else if (const auto *Cancelled =
                 std::get_if<CancelTargetAttempt>(&Effect)) {
    this->Runs.erase(std::remove_if(this->Runs.begin(), this->Runs.end(),
                                    [&](const Run &Each) {
                                      return Each.Relay == Number &&
                                             Each.At == Cancelled->Attempt;
                                    }),
                     this->Runs.end());
  } else if (std::holds_alternative<ConfirmDirectory>(Effect)) {
    At.IsConfirmingDirectory = true;
  } else if (const auto *Refused = std::get_if<RefuseCaller>(&Effect)) {
    Queue(Refused->Request);
  } else if (const auto *Continued = std::get_if<ContinueAnswer>(&Effect)) {
    Queue(Continued->Request);
  } else if (const auto *Finished = std::get_if<FinishAnswer>(&Effect)) {
    Queue(Finished->Request);
  } else if (const auto *Aborted = std::get_if<AbortAnswer>(&Effect)) {
    Queue(Aborted->Request);
  }
}

void ConnectedRelays::beginRun(unsigned Number, const SendAttempt &Sent) {
  const auto Found = this->Attempts.find({Number, Sent.Request});
  Run Fresh;
  Fresh.Relay = Number;
  Fresh.At = Sent.Attempt;
  Fresh.Name = "run" + std::to_string(this->NextRun++);
  if (Found != this->Attempts.end()) {
    const Attempt &Of = Found->second;
    if (Sent.History != Of.History)
      this->Faults.push_back(Of.Id.Value + " ran with the history '" +
                             Sent.History + "' and not '" + Of.History + "'");
    Fresh.NextEvent = Sent.ResumeAfter.value_or(Of.After) + 1;
  }
  this->Runs.push_back(std::move(Fresh));
}

void ConnectedRelays::makeProgress(unsigned Number) {
  Relay &At = this->Relays[Number];
  const std::uint64_t Kind = this->draw(4);
  if (Kind < 2) {
    // Answers that have left a process arrive also when it has ended.
    if (At.Answers.empty() || At.IsFrozen)
      return;
    auto Each = At.Answers.begin();
    std::advance(Each, this->draw(At.Answers.size()));
    const RequestId Request = Each->first;
    const RelayEffect Effect = std::move(Each->second.front());
    Each->second.pop_front();
    if (Each->second.empty())
      At.Answers.erase(Each);
    this->receive(Number, Request, Effect);
  } else if (!At.Process || At.IsFrozen) {
    return;
  } else if (Kind == 2 && !At.Inbox.empty()) {
    const auto [Holder, Body] = std::move(At.Inbox.front());
    At.Inbox.pop_front();
    if (At.Connected.count(Holder) > 0)
      this->apply(Number, ReplicaMessageReceived{Holder, Body});
  } else if (Kind == 3 && !At.Disconnected.empty() && this->draw(8) == 0) {
    const RequestId Request = At.Disconnected.front();
    At.Disconnected.pop_front();
    this->apply(Number, RelayCallerDisconnected{Request});
  }
}

void ConnectedRelays::proceedRun() {
  // A stream takes several steps.
  if (this->Runs.empty() || this->draw(12) != 0)
    return;
  const auto At = this->Runs.begin() +
                  static_cast<std::ptrdiff_t>(this->draw(this->Runs.size()));
  const Run Now = *At;
  if (this->Relays[Now.Relay].IsFrozen)
    return;
  if (!Now.HasHead) {
    At->HasHead = true;
    this->apply(Now.Relay,
                AttemptHeadReceived{Now.At, RelayFixture::head(200, true)});
    return;
  }
  const bool IsBroken = this->draw(30) == 0;
  if (IsBroken || MaxEvents < Now.NextEvent) {
    this->Runs.erase(At);
    this->apply(Now.Relay,
                AttemptEnded{Now.At, IsBroken ? AttemptEnded::Kind::Broken
                                              : AttemptEnded::Kind::Complete});
    return;
  }
  std::string Bytes;
  for (std::uint64_t Count = 1 + this->draw(2);
       Count > 0 && At->NextEvent <= MaxEvents; --Count, ++At->NextEvent) {
    Bytes += "id: " + std::to_string(At->NextEvent) + "\n";
    // Some events have no data.
    if (At->NextEvent % 5 != 0)
      Bytes += "data: " + Now.Name + "." + std::to_string(At->NextEvent) + "\n";
    Bytes += "\n";
  }
  this->apply(Now.Relay, AttemptBytesReceived{Now.At, Bytes});
}

CallerRequest ConnectedRelays::makeRequest(const Caller &From) const {
  CallerRequest Inbound;
  Inbound.Method = "POST";
  Inbound.Host = "shop.example";
  Inbound.RequestTarget = "/turn/x";
  Inbound.Body = From.Input;
  Inbound.TimeLeft = Milliseconds(6000);
  const std::string Program =
      "p" + std::to_string(&From - this->Callers.data());
  Inbound.Program =
      ProgramContext{ProgramId(Program), AgentId("s"), {}, TokenCount{100000}};
  Inbound.MaxTokens = TokenCount{50};
  Inbound.PreviousTurn = From.LastTurn;
  if (From.LastEvent > 0) {
    Inbound.ResumedAttempt = this->IsNaming ? From.First : CallerAttemptId();
    Inbound.LastEventId = From.LastEvent;
  }
  return Inbound;
}

void ConnectedRelays::sendNext(unsigned Number) {
  Caller &From = this->Callers[Number];
  if (From.Pending) {
    if (MaxSilence < this->Now - From.SilentSince)
      this->endAttempt(From);
    return;
  }
  if (this->Now < From.NextAt)
    return;
  const auto At = static_cast<unsigned>(this->draw(this->Relays.size()));
  if (!this->Relays[At].Process || this->Relays[At].IsFrozen)
    return;
  CallerRequest Inbound = this->makeRequest(From);
  const RequestId Request(this->NextRequest++);
  Inbound.Id = CallerAttemptId("c" + std::to_string(Number) + "-" +
                               std::to_string(Request.Value));
  this->Attempts[{At, Request}] =
      Attempt{Number, Inbound.Id, From.History, From.LastEvent};
  ++(From.LastEvent > 0 ? this->Continued : this->Begun).Sent;
  From.Pending = {At, Request};
  From.PendingId = Inbound.Id;
  From.SilentSince = this->Now;
  this->apply(At, CallerRequestReceived{Request, Inbound});
}

void ConnectedRelays::receive(unsigned Number, RequestId Request,
                              const RelayEffect &Effect) {
  const auto Found = this->Attempts.find({Number, Request});
  if (Found == this->Attempts.end())
    return;
  Caller &To = this->Callers[Found->second.Caller];
  To.SilentSince = this->Now;
  if (const auto *Continued = std::get_if<ContinueAnswer>(&Effect)) {
    this->countSuccess(Found->second);
    this->receiveEvents(To, Continued->Bytes);
    return;
  }
  const auto *Refused = std::get_if<RefuseCaller>(&Effect);
  if (Refused && Refused->Refusal.Reason == RelayRefusalReason::UnknownTurn &&
      this->Now - To.AnsweredAt < ConnectedReplicas::Retention)
    this->Faults.push_back(Found->second.Id.Value +
                           " can't continue a turn that was answered");
  if (std::holds_alternative<FinishAnswer>(Effect)) {
    this->countSuccess(Found->second);
    this->Attempts.erase(Found);
    To.Pending.reset();
    this->completeTurn(To);
    return;
  }
  this->endAttempt(To);
}

void ConnectedRelays::countSuccess(Attempt &Of) {
  if (!std::exchange(Of.IsSuccessful, true))
    ++(Of.After > 0 ? this->Continued : this->Begun).Successful;
}

void ConnectedRelays::receiveEvents(Caller &To, const std::string &Bytes) {
  EventSplitter Splitter;
  for (const StreamEvent &Each : Splitter.append(Bytes)) {
    if (To.LastEvent == 0)
      To.First = To.PendingId;
    if (*Each.Id != To.LastEvent + 1)
      this->Faults.push_back(To.PendingId.Value + " got event " +
                             std::to_string(*Each.Id) + " after " +
                             std::to_string(To.LastEvent));
    To.LastEvent = *Each.Id;
    if (Each.HasData)
      To.Output += Each.Data + "\n";
  }
}

void ConnectedRelays::completeTurn(Caller &To) {
  if (To.LastEvent != MaxEvents)
    this->Faults.push_back(To.PendingId.Value + " ended after event " +
                           std::to_string(To.LastEvent));
  ++this->Answered;
  To.History += To.Input + To.Output;
  To.LastTurn = To.PendingId;
  To.AnsweredAt = this->Now;
  this->beginTurn(To);
}

void ConnectedRelays::endAttempt(Caller &Of) {
  const auto Pending = *Of.Pending;
  Of.Pending.reset();
  this->Attempts.erase(Pending);
  Relay &At = this->Relays[Pending.first];
  At.Answers.erase(Pending.second);
  if (At.Process)
    At.Disconnected.push_back(Pending.second);
  Of.NextAt = this->Now + Milliseconds(100 * this->draw(4));
  ++Of.FailedAttempts;
  if (Of.FailedAttempts % 6 == 0) {
    // The caller begins the turn anew.
    Of.Output.clear();
    Of.LastEvent = 0;
    Of.First.reset();
  }
  if (Of.FailedAttempts == MaxAttemptsOfTurn) {
    Of.History.clear();
    Of.LastTurn.reset();
    this->beginTurn(Of);
  }
}

void ConnectedRelays::beginTurn(Caller &Of) {
  ++Of.Turn;
  Of.Input = "input " + std::to_string(Of.Turn) + "\n";
  Of.Output.clear();
  Of.LastEvent = 0;
  Of.First.reset();
  Of.FailedAttempts = 0;
  Of.NextAt = this->Now + Milliseconds(100 * this->draw(6));
}

} // namespace tanagerlanding::test
