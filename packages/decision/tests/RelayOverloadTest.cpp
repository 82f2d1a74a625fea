/// Tests of admission under bursts: several relays in front of one service get
/// many times the programs that it can serve. They guard against a collapse in
/// which turns that end too late displace the others, and which outlasts its
/// burst.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

constexpr Milliseconds Step{5};
constexpr int RelayCount = 4;
constexpr int TargetCount = 8;
/// RelayFixture::addTarget() registers targets with this many slots.
constexpr std::size_t Slots = 4;
constexpr int TurnsPerProgram = 3;
constexpr Milliseconds TurnTime{200};
constexpr Milliseconds AttemptTime{1000};
/// One and a half times the time on idle targets, and 250 ms.
constexpr Milliseconds ProgramTime{1150};
constexpr int MaxTurnAttempts = 6;
/// Programs a second that fill all slots.
constexpr double Capacity =
    1000.0 * TargetCount * Slots / (TurnsPerProgram * TurnTime.count());
/// Share of the capacity that is used outside the burst.
constexpr double UsualLoad = 0.5;
constexpr Milliseconds BurstStart{4000};

/// A burst of new programs.
struct Burst {
  double Factor = 1;
  Milliseconds Duration{0};
  std::uint64_t Seed = 0;
};

/// A target that serves requests in order of arrival in its slots.
struct FakeTarget {
  struct Run {
    int Relay = 0;
    RelayAttemptId Attempt;
    Instant EndsAt;
  };
  std::vector<Run> Running;
  std::deque<Run> Waiting;
};

struct Program {
  Instant BegunAt;
  Instant Deadline;
  int TurnsDone = 0;
  int Attempts = 0;
  bool HasFailed = false;
  std::optional<Instant> EndedAt;
  /// When the caller sends its next request; absent while one is in progress.
  std::optional<Instant> SendsAt;
};

/// Relays, targets and callers in steps of 5 ms.
class BurstScenario {
public:
  explicit BurstScenario(const Burst &Played) : Played(Played) {
    this->Random.seed(Played.Seed);
    for (int Each = 0; Each < RelayCount; ++Each) {
      RelayFixture &Relay = this->Relays.emplace_back();
      Relay.State.Random.seed(Played.Seed * RelayCount + Each);
      Relay.State.Self = HostId("relay-" + std::to_string(Each));
      Relay.makeReady();
      for (int Target = 3; Target <= TargetCount; ++Target)
        Relay.addTarget("t" + std::to_string(Target));
      // Overload control needs teams; public routes need no keys.
      RelayConfiguration &Configuration = *Relay.State.Configuration;
      Configuration.Teams[TeamId("team")] = TeamSettings{TeamId("team"), 0, {}};
      for (RelayRoute &Route : Configuration.Routes)
        Route.IsPublic = true;
      Relay.passTime(Milliseconds(3000));
      Relay.Effects.clear();
    }
    this->Start = this->Now = this->Relays[0].State.Now;
  }

  void play() {
    const Instant End =
        this->Start + BurstStart + this->Played.Duration + Milliseconds(6000);
    while (this->Now < End) {
      this->Now = this->Now + Step;
      this->beginPrograms();
      this->sendRequests();
      this->advanceTargets();
      this->tickRelays();
    }
  }

  /// Returns the share of the programs begun in an interval that ended in time.
  double shareInTime(Milliseconds From, Milliseconds To) const {
    const auto [Begun, InTime] = this->count(From, To);
    return Begun == 0 ? 1 : static_cast<double>(InTime) / Begun;
  }

  std::pair<int, int> count(Milliseconds From, Milliseconds To) const {
    int Begun = 0;
    int InTime = 0;
    for (const Program &Each : this->Programs) {
      const Milliseconds Offset = Each.BegunAt - this->Start;
      if (Offset < From || To <= Offset)
        continue;
      ++Begun;
      InTime += Each.EndedAt && *Each.EndedAt <= Each.Deadline;
    }
    return {Begun, InTime};
  }

private:
  bool isInBurst() const {
    const Milliseconds Offset = this->Now - this->Start;
    return BurstStart <= Offset && Offset < BurstStart + this->Played.Duration;
  }

  void beginPrograms() {
    const double Rate =
        Capacity * UsualLoad * (this->isInBurst() ? this->Played.Factor : 1);
    std::poisson_distribution<int> Arrivals(
        Rate * std::chrono::duration<double>(Step).count());
    // No program begins that could not end before the scenario does.
    const bool IsEnding =
        BurstStart + this->Played.Duration + Milliseconds(4000) <=
        this->Now - this->Start;
    for (int Count = IsEnding ? 0 : Arrivals(this->Random); Count > 0;
         --Count) {
      Program New;
      New.BegunAt = this->Now;
      New.Deadline = this->Now + ProgramTime;
      New.SendsAt = this->Now;
      this->Programs.push_back(New);
    }
  }

  void sendRequests() {
    for (std::size_t Index = 0; Index < this->Programs.size(); ++Index) {
      Program &Each = this->Programs[Index];
      if (!Each.SendsAt || this->Now < *Each.SendsAt)
        continue;
      Each.SendsAt.reset();
      ++Each.Attempts;
      CallerRequest Inbound;
      const RequestId Request(++this->LastRequest);
      Inbound.Id = CallerAttemptId("r" + std::to_string(Request.Value));
      Inbound.Method = "POST";
      Inbound.Host = "shop.example";
      Inbound.RequestTarget = "/turn/" + std::to_string(Index);
      Inbound.TimeLeft = AttemptTime;
      const Milliseconds Left =
          std::max(Milliseconds(0), Each.Deadline - this->Now);
      Inbound.Program = ProgramContext{ProgramId("p" + std::to_string(Index)),
                                       AgentId("s"), Left, TokenCount{1000000}};
      Inbound.MaxTokens = TokenCount{50};
      this->ProgramOf[Request] = Index;
      const int Relay = static_cast<int>(this->Random() % RelayCount);
      this->apply(Relay, CallerRequestReceived{Request, Inbound});
    }
  }

  void advanceTargets() {
    for (auto &[Id, Target] : this->Targets) {
      auto &Running = Target.Running;
      for (std::size_t Index = 0; Index < Running.size();) {
        if (this->Now < Running[Index].EndsAt) {
          ++Index;
          continue;
        }
        const FakeTarget::Run Ended = Running[Index];
        Running.erase(Running.begin() + static_cast<long>(Index));
        this->apply(Ended.Relay,
                    AttemptEnded{Ended.Attempt, AttemptEnded::Kind::Complete});
      }
      while (Running.size() < Slots && !Target.Waiting.empty()) {
        FakeTarget::Run Next = Target.Waiting.front();
        Target.Waiting.pop_front();
        Next.EndsAt = this->Now + TurnTime;
        Running.push_back(Next);
        TargetAnswerHead Head = RelayFixture::head(200, true);
        Head.Load =
            TargetLoad{static_cast<std::uint32_t>(Running.size()),
                       static_cast<std::uint32_t>(Target.Waiting.size()),
                       std::nullopt, std::nullopt};
        this->apply(Next.Relay, AttemptHeadReceived{Next.Attempt, Head});
        this->apply(Next.Relay,
                    AttemptBytesReceived{Next.Attempt, "id: 1\ndata: x\n\n"});
      }
    }
  }

  void tickRelays() {
    if ((this->Now - this->Start).count() % 25 != 0)
      return;
    for (int Each = 0; Each < RelayCount; ++Each)
      this->apply(Each, RelayTick{this->Now});
  }

  void apply(int Relay, const RelayEvent &Event) {
    RelayFixture &Fixture = this->Relays[Relay];
    Fixture.State.Now = this->Now;
    for (const RelayEffect &Each : reduce(Fixture.State, Event))
      this->perform(Relay, Each);
  }

  void perform(int Relay, const RelayEffect &Effect) {
    if (const auto *Sent = std::get_if<SendAttempt>(&Effect))
      this->Targets[Sent->Target.Id].Waiting.push_back(
          FakeTarget::Run{Relay, Sent->Attempt, Instant()});
    else if (const auto *Cancel = std::get_if<CancelTargetAttempt>(&Effect))
      this->cancel(Relay, Cancel->Attempt);
    else if (const auto *Refused = std::get_if<RefuseCaller>(&Effect))
      this->handleRefusal(Refused->Request, Refused->Refusal.RetryAfter);
    else if (const auto *Aborted = std::get_if<AbortAnswer>(&Effect))
      this->handleRefusal(Aborted->Request, Milliseconds(0));
    else if (const auto *Done = std::get_if<FinishAnswer>(&Effect))
      this->handleTurnDone(Done->Request);
    else if (const auto *Out = std::get_if<SendToReplica>(&Effect))
      this->answerLedger(Relay, *Out);
  }

  void cancel(int Relay, RelayAttemptId Attempt) {
    const auto IsIt = [&](const FakeTarget::Run &Each) {
      return Each.Relay == Relay && Each.Attempt == Attempt;
    };
    for (auto &[Id, Target] : this->Targets) {
      auto &Running = Target.Running;
      Running.erase(std::remove_if(Running.begin(), Running.end(), IsIt),
                    Running.end());
      auto &Waiting = Target.Waiting;
      Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(), IsIt),
                    Waiting.end());
    }
  }

  /// Passes a request for starts to the deciding replica, and its answer back.
  void decideStarts(int Relay, const SendToReplica &Out) {
    LedgerState &Decider = this->Deciders[Out.Holder];
    Decider.Now = this->Now;
    const HostId Peer = this->Relays[Relay].State.Self;
    for (const LedgerEffect &Each :
         reduce(Decider, LedgerMessageReceived{Peer, Out.Body})) {
      if (const auto *Answer = std::get_if<SendHost>(&Each))
        this->apply(Relay, ReplicaMessageReceived{Out.Holder, Answer->Body});
    }
  }

  void answerLedger(int Relay, const SendToReplica &Out) {
    if (const auto *Open = std::get_if<OpenTurn>(&Out.Body)) {
      TurnOpened Reply;
      Reply.Operation = Open->Operation;
      Reply.Holder = Out.Holder;
      for (const auto &[Turn, Claim] : this->Claims[Open->Program])
        Reply.Claims.push_back(Claim);
      this->apply(Relay, ReplicaMessageReceived{Out.Holder, Reply});
    } else if (const auto *Close = std::get_if<CloseTurn>(&Out.Body)) {
      if (Close->Used) {
        const Fingerprint Turn = fingerprintOf(Close->Turn);
        this->Claims[Close->Program][Turn] =
            TokenClaim{Turn, *Close->Used, true};
      }
      this->apply(Relay,
                  ReplicaMessageReceived{
                      Out.Holder, TurnClosed{Close->Operation, Out.Holder}});
    } else if (std::holds_alternative<ProgramStartRequest>(Out.Body)) {
      this->decideStarts(Relay, Out);
    }
  }

  void handleRefusal(RequestId Request, Milliseconds RetryAfter) {
    Program &Owner = this->Programs[this->ProgramOf.at(Request)];
    if (Owner.Attempts >= MaxTurnAttempts) {
      Owner.HasFailed = true;
      return;
    }
    std::uniform_int_distribution<int> Pause(100, 400);
    Owner.SendsAt =
        this->Now + std::max(RetryAfter, Milliseconds(Pause(this->Random)));
  }

  void handleTurnDone(RequestId Request) {
    Program &Owner = this->Programs[this->ProgramOf.at(Request)];
    Owner.Attempts = 0;
    if (++Owner.TurnsDone == TurnsPerProgram)
      Owner.EndedAt = this->Now;
    else
      Owner.SendsAt = this->Now;
  }

  const Burst Played;
  std::mt19937_64 Random;
  std::deque<RelayFixture> Relays;
  std::map<HolderId, LedgerState> Deciders;
  std::map<TargetId, FakeTarget> Targets;
  std::vector<Program> Programs;
  std::map<RequestId, std::size_t> ProgramOf;
  std::map<ProgramId, std::map<Fingerprint, TokenClaim>> Claims;
  std::uint64_t LastRequest = 0;
  Instant Start;
  Instant Now;
};

} // namespace

TEST_CASE("Overload: bursts of new programs cause no collapse",
          "[.overload-bursts]") {
  for (const double Factor : {2.5, 4.0, 8.0}) {
    for (const int Seconds : {3, 8, 20}) {
      const Burst Played{Factor, Milliseconds(1000 * Seconds), 1};
      BurstScenario Scenario(Played);
      Scenario.play();
      const Milliseconds BurstEnd = BurstStart + Played.Duration;
      const auto [Begun, InTime] = Scenario.count(BurstStart, BurstEnd);
      const double Possible = std::min<double>(Begun, Capacity * Seconds);
      CAPTURE(Factor, Seconds, Begun, InTime, Possible);
      CHECK(Scenario.shareInTime(Milliseconds(0), BurstStart) >= 0.99);
      CHECK(InTime >= 0.9 * Possible);
      CHECK(Scenario.shareInTime(BurstEnd + Milliseconds(1000),
                                 BurstEnd + Milliseconds(4000)) >= 0.99);
    }
  }
}
