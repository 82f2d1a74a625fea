/// \file
/// Test fixture: a relay whose callers, targets and replicas are simulated by
/// the test.
#ifndef TANAGERLANDING_DECISION_TESTS_RELAYFIXTURE_H
#define TANAGERLANDING_DECISION_TESTS_RELAYFIXTURE_H

#include "tanagerlanding/decision.h"

#include <algorithm>
#include <vector>

namespace tanagerlanding::test {

/// A relay reducer with helpers that apply events and collect effects.
/// makeReady() gives it a configuration, three replicas and two targets.
class RelayFixture {
public:
  RelayFixture() {
    this->State.Self = HostId("relay");
    this->State.Zone = ZoneId("a");
    this->passTime(Milliseconds(1));
  }

  /// Applies an event and appends its effects to Effects. Replicas let all
  /// programs start at once while AreStartsGranted is set.
  void apply(const RelayEvent &Event) {
    std::vector<ReplicaMessageReceived> Answers;
    for (RelayEffect &Each : reduce(this->State, Event)) {
      const auto *Sent = std::get_if<SendToReplica>(&Each);
      const auto *Asked =
          Sent ? std::get_if<ProgramStartRequest>(&Sent->Body) : nullptr;
      if (Asked && this->AreStartsGranted)
        Answers.push_back(
            ReplicaMessageReceived{Sent->Holder, grantAll(*Asked)});
      this->Effects.push_back(std::move(Each));
    }
    for (const ReplicaMessageReceived &Each : Answers)
      this->apply(Each);
  }

  static ProgramStartGrant grantAll(const ProgramStartRequest &Asked) {
    ProgramStartGrant Grant;
    Grant.Service = Asked.Service;
    Grant.AskedAt = Asked.AskedAt;
    Grant.Sequence = Asked.LastGrant + 1;
    for (const WaitingStarts &Each : Asked.Waiting)
      Grant.Count += Each.Count;
    return Grant;
  }

  void passTime(Milliseconds Passed) {
    this->Now = this->Now + Passed;
    // RelayProcess sets the time before it applies an event.
    this->State.Now = this->Now;
    this->apply(RelayTick{this->Now});
  }

  void configure(std::uint64_t Version = 1) {
    RelayConfiguration Configuration;
    Configuration.Version = ConfigVersion(Version);
    RelayRoute Plain;
    Plain.Name = RouteName("plain");
    Plain.Host = "shop.example";
    Plain.PathPrefix = "/plain/";
    Plain.Services = {WeightedService{ServiceName("app"), 1}};
    Plain.IsIdempotent = true;
    Plain.MaxAttempts = 2;
    Plain.Timeout = Milliseconds(1000);
    RelayRoute Once = Plain;
    Once.Name = RouteName("once");
    Once.PathPrefix = "/once/";
    Once.IsIdempotent = false;
    RelayRoute Turn = Once;
    Turn.Name = RouteName("turn");
    Turn.PathPrefix = "/turn/";
    Turn.IsStreaming = true;
    Turn.KeepsHistory = true;
    Turn.MaxAttempts = 1;
    Turn.Retention = Milliseconds(60000);
    Configuration.Routes = {Plain, Once, Turn};
    RelayService Service;
    Service.Name = ServiceName("app");
    Service.ConnectionLimit = 32;
    Service.TokensPerEvent = TokenCount{10};
    Configuration.Services[Service.Name] = Service;
    this->apply(RelayConfigured{Configuration});
  }

  void addTarget(const std::string &Name, const std::string &Zone = "a",
                 bool IsLeaving = false, const std::string &Version = "v1") {
    RegisteredTarget Entry;
    Entry.Id = TargetId(Name);
    Entry.Service = ServiceName("app");
    Entry.Address = "10.0.0.9";
    Entry.Port = 80;
    Entry.Zone = ZoneId(Zone);
    Entry.Slots = 4;
    Entry.IsLeaving = IsLeaving;
    Entry.Version = SoftwareVersion(Version);
    this->apply(TargetRegistered{Entry});
  }

  static LedgerMember member(const std::string &Name) {
    return LedgerMember{HolderId(Name), HostId("host-" + Name), "10.0.1.1", 90,
                        ZoneId(Name)};
  }

  /// Adopts a view of the replicas a, b and c and connects them.
  void connectLedger() {
    LedgerView View;
    View.Version = ViewVersion(1);
    View.ToleratedFailures = 1;
    View.Current = {member("a"), member("b"), member("c")};
    this->apply(RelayLedgerViewObserved{View});
    for (const char *Name : {"a", "b", "c"})
      this->apply(ReplicaConnected{HolderId(Name)});
  }

  void makeReady() {
    this->apply(DirectoryRegained{});
    this->passTime(Milliseconds(5000));
    this->configure();
    this->addTarget("t1");
    this->addTarget("t2");
    this->connectLedger();
    this->Effects.clear();
  }

  RequestId ask(const std::string &Path, const std::string &Id = "r1",
                std::optional<Milliseconds> TimeLeft = std::nullopt) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = Path;
    Inbound.Body = "input";
    Inbound.TimeLeft = TimeLeft;
    const RequestId Request(++this->LastRequest);
    this->apply(CallerRequestReceived{Request, Inbound});
    return Request;
  }

  RequestId askTurn(std::uint64_t Budget, std::uint64_t Most,
                    const std::string &Id = "turn-1",
                    std::optional<TurnId> Previous = std::nullopt) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/turn/x";
    Inbound.Body = "input";
    Inbound.Program =
        ProgramContext{ProgramId("p"), AgentId("s"), {}, TokenCount{Budget}};
    Inbound.MaxTokens = TokenCount{Most};
    Inbound.PreviousTurn = std::move(Previous);
    const RequestId Request(++this->LastRequest);
    this->apply(CallerRequestReceived{Request, Inbound});
    return Request;
  }

  /// Returns the effects of one type since Effects was last cleared.
  template <typename Effect> std::vector<Effect> all() const {
    std::vector<Effect> Found;
    for (const RelayEffect &Each : this->Effects) {
      if (const auto *Match = std::get_if<Effect>(&Each))
        Found.push_back(*Match);
    }
    return Found;
  }

  template <typename Body> std::vector<Body> sentToReplicas() const {
    std::vector<Body> Found;
    for (const SendToReplica &Each : this->all<SendToReplica>()) {
      if (const auto *Match = std::get_if<Body>(&Each.Body))
        Found.push_back(*Match);
    }
    return Found;
  }

  /// Answers the last OpenTurn from one replica.
  void answerOpen(const std::string &Holder, bool HasPrevious = false,
                  std::vector<TokenClaim> Claims = {},
                  std::optional<std::string> History = std::nullopt) {
    this->answer(this->sentToReplicas<OpenTurn>().back(), Holder, HasPrevious,
                 std::move(Claims), std::move(History));
  }

  /// Answers any OpenTurn from one replica, with History up to its previous
  /// turn and from MissingTurn on.
  void answer(const OpenTurn &Request, const std::string &Holder,
              bool HasPrevious, std::vector<TokenClaim> Claims = {},
              std::optional<std::string> History = std::nullopt,
              std::optional<TurnId> MissingTurn = std::nullopt) {
    TurnOpened Reply;
    Reply.Operation = Request.Operation;
    Reply.Holder = HolderId(Holder);
    Reply.HistoryEnd = Request.Previous;
    Reply.MissingTurn = std::move(MissingTurn);
    Reply.HasPrevious = HasPrevious;
    Reply.Claims = std::move(Claims);
    Reply.History = std::move(History);
    this->apply(ReplicaMessageReceived{Reply.Holder, Reply});
  }

  void confirmClose(const std::string &Holder) {
    const auto Closes = this->sentToReplicas<CloseTurn>();
    this->apply(ReplicaMessageReceived{
        HolderId(Holder),
        TurnClosed{Closes.back().Operation, HolderId(Holder)}});
  }

  static TargetAnswerHead head(std::uint16_t Status, bool IsStream = false) {
    TargetAnswerHead Head;
    Head.Status = Status;
    Head.IsSigned = true;
    Head.IsEventStream = IsStream;
    return Head;
  }

  RelayState State;
  std::vector<RelayEffect> Effects;
  bool AreStartsGranted = true;

private:
  Instant Now;
  std::uint64_t LastRequest = 0;
};

} // namespace tanagerlanding::test

#endif
