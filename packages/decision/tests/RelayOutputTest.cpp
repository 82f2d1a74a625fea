/// Streams of turns that are kept and that callers continue: what the relay
/// stores, and when it refuses because it can't store the turn whole.
#include "RelayFixture.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// A relay with a route that keeps history and whose streams may be resumed.
class OutputFixture : public RelayFixture {
public:
  OutputFixture() {
    this->makeReady();
    RelayRoute &Route = this->State.Configuration->Routes.back();
    Route.IsResumable = true;
    Route.MaxAttempts = 2;
  }

  /// Sends a request for a turn.
  void askKept(const std::string &Id) {
    this->send(Id, std::nullopt, std::nullopt);
  }

  /// Sends a request that continues the stream that attempt "first" began.
  void continueKept(const std::string &Id,
                    std::optional<std::uint64_t> LastEventId) {
    this->send(Id, CallerAttemptId("first"), LastEventId);
  }

  void send(const std::string &Id, std::optional<CallerAttemptId> Resumed,
            std::optional<std::uint64_t> LastEventId) {
    CallerRequest Inbound;
    Inbound.Id = CallerAttemptId(Id);
    Inbound.Method = "POST";
    Inbound.Host = "shop.example";
    Inbound.RequestTarget = "/turn/x";
    Inbound.Body = "input";
    Inbound.ResumedAttempt = std::move(Resumed);
    Inbound.LastEventId = LastEventId;
    this->apply(CallerRequestReceived{RequestId(++this->LastKept), Inbound});
  }

  void receiveEvents(const std::string &Bytes) {
    const RelayAttemptId Attempt = this->all<SendAttempt>().back().Attempt;
    this->apply(AttemptHeadReceived{Attempt, head(200, true)});
    this->apply(AttemptBytesReceived{Attempt, Bytes});
  }

  void endAttempt(AttemptEnded::Kind Ended) {
    this->apply(AttemptEnded{this->all<SendAttempt>().back().Attempt, Ended});
  }

  /// Answers the last OpenTurn from a replica that knows the stream.
  void answerOutput(const std::string &Holder,
                    std::optional<std::string> Output,
                    std::uint64_t ContinuedAfter = 0,
                    const std::string &Attempt = "first") {
    TurnOpened Reply;
    Reply.Operation = this->sentToReplicas<OpenTurn>().back().Operation;
    Reply.Holder = HolderId(Holder);
    Reply.ResumedOrigin =
        StreamOrigin{ServiceName("app"), SoftwareVersion("v1")};
    Reply.Resumed = ResumedOutput{fingerprintOf(TurnId("first")),
                                  fingerprintOf(TurnId(Attempt)),
                                  ContinuedAfter, false, std::move(Output)};
    this->apply(ReplicaMessageReceived{Reply.Holder, Reply});
  }

  /// Returns what the last close stores as the turn's output.
  std::string storedOutput() const {
    const auto Closes = this->sentToReplicas<CloseTurn>();
    REQUIRE_FALSE(Closes.empty());
    REQUIRE(Closes.back().IsKept);
    return Closes.back().Output.text();
  }

  /// Returns the reason of the only refusal.
  RelayRefusalReason refusalReason() const {
    REQUIRE(this->all<RefuseCaller>().size() == 1);
    return this->all<RefuseCaller>().front().Refusal.Reason;
  }

private:
  std::uint64_t LastKept = 100;
};

} // namespace

// Guards against turns that are stored without the events of earlier attempts.
TEST_CASE("Relay: a turn whose stream is continued is stored with the output "
          "that its caller already has") {
  OutputFixture Fixture;
  Fixture.continueKept("second", 2);
  Fixture.answerOutput("a", "one\ntwo\n");
  CHECK(Fixture.all<SendAttempt>().empty());
  Fixture.answerOutput("b", "one\ntwo\n");
  REQUIRE(Fixture.all<SendAttempt>().size() == 1);
  Fixture.receiveEvents("id: 3\ndata: three\n\n");
  Fixture.endAttempt(AttemptEnded::Kind::Complete);
  CHECK(Fixture.storedOutput() == "one\ntwo\nthree\n");
}

TEST_CASE("Relay: a turn is stored whole if its caller has missed only the end "
          "of the stream") {
  OutputFixture Fixture;
  Fixture.continueKept("second", 2);
  Fixture.answerOutput("a", "one\ntwo\n");
  Fixture.answerOutput("b", "one\ntwo\n");
  Fixture.receiveEvents("");
  Fixture.endAttempt(AttemptEnded::Kind::Complete);
  CHECK(Fixture.storedOutput() == "one\ntwo\n");
}

TEST_CASE("Relay: a stream is not continued unless a quorum of replicas knows "
          "what its caller has") {
  OutputFixture Fixture;
  SECTION("one replica has known it from its first event on") {
    Fixture.continueKept("second", 2);
    Fixture.answerOutput("a", "one\ntwo\n");
    for (const char *Each : {"b", "c"})
      Fixture.answerOpen(Each);
  }
  SECTION("the last event was not reported") {
    Fixture.continueKept("second", 2);
    for (const char *Each : {"a", "b", "c"})
      Fixture.answerOutput(Each, std::nullopt);
  }
  SECTION("another attempt has brought events, and its replica lacks them") {
    Fixture.continueKept("third", 4);
    Fixture.answerOutput("a", "one\ntwo\nthree\nfour\n");
    Fixture.answerOutput("b", std::nullopt, 2, "second");
    Fixture.answerOutput("c", "one\ntwo\nthree\nfour\n");
  }
  SECTION("either of two attempts may have brought the last events") {
    Fixture.continueKept("fourth", 4);
    Fixture.answerOutput("a", "one\ntwo\nthree\nfour\n", 2, "second");
    Fixture.answerOutput("b", "one\ntwo\nthree\nfour\n", 2, "third");
    Fixture.answerOutput("c", "one\ntwo\nthree\nfour\n", 2, "second");
  }
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.refusalReason() == RelayRefusalReason::UnknownStream);
  CHECK(Fixture.sentToReplicas<ContinuationFailed>().size() == 3);
}

TEST_CASE("Relay: the attempt that went on after the latest event has brought "
          "what its caller has") {
  OutputFixture Fixture;
  Fixture.continueKept("third", 3);
  Fixture.answerOutput("a", "one\ntwo\nTHREE\n", 2, "second");
  Fixture.answerOutput("b", "one\ntwo\nthree\n");
  Fixture.receiveEvents("id: 4\ndata: four\n\n");
  Fixture.endAttempt(AttemptEnded::Kind::Complete);
  CHECK(Fixture.storedOutput() == "one\ntwo\nTHREE\nfour\n");
}

TEST_CASE("Relay: a stream of a kept turn is not continued after an event id "
          "that is no number") {
  OutputFixture Fixture;
  Fixture.continueKept("second", std::nullopt);
  Fixture.answerOutput("a", "");
  Fixture.answerOutput("b", "");
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.refusalReason() == RelayRefusalReason::UnknownStream);
}

// Guards against the output of another stream of a turn that was begun anew.
TEST_CASE("Relay: a stream of a kept turn is not continued unless its caller "
          "names the attempt that began it") {
  OutputFixture Fixture;
  Fixture.send("second", CallerAttemptId(), 2);
  CHECK_FALSE(Fixture.sentToReplicas<OpenTurn>().back().ResumedAt);
  Fixture.answerOutput("a", "one\ntwo\n");
  Fixture.answerOutput("b", "one\ntwo\n");
  Fixture.answerOutput("c", "one\ntwo\n");
  CHECK(Fixture.all<SendAttempt>().empty());
  CHECK(Fixture.refusalReason() == RelayRefusalReason::UnknownStream);
}

TEST_CASE("Relay: events of a stream that may be continued are reported before "
          "the caller gets them") {
  OutputFixture Fixture;
  Fixture.askKept("first");
  Fixture.Effects.erase(Fixture.Effects.begin(), Fixture.Effects.end() - 1);
  Fixture.receiveEvents("id: 1\ndata: one\n\n");
  std::size_t Reports = 0;
  for (const RelayEffect &Each : Fixture.Effects) {
    const auto *Sent = std::get_if<SendToReplica>(&Each);
    if (Sent && std::holds_alternative<StreamOutputs>(Sent->Body))
      ++Reports;
    if (std::holds_alternative<ContinueAnswer>(Each))
      break;
  }
  CHECK(Reports == 3);
  const StreamOutput Row =
      Fixture.sentToReplicas<StreamOutputs>().front().Rows.front();
  CHECK(Row.IsFirst);
  CHECK(Row.Data == "one\n");
  CHECK(Row.Marks == std::vector<OutputMark>{OutputMark{1, 4}});
}

TEST_CASE("Relay: many events are reported together, and what is left before "
          "the answer ends") {
  OutputFixture Fixture;
  Fixture.askKept("first");
  std::string Whole;
  for (unsigned Number = 1; Number <= 200; ++Number) {
    Fixture.receiveEvents("id: " + std::to_string(Number) + "\ndata: x\n\n");
    Whole += "x\n";
  }
  const std::size_t AtOnce = Fixture.sentToReplicas<StreamOutputs>().size();
  CHECK(AtOnce < 100);
  Fixture.endAttempt(AttemptEnded::Kind::Broken);
  Fixture.endAttempt(AttemptEnded::Kind::Broken);
  CHECK(Fixture.all<AbortAnswer>().size() == 1);
  std::string Reported;
  const auto Reports = Fixture.sentToReplicas<StreamOutputs>();
  for (std::size_t Each = 0; Each < Reports.size(); Each += 3)
    Reported += Reports[Each].Rows.front().Data;
  CHECK(Reported == Whole);
}

TEST_CASE("Relay: streams of other routes are not reported") {
  OutputFixture Fixture;
  const bool KeepsHistory = GENERATE(false, true);
  RelayRoute &Route = Fixture.State.Configuration->Routes.back();
  Route.KeepsHistory = KeepsHistory;
  Route.IsResumable = !KeepsHistory;
  Fixture.askKept("first");
  Fixture.receiveEvents("id: 1\ndata: one\n\n");
  Fixture.passTime(Milliseconds(25));
  CHECK(Fixture.sentToReplicas<StreamOutputs>().empty());
}

TEST_CASE(
    "Relay: a replica that connects again gets the whole output, but does "
    "not take it for the beginning of the stream") {
  OutputFixture Fixture;
  Fixture.askKept("first");
  Fixture.receiveEvents("id: 1\ndata: one\n\n");
  Fixture.apply(ReplicaDisconnected{HolderId("a")});
  Fixture.receiveEvents("id: 2\ndata: two\n\n");
  Fixture.Effects.clear();
  Fixture.apply(ReplicaConnected{HolderId("a")});
  const auto Reports = Fixture.sentToReplicas<StreamOutputs>();
  REQUIRE(Reports.size() == 1);
  CHECK(Reports.front().Rows.front().Data == "one\ntwo\n");
  CHECK_FALSE(Reports.front().Rows.front().IsFirst);
}
