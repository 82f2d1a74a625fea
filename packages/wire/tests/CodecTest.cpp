/// Tests encoding and decoding of messages, records and frames.
#include "tanagerlanding/wire.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace tanagerlanding;

namespace {

constexpr std::uint32_t Seed = 20261203;
constexpr int FuzzRounds = 20000;

Call sampleCall() {
  Call RequestedCall;
  RequestedCall.Program = ProgramId("p");
  RequestedCall.Agent = AgentId("main");
  RequestedCall.Team = TeamId("t");
  RequestedCall.Key = CallKey("k");
  RequestedCall.Kind = CallKind::Service;
  RequestedCall.Service = ServiceName("cache-app");
  RequestedCall.Method = "POST";
  RequestedCall.Path = "/log";
  RequestedCall.Body = "find";
  RequestedCall.MaxTokens = TokenCount{7};
  RequestedCall.Grant = Budget{TokenCount{100}, 10};
  RequestedCall.Deadline = Milliseconds(5000);
  return RequestedCall;
}

AttemptId sampleAttempt() { return AttemptId{ShardId(3), Epoch(9), 27}; }

std::vector<Record> sampleRecords() {
  ProgramState DurableState;
  DurableState.Team = TeamId("t");
  DurableState.Granted = Budget{TokenCount{100}, 10};
  DurableState.Agents[AgentId("main")] = AgentHistory{"{}", 1, HostId("h")};
  DurableState.Answers[CallKey("k")] =
      StoredAnswer{5, TargetAnswer{200, "t", "b"}};
  const IntentRecorded Intent{sampleAttempt(), sampleCall(), HostId("h"),
                              InstanceId("i"), TokenCount{7}};
  DurableState.OpenIntents[Intent.Attempt] = Intent;
  return {
      ProgramStarted{ProgramId("p"), TeamId("t"), Budget{TokenCount{100}, 10}},
      Intent,
      AttemptReleased{ProgramId("p"), sampleAttempt(), TokenCount{1}, true},
      CallFinished{ProgramId("p"), sampleAttempt(),
                   CallFailure{CallError::TargetFailed, Execution::Unknown,
                               Milliseconds(5), "why"},
                   TokenCount{2}, "{}"},
      ProgramEnded{ProgramId("p")},
      ProgramSnapshot{ProgramId("p"), DurableState}};
}

LedgerView sampleView() {
  const LedgerMember Member{HolderId("h"), HostId("host"), "10.0.0.1", 80,
                            ZoneId("z")};
  return LedgerView{ViewVersion(2), 1, {Member}, {Member}};
}

LedgerBatch sampleBatch() {
  LedgerBatch Batch;
  Batch.WrittenAtMillis = 12;
  Batch.Retention = Milliseconds(60000);
  Batch.Records = {
      TurnRecord{TurnId("t"), TurnId("before"), "in", "out",
                 TargetId("target")},
      TokenClaimRecord{ProgramId("p"),
                       TokenClaim{Fingerprint(3), TokenCount{4}, true}}};
  return Batch;
}

TurnOpened sampleOpened() {
  TurnOpened Reply;
  Reply.Operation = LedgerOperationId(1);
  Reply.Holder = HolderId("h");
  Reply.HasPrevious = true;
  Reply.PreviousTarget = TargetId("target");
  Reply.History = "history";
  Reply.LongHistoryBytes = 70000;
  Reply.HistoryEnd = TurnId("previous");
  Reply.MissingTurn = TurnId("older");
  Reply.Claims = {TokenClaim{Fingerprint(3), TokenCount{4}, true}};
  Reply.ResumedOrigin = StreamOrigin{ServiceName("s"), SoftwareVersion("v1")};
  Reply.StreamsKeptFor = Milliseconds(6);
  Reply.Resumed =
      ResumedOutput{Fingerprint(7), Fingerprint(8), 3, true, "output"};
  return Reply;
}

TargetLimitNotice sampleLimitNotice() {
  return TargetLimitNotice{TargetRun{TargetId("t"), 7}, RequestRate{6.5},
                           Milliseconds(9), Milliseconds(3)};
}

TargetLoadRow sampleLoadRow() {
  return TargetLoadRow{TargetRunKey{70000}, TargetLoad{5, 2, 8, 2.52},
                       Milliseconds(40), 3, 2.0};
}

std::vector<Message> sampleMessages() {
  DispatchAttempt Work;
  Work.Attempt = sampleAttempt();
  Work.Body = "body";
  return {
      Hello{HostId("h"), InstanceId("i"), HolderId("j"), ConfigVersion(3)},
      Heartbeat{ConfigVersion(3), Instant{Milliseconds(7)}},
      ConfigOffer{ConfigVersion(3), "{}"},
      LeavingNotice{},
      ForwardCall{RequestId(4), Epoch(5), sampleCall()},
      ForwardCancelled{RequestId(4)},
      ForwardChunk{RequestId(4), "piece"},
      ForwardAnswered{RequestId(4), TargetAnswer{200, "t", "b"}},
      AppendRecords{ShardId(1), Epoch(2), 3, sampleRecords()},
      RecordsPersisted{ShardId(1), Epoch(2), HolderId("j"), 4},
      AppendRejected{ShardId(1), Epoch(2), Epoch(3), HolderId("j")},
      SealLog{ShardId(1), Epoch(2), Epoch(3)},
      LogSealed{ShardId(1), Epoch(2), Epoch(3), HolderId("j"), true, 1, false,
                sampleRecords()},
      ReleaseLog{ShardId(1), Epoch(2)},
      SuspectNotice{Fingerprint(1),
                    2,
                    {{TargetRun{TargetId("t"), 7}, CrashExposure::AfterOutput,
                      Milliseconds(5)}},
                    Milliseconds(9)},
      SuspectList{11, {SuspectNotice{Fingerprint(1), 2, {}, {}}}},
      Work,
      AttemptRefused{sampleAttempt(), CallError::QueueFull, Milliseconds(1)},
      AttemptChunk{sampleAttempt(), "piece"},
      AttemptFinished{sampleAttempt(), Execution::Ran,
                      TargetAnswer{200, "t", "b"}, TokenCount{3}, "{}", true},
      QueryAttempt{sampleAttempt(), Epoch(4)},
      AttemptRunning{sampleAttempt()},
      ForgetAttempt{sampleAttempt()},
      CancelAttempt{sampleAttempt()},
      KeepPrefixes{{"p/main"}},
      ReleasePrefixes{{"p/main"}},
      LoadReport{1, 2, 3, true, true, ConfigVersion(4)},
      sampleBatch(),
      OpenTurn{LedgerOperationId(1), ViewVersion(2), TurnId("t"),
               ProgramId("p"), TokenCount{5}, TurnId("before"), true, 4096,
               Milliseconds(9), CallerAttemptId("resumed"), Fingerprint(5),
               StreamPosition{3, Fingerprint(6)}},
      sampleOpened(),
      CloseTurn{LedgerOperationId(1), ViewVersion(2), ProgramId("p"),
                TokenCount{4}, TurnId("t"), true, TurnId("before"), "in", "out",
                TargetId("target"), Milliseconds(9)},
      TurnClosed{LedgerOperationId(1), HolderId("h")},
      LedgerRefused{LedgerOperationId(1), HolderId("h"), sampleView()},
      ViewOffer{sampleView()},
      PullRecords{sampleView(), InstanceId("r"), 7},
      RecordsPage{ViewVersion(2),
                  HolderId("h"),
                  InstanceId("r"),
                  7,
                  8,
                  true,
                  {sampleBatch()}},
      TurnsQuery{{TurnId("t"), TurnId("before")}},
      TurnsFound{HolderId("h"), {sampleBatch()}, {TurnId("t")}},
      DirectoryChanges{{DirectoryItem{"key", "value", Revision(3), true}},
                       true},
      StreamStarted{CallerAttemptId("t"),
                    Fingerprint(12),
                    {ServiceName("s"), SoftwareVersion("v1")},
                    Milliseconds(9)},
      sampleLimitNotice(),
      TargetLimitQuery{},
      PermitRequest{Instant{Milliseconds(5)}, {{sampleLimitNotice(), 2}}},
      PermitGrant{TargetRun{TargetId("t"), 7}, 2, Instant{Milliseconds(5)}},
      ConfigurationVouch{Revision(6), Instant{Milliseconds(5)}},
      TargetLoadReport{{sampleLoadRow()}},
      TargetLoadView{{sampleLoadRow(), TargetLoadRow()}},
      ProgramStartRequest{ServiceName("app"),
                          Instant{Milliseconds(9)},
                          {WaitingStarts{2, 3}},
                          5,
                          40,
                          0.75,
                          6},
      ProgramStartGrant{ServiceName("app"), Instant{Milliseconds(9)}, 2, 7,
                        Milliseconds(30)},
      StreamOutputs{{StreamOutput{Fingerprint(7),
                                  Fingerprint(6),
                                  Fingerprint(8),
                                  3,
                                  true,
                                  11,
                                  "output",
                                  {OutputMark{4, 17}},
                                  Milliseconds(9)}}},
      ContinuationFailed{Fingerprint(6), Fingerprint(8)},
      HistoryQuery{LedgerOperationId(1), TurnId("end"), TurnId("after"), 7, 9},
      HistoryPart{LedgerOperationId(1), HolderId("h"), "data"}};
}

/// Returns Bytes truncated or with a few random bytes overwritten.
std::string damage(std::string Bytes, std::mt19937 &Random) {
  std::uniform_int_distribution<std::size_t> Position(0, Bytes.size() - 1);
  std::uniform_int_distribution<int> Byte(0, 255);
  if (Byte(Random) < 64) {
    Bytes.resize(Position(Random));
    return Bytes;
  }
  for (int Count = Byte(Random) % 4; Count >= 0; --Count)
    Bytes[Position(Random)] = static_cast<char>(Byte(Random));
  return Bytes;
}

} // namespace

TEST_CASE("Codec: a limit that is no usable rate is not decoded") {
  TargetLimitNotice Notice = sampleLimitNotice();
  for (const double PerSecond : {0.0, -1.0, std::nan(""), HUGE_VAL}) {
    Notice.Limit = RequestRate{PerSecond};
    CHECK_FALSE(decodeMessage(encodeMessage(Notice)));
    const auto Request = decodeMessage(encodeMessage(
        PermitRequest{Instant(), {{Notice, 1}, {sampleLimitNotice(), 2}}}));
    REQUIRE(Request);
    CHECK(std::get<PermitRequest>(Request.value()).Rows.size() == 1);
  }
}

TEST_CASE("Codec: a heartbeat keeps its time, and has none if it is absent or "
          "negative") {
  const auto SentAtOf = [](std::optional<Instant> SentAt) {
    const auto Decoded =
        decodeMessage(encodeMessage(Heartbeat{ConfigVersion(3), SentAt}));
    return std::get<Heartbeat>(Decoded.value()).SentAt;
  };
  CHECK(SentAtOf(Instant{Milliseconds(7)})->SinceStart == Milliseconds(7));
  // Time 0 is the default of the field and must not read as absent.
  CHECK(SentAtOf(Instant())->SinceStart == Milliseconds(0));
  CHECK_FALSE(SentAtOf(std::nullopt));
  CHECK_FALSE(SentAtOf(Instant{Milliseconds(-1)}));
}

// They are sent to and from each of several hundred relays every second.
TEST_CASE("Codec: the messages of the proof are small") {
  constexpr std::int64_t LargeMillis = std::int64_t{1} << 61;
  const std::size_t Plain = encodeMessage(Heartbeat{}).size();
  const std::size_t Timed =
      encodeMessage(Heartbeat{{}, Instant{Milliseconds(LargeMillis)}}).size();
  CHECK(Timed <= Plain + 24);
  const ConfigurationVouch Vouch{Revision(LargeMillis),
                                 Instant{Milliseconds(LargeMillis)}};
  CHECK(makeFrame(encodeMessage(Vouch)).size() <= 68);
}

TEST_CASE(
    "Codec: permits of teams are round-tripped, without unusable quotas") {
  const TeamQuotaNotice Notice{TeamId("team"), ConfigVersion(4),
                               RequestQuota{RequestRate{2.5}, 7}};
  TeamQuotaNotice Unusable = Notice;
  Unusable.Quota.Burst = -1;
  PermitRequest Request{Instant{Milliseconds(5)},
                        {{Notice, 2, true, true, 12}, {Unusable, 1, false}}};
  for (const double PerSecond : {0.0, -1.0, std::nan(""), HUGE_VAL}) {
    Unusable = Notice;
    Unusable.Quota.Rate.PerSecond = PerSecond;
    Request.Rows.push_back({Unusable, 1, false});
  }
  const auto Decoded = decodeMessage(encodeMessage(Request));
  REQUIRE(Decoded);
  const auto &Rows = std::get<PermitRequest>(Decoded.value()).Rows;
  REQUIRE(Rows.size() == 1);
  const auto &Stated = std::get<TeamQuotaNotice>(Rows[0].Stated);
  CHECK(Stated.Team == Notice.Team);
  CHECK(Stated.Version == Notice.Version);
  CHECK(Stated.Quota == Notice.Quota);
  CHECK(Rows[0].Wanted == 2);
  CHECK(Rows[0].IsFirstTurn);
  CHECK(Rows[0].IsProgramStart);
  CHECK(Rows[0].AdmittedRequests == 12);

  const PermitGrant Grant{TeamId("team"),  3,   Instant{Milliseconds(5)}, 2,
                          Milliseconds(9), true};
  const auto Answer = decodeMessage(encodeMessage(Grant));
  REQUIRE(Answer);
  const auto &Read = std::get<PermitGrant>(Answer.value());
  CHECK(Read.Subject == Grant.Subject);
  CHECK(Read.Count == 3);
  CHECK(Read.Denied == 2);
  CHECK(Read.NextIn == Milliseconds(9));
  CHECK(Read.IsFirstTurn);
  PermitGrant Start = Grant;
  Start.IsProgramStart = true;
  const auto StartAnswer = decodeMessage(encodeMessage(Start));
  REQUIRE(StartAnswer);
  CHECK(std::get<PermitGrant>(StartAnswer.value()).IsProgramStart);
  // The design note reckons with at most this much for a permit of a team.
  CHECK(encodeMessage(PermitRequest{Instant{Milliseconds(5)}, {{Notice, 2}}})
            .size() <= 176);
  CHECK(encodeMessage(Grant).size() <= 96);
}

TEST_CASE("Codec: a load of a target keeps its figures") {
  // Guards against figures that are exchanged, cut off or rounded down to an
  // age of zero.
  const auto Decoded =
      decodeMessage(encodeMessage(TargetLoadView{{sampleLoadRow()}}));
  REQUIRE(Decoded);
  const auto Rows = std::get<TargetLoadView>(Decoded.value()).Rows;
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Run == TargetRunKey{70000});
  REQUIRE(Rows[0].Report);
  CHECK(*Rows[0].Report == TargetLoad{5, 2, 8, 2.52});
  CHECK(Rows[0].Age == Milliseconds(40));
  CHECK(Rows[0].Sent == 3);
  CHECK(Rows[0].Slowness == 2.0);
  TargetLoadRow Row = sampleLoadRow();
  Row.Age = Milliseconds(1);
  Row.Slowness = 1.3;
  const auto Rounded = decodeMessage(encodeMessage(TargetLoadReport{{Row}}));
  REQUIRE(Rounded);
  const auto Other = std::get<TargetLoadReport>(Rounded.value()).Rows.at(0);
  CHECK(Other.Age == Milliseconds(8));
  CHECK(std::abs(*Other.Slowness - 1.3) < 0.02);
}

TEST_CASE("Codec: a load that does not fit into a row is not passed on") {
  // A target with 500 slots and 300 requests must not seem to have 255.
  TargetLoadRow Row = sampleLoadRow();
  Row.Report = TargetLoad{300, 0, 500, std::nullopt};
  const auto Decoded = decodeMessage(encodeMessage(TargetLoadReport{{Row}}));
  REQUIRE(Decoded);
  const auto Rows = std::get<TargetLoadReport>(Decoded.value()).Rows;
  REQUIRE(Rows.size() == 1);
  CHECK_FALSE(Rows[0].Report);
  CHECK(Rows[0].Sent == 3);
}

TEST_CASE("Codec: the largest message about loads takes at most 400 bytes") {
  const std::vector<TargetLoadRow> Rows(MaxLoadRowsPerMessage, sampleLoadRow());
  CHECK(makeFrame(encodeMessage(TargetLoadView{Rows})).size() <= 400);
  CHECK(makeFrame(encodeMessage(TargetLoadReport{Rows})).size() <= 400);
}

TEST_CASE("Codec: round-trips every message and record") {
  const auto Messages = sampleMessages();
  CHECK(Messages.size() == std::variant_size_v<Message>);
  for (const Message &Body : Messages) {
    const auto Decoded = decodeMessage(encodeMessage(Body));
    REQUIRE(Decoded);
    CHECK(Decoded.value().index() == Body.index());
    CHECK(encodeMessage(Decoded.value()) == encodeMessage(Body));
  }
  for (const Record &Content : sampleRecords()) {
    const auto Decoded = decodeRecord(encodeRecord(Content));
    REQUIRE(Decoded);
    CHECK(encodeRecord(Decoded.value()) == encodeRecord(Content));
  }
}

TEST_CASE("Codec: rejects or decodes corrupted bytes without crashing") {
  std::mt19937 Random(Seed);
  const auto Messages = sampleMessages();
  unsigned Refused = 0;
  for (int Round = 0; Round < FuzzRounds; ++Round) {
    const Message &Body = Messages[Round % Messages.size()];
    if (!decodeMessage(damage(encodeMessage(Body), Random)))
      ++Refused;
  }
  CHECK(Refused > 0);
}

TEST_CASE("Frames: yields the same payloads however the stream is split") {
  std::mt19937 Random(Seed);
  std::string Stream;
  std::vector<std::string> Payloads;
  for (int Number = 0; Number < 50; ++Number) {
    Payloads.push_back(std::string(Random() % 300, 'a'));
    Stream += makeFrame(Payloads.back());
  }
  FrameReader Reader;
  std::vector<std::string> Read;
  for (std::size_t Start = 0; Start < Stream.size();) {
    const std::size_t Length = 1 + Random() % 40;
    Reader.append(std::string_view(Stream).substr(Start, Length));
    Start += Length;
    for (;;) {
      const auto Next = Reader.next();
      REQUIRE(Next);
      if (!Next.value())
        break;
      Read.push_back(*Next.value());
    }
  }
  CHECK(Read == Payloads);
}

TEST_CASE("Frames: rejects a length over the limit") {
  FrameReader Reader;
  Reader.append("\xff\xff\xff\xff");
  const auto Next = Reader.next();
  REQUIRE_FALSE(Next);
  CHECK(Next.error().Reason == DecodeError::Kind::TooLarge);
}
