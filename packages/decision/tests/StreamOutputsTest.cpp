/// What replicas keep of the outputs of streams that callers may continue.
#include "tanagerlanding/decision.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

constexpr std::uint64_t Turn = 9;

/// A replica that relays report outputs to.
class ReportedReplica {
public:
  ReportedReplica() {
    this->State.Self.Holder = HolderId("a");
    this->State.View.Version = ViewVersion(1);
    this->State.View.Current = {this->State.Self};
    this->passTime(Milliseconds(5000));
  }

  void passTime(Milliseconds Span) {
    reduce(this->State, LedgerTick{this->State.Now + Span});
  }

  std::vector<LedgerEffect> receive(const Message &Body) {
    return reduce(this->State, LedgerMessageReceived{HostId("relay"), Body});
  }

  static StreamOutput row(const std::string &Attempt, std::uint64_t Offset,
                          const std::string &Data,
                          std::vector<OutputMark> Marks) {
    StreamOutput Row;
    Row.Stream = fingerprintOf(TurnId("first"));
    Row.TurnKey = Fingerprint(Turn);
    Row.Attempt = fingerprintOf(TurnId(Attempt));
    Row.IsFirst = Offset == 0;
    Row.Offset = Offset;
    Row.Data = Data;
    Row.Marks = std::move(Marks);
    Row.Retention = Milliseconds(8000);
    return Row;
  }

  void report(const StreamOutput &Row) { this->receive(StreamOutputs{{Row}}); }

  /// Continues stream "first".
  std::optional<ResumedOutput> resume(const std::string &Attempt,
                                      std::uint64_t After,
                                      std::uint64_t TurnKey = Turn) {
    OpenTurn Open;
    Open.View = this->State.View.Version;
    Open.Turn = TurnId(Attempt);
    Open.ResumedAttempt = CallerAttemptId("first");
    Open.ResumedAt = StreamPosition{After, Fingerprint(TurnKey)};
    for (const LedgerEffect &Each : this->receive(Open)) {
      const auto *Sent = std::get_if<SendHost>(&Each);
      if (Sent && std::holds_alternative<TurnOpened>(Sent->Body))
        return std::get<TurnOpened>(Sent->Body).Resumed;
    }
    return std::nullopt;
  }

  void fail(const std::string &Attempt) {
    this->receive(
        ContinuationFailed{Fingerprint(Turn), fingerprintOf(TurnId(Attempt))});
  }

  /// Requests a turn that claims tokens; the claim is not stored yet.
  std::uint64_t beginOpen(const std::string &Attempt, std::uint64_t After) {
    OpenTurn Open;
    Open.View = this->State.View.Version;
    Open.Turn = TurnId(Attempt);
    Open.Claimed = TokenCount{5};
    Open.ResumedAttempt = CallerAttemptId("first");
    Open.ResumedAt = StreamPosition{After, Fingerprint(Turn)};
    for (const LedgerEffect &Each : this->receive(Open)) {
      if (const auto *Persist = std::get_if<PersistLedgerBatch>(&Each))
        return Persist->Ticket;
    }
    return 0;
  }

  LedgerState State;
};

const std::vector<OutputMark> OneAndTwo{OutputMark{1, 4}, OutputMark{2, 8}};

} // namespace

TEST_CASE("Stream outputs: the output up to an event is returned") {
  ReportedReplica Replica;
  Replica.report(ReportedReplica::row("first", 0, "one\n", {OutputMark{1, 4}}));
  Replica.report(ReportedReplica::row("first", 4, "two\n", {OutputMark{2, 8}}));
  CHECK(Replica.resume("second", 0)->Output == std::string());
  Replica.fail("second");
  CHECK(Replica.resume("third", 1)->Output == std::string("one\n"));
  Replica.fail("third");
  CHECK(Replica.resume("fourth", 2)->Output == std::string("one\ntwo\n"));
  CHECK_FALSE(Replica.resume("fifth", 3)->Output);
}

TEST_CASE("Stream outputs: a stream is known only from its first event on, and "
          "only to attempts for the same turn") {
  ReportedReplica Replica;
  StreamOutput Repeated =
      ReportedReplica::row("first", 0, "one\ntwo\n", OneAndTwo);
  Repeated.IsFirst = false;
  Replica.report(Repeated);
  CHECK_FALSE(Replica.resume("a", 1));
  Replica.report(ReportedReplica::row("first", 0, "one\n", {OutputMark{1, 4}}));
  Replica.report(Repeated);
  CHECK(Replica.resume("b", 2)->Output == std::string("one\ntwo\n"));
  CHECK_FALSE(Replica.resume("c", 2, Turn + 1));
}

TEST_CASE("Stream outputs: what follows a gap is not used until it is filled") {
  ReportedReplica Replica;
  Replica.report(ReportedReplica::row("first", 0, "one\n", {OutputMark{1, 4}}));
  Replica.report(
      ReportedReplica::row("first", 8, "three\n", {OutputMark{3, 14}}));
  CHECK_FALSE(Replica.resume("a", 3)->Output);
  StreamOutput Repeated = ReportedReplica::row(
      "first", 0, "one\ntwo\nthree\n",
      {OutputMark{1, 4}, OutputMark{2, 8}, OutputMark{3, 14}});
  Repeated.IsFirst = false;
  Replica.report(Repeated);
  CHECK(Replica.resume("a", 3)->Output == std::string("one\ntwo\nthree\n"));
}

TEST_CASE("Stream outputs: an attempt that continues the stream replaces what "
          "the one before has sent since") {
  ReportedReplica Replica;
  Replica.report(ReportedReplica::row("first", 0, "one\ntwo\n", OneAndTwo));
  Replica.resume("second", 1);
  CHECK_FALSE(Replica.resume("third", 2)->Output);
  Replica.fail("third");
  StreamOutput Row =
      ReportedReplica::row("second", 0, "one\nTWO\n", {OutputMark{2, 8}});
  Row.ContinuedAfter = 1;
  Replica.report(Row);
  CHECK(Replica.resume("fourth", 2)->Output == std::string("one\nTWO\n"));
}

// Guards against a replica that is counted among those that know all attempts,
// although the stream was unknown to it when the attempt was opened.
TEST_CASE("Stream outputs: an attempt that was requested before the stream "
          "became known is recorded with the reply") {
  ReportedReplica Replica;
  const std::uint64_t Ticket = Replica.beginOpen("second", 1);
  Replica.report(ReportedReplica::row("first", 0, "one\ntwo\n", OneAndTwo));
  const auto Effects =
      reduce(Replica.State, LedgerBatchStored{Ticket, BatchLocation{1, 0, 1}});
  const auto *Sent = std::get_if<SendHost>(&Effects.front());
  REQUIRE(Sent);
  CHECK(std::get<TurnOpened>(Sent->Body).Resumed);
  CHECK_FALSE(Replica.resume("third", 2)->Output);
}

TEST_CASE("Stream outputs: an attempt from which the caller got nothing does "
          "not make the stream ambiguous") {
  ReportedReplica Replica;
  Replica.report(ReportedReplica::row("first", 0, "one\ntwo\n", OneAndTwo));
  Replica.resume("second", 1);
  Replica.resume("third", 1);
  CHECK(Replica.resume("fourth", 2)->IsAmbiguous);
  Replica.fail("second");
  CHECK_FALSE(Replica.resume("fourth", 2)->IsAmbiguous);
}

TEST_CASE("Stream outputs: reports that contradict each other make a stream "
          "ambiguous") {
  ReportedReplica Replica;
  Replica.report(ReportedReplica::row("first", 0, "one\n", {OutputMark{1, 4}}));
  SECTION("other text") {
    Replica.report(
        ReportedReplica::row("first", 0, "ONE\n", {OutputMark{1, 4}}));
  }
  SECTION("ids that don't rise") {
    Replica.report(
        ReportedReplica::row("first", 4, "two\n", {OutputMark{1, 8}}));
  }
  SECTION("an attempt at two positions") {
    Replica.resume("second", 0);
    Replica.resume("second", 1);
  }
  CHECK(Replica.resume("third", 1)->IsAmbiguous);
}

TEST_CASE("Stream outputs: the size of all is limited, and is zero once they "
          "have expired") {
  ReportedReplica Replica;
  Replica.State.Options.StreamOutputBytesLimit = 64;
  Replica.report(ReportedReplica::row("first", 0, "one\n", {OutputMark{1, 4}}));
  Replica.report(ReportedReplica::row("first", 4, std::string(60, 'x'),
                                      {OutputMark{2, 64}}));
  CHECK(Replica.State.StreamOutputBytes <= 64);
  CHECK_FALSE(Replica.resume("a", 2)->Output);
  Replica.passTime(Milliseconds(9000));
  CHECK(Replica.State.StreamOutputs.empty());
  CHECK(Replica.State.StreamsByTurnKey.empty());
  CHECK(Replica.State.StreamOutputBytes == 0);
}

TEST_CASE("Stream outputs: the output of a turn that has ended is kept for a "
          "caller that missed the end") {
  ReportedReplica Replica;
  Replica.report(ReportedReplica::row("first", 0, "one\ntwo\n", OneAndTwo));
  CloseTurn Close;
  Close.View = Replica.State.View.Version;
  Close.Turn = TurnId("first");
  Close.IsKept = true;
  Replica.receive(Close);
  CHECK(Replica.resume("second", 2)->Output == std::string("one\ntwo\n"));
  Replica.passTime(Milliseconds(4000));
  CHECK_FALSE(Replica.resume("third", 2));
}
