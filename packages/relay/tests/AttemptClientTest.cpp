/// Tests of AttemptClient against raw sockets that act as targets.
#include "RawPeer.h"

#include "tanagerlanding/relay.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// Returns the tests' protocol: "Id" carries an attempt's id, and "Not-Run"
/// marks a response of a target that has not run the request.
RelayProtocol makeTestProtocol() {
  const auto Find = [](const HeaderFields &Headers, const std::string &Name) {
    for (const auto &[Key, Value] : Headers) {
      if (Key == Name)
        return std::optional<std::string>(Value);
    }
    return std::optional<std::string>();
  };
  RelayProtocol Protocol;
  Protocol.EncodeAttempt = [](const CallerRequest &Request,
                              const SendAttempt &) { return Request.Headers; };
  Protocol.DecodeTargetHead = [Find](std::uint16_t Status,
                                     HeaderFields Headers) {
    DecodedTargetHead Decoded;
    Decoded.Head.Status = Status;
    if (const auto Id = Find(Headers, "Id"))
      Decoded.AnsweredAttempt = CallerAttemptId(*Id);
    Decoded.Head.IsNotRun = Find(Headers, "Not-Run").has_value();
    Decoded.Head.Headers = std::move(Headers);
    return Decoded;
  };
  return Protocol;
}

/// A client and a listening socket that accepts its connections as targets.
class TargetFixture : public AttemptClient::Listener {
public:
  TargetFixture()
      : Protocol(makeTestProtocol()), Client(Loop, Protocol, Buffers, *this),
        Acceptor(Loop.context(), {boost::asio::ip::address_v4::loopback(), 0}) {
    this->accept();
  }

  void onAttemptHead(RelayAttemptId, const TargetAnswerHead &Head) override {
    this->Statuses.push_back(Head.Status);
  }
  void onAttemptBytes(RelayAttemptId, std::string Bytes) override {
    this->Body += Bytes;
  }
  void onAttemptPartWritten(RelayAttemptId, std::size_t Bytes) override {
    this->PartsWritten.push_back(Bytes);
  }
  void onAttemptEnd(RelayAttemptId, AttemptEnded::Kind Outcome) override {
    this->Ends.push_back(Outcome);
  }
  void onTargetProbed(const TargetConnectionProbed &Result) override {
    this->Probes.push_back(Result.Result);
  }

  void accept() {
    auto NewTarget = std::make_unique<RawPeer>(this->Loop);
    RawPeer &Target = *NewTarget;
    this->Targets.push_back(std::move(NewTarget));
    this->Acceptor.async_accept(Target.Socket, [&](const auto &Error) {
      if (Error)
        return;
      ++this->Accepted;
      Target.read();
      this->accept();
    });
  }

  AttemptClient::Request request(const std::string &Id) {
    AttemptClient::Request Request;
    Request.Attempt = RelayAttemptId(++this->LastAttempt);
    Request.Address = "127.0.0.1";
    Request.Port = this->Acceptor.local_endpoint().port();
    Request.Method = "POST";
    Request.Target = "/a%2F../b?z=1&z=2&flag";
    Request.Headers = {{"Host", "h"}, {"Id", Id}, {"Odd", "x"}};
    Request.Body = "body";
    Request.ExpectedId = CallerAttemptId(Id);
    Request.IdleLimit = 4;
    return Request;
  }

  /// Sends a request and waits until the target has received all of it.
  RawPeer &send(const std::string &Id) {
    this->Client.send(this->request(Id));
    RawPeer *Target = nullptr;
    REQUIRE(runUntil(this->Loop, [&] {
      for (const auto &Each : this->Targets) {
        if (Each->has("Id: " + Id + "\r\n") && Each->has("\r\n\r\nbody"))
          Target = Each.get();
      }
      return Target != nullptr;
    }));
    return *Target;
  }

  bool awaitEnds(std::size_t Count) {
    return runUntil(this->Loop, [&] { return this->Ends.size() >= Count; });
  }

  EventLoop Loop;
  const RelayProtocol Protocol;
  BufferBudget Buffers{std::nullopt};
  AttemptClient Client;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::unique_ptr<RawPeer>> Targets;
  std::size_t Accepted = 0;
  std::uint64_t LastAttempt = 0;
  std::vector<std::uint16_t> Statuses;
  std::string Body;
  std::vector<AttemptEnded::Kind> Ends;
  std::vector<std::size_t> PartsWritten;
  std::vector<TargetConnectionProbed::Outcome> Probes;
};

using Kind = AttemptEnded::Kind;

} // namespace

TEST_CASE("Targets: a request arrives byte for byte, without additions") {
  TargetFixture Fixture;
  const RawPeer &Target = Fixture.send("1");
  CHECK(Target.Received == "POST /a%2F../b?z=1&z=2&flag HTTP/1.1\r\nHost: h\r\n"
                           "Id: 1\r\nOdd: x\r\nContent-Length: 4\r\n\r\nbody");
}

TEST_CASE("Targets: parts of a body arrive in order, between its start and the "
          "caller's own") {
  TargetFixture Fixture;
  AttemptClient::Request Request = Fixture.request("1");
  Request.Start = "start;";
  Request.PartBytes = 300006;
  const RelayAttemptId Attempt = Request.Attempt;
  Fixture.Client.send(std::move(Request));
  // The first part comes before the connection is open.
  Fixture.Client.sendPart(Attempt, "one;");
  REQUIRE(
      runUntil(Fixture.Loop, [&] { return Fixture.Targets[0]->has("one;"); }));
  CHECK_FALSE(Fixture.Targets[0]->has("body"));
  const std::string Large = std::string(300000, 'x') + "2;";
  Fixture.Client.sendPart(Attempt, Large);
  REQUIRE(runUntil(Fixture.Loop,
                   [&] { return Fixture.Targets[0]->has("2;body"); }));
  RawPeer &Target = *Fixture.Targets[0];
  CHECK(
      Target.has("Content-Length: 300016\r\n\r\nstart;one;" + Large + "body"));
  CHECK(Fixture.PartsWritten == std::vector<std::size_t>{4, 300002});
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  Fixture.send("2");
  CHECK(Fixture.Accepted == 1);
}

// Guards against a request whose rest is taken for the next one.
TEST_CASE(
    "Targets: a connection is not reused if parts of a body are missing") {
  TargetFixture Fixture;
  AttemptClient::Request Request = Fixture.request("1");
  Request.PartBytes = 8;
  const RelayAttemptId Attempt = Request.Attempt;
  Fixture.Client.send(std::move(Request));
  Fixture.Client.sendPart(Attempt, "part");
  REQUIRE(
      runUntil(Fixture.Loop, [&] { return Fixture.Targets[0]->has("part"); }));
  SECTION("a complete answer") {
    Fixture.Targets[0]->send(
        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Complete);
  }
  SECTION("a refusal without an id") {
    Fixture.Targets[0]->send(
        "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Broken);
  }
  SECTION("a cancelled attempt") { Fixture.Client.cancel(Attempt); }
  Fixture.Client.sendPart(Attempt, "late");
  Fixture.send("2");
  CHECK(Fixture.Accepted == 2);
  CHECK_FALSE(Fixture.Targets[0]->has("late"));
}

TEST_CASE("Targets: a complete response leaves the connection for reuse") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 100 Continue\r\n\r\n");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  CHECK(Fixture.Statuses == std::vector<std::uint16_t>{200});
  CHECK(Fixture.Body == "ok");
  Fixture.send("2");
  CHECK(Fixture.Accepted == 1);
}

// The process may be suspended between the decision and the send.
TEST_CASE("Targets: a request that is overdue when its connection is ready is "
          "not sent") {
  TargetFixture Fixture;
  if (GENERATE(false, true)) {
    // The second request uses the first one's connection.
    RawPeer &Target = Fixture.send("1");
    Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(Fixture.awaitEnds(1));
    Fixture.Ends.clear();
  }
  AttemptClient::Request Late = Fixture.request("2");
  Late.SendBefore = Fixture.Loop.now();
  Fixture.Client.send(Late);
  CHECK(Fixture.Ends.empty());
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Overdue);
  for (const auto &Each : Fixture.Targets)
    CHECK_FALSE(Each->has("Id: 2"));
  AttemptClient::Request Early = Fixture.request("3");
  Early.SendBefore = Fixture.Loop.now() + Milliseconds(60000);
  Fixture.Client.send(Early);
  CHECK(runUntil(Fixture.Loop, [&] {
    return std::any_of(Fixture.Targets.begin(), Fixture.Targets.end(),
                       [](const auto &Each) { return Each->has("Id: 3"); });
  }));
}

TEST_CASE("Targets: truncated responses are never reported as complete") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  SECTION("within a fixed-length body") {
    Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok");
  }
  SECTION("within a chunked body") {
    Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n");
  }
  SECTION("within the head") { Target.send("HTTP/1.1 200 OK\r\nId"); }
  SECTION("before the first byte") {}
  SECTION("bytes that are not HTTP") { Target.send("rubbish\r\n\r\n"); }
  Target.Socket.close();
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Broken);
}

// Guards against callers that get an impossible status, or wait for an answer
// that does not come.
TEST_CASE("Targets: a response with an impossible status is no answer") {
  const auto Status =
      GENERATE(as<std::string>(), "000", "001", "099", "101", "600", "999",
               "1000", "20", "2000", "2O0", "-1", "", "+20");
  const auto Rest = GENERATE(
      as<std::string>(), "\r\n\r\n", "\r\nId: 1\r\n\r\n",
      " X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
      " X\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
      " X\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  CAPTURE(Status, Rest);
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 " + Status + Rest);
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Broken);
  CHECK(Fixture.Statuses.empty());
  CHECK(Fixture.Body.empty());
}

// Guards against answers that are empty and look whole.
TEST_CASE("Targets: a response whose head is cut off anywhere is no answer") {
  const auto Head =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nId: 2\r\nX: 1\r\n\r\n",
               "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
               "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: 2\r\nX: 1\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n\r\n",
               // A late response to another request comes first.
               "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nok"
               "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n");
  const bool IsReset = GENERATE(false, true);
  CAPTURE(Head, IsReset);
  for (std::size_t Length = 1; Length < Head.size(); ++Length) {
    TargetFixture Fixture;
    RawPeer &First = Fixture.send("1");
    First.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(Fixture.awaitEnds(1));
    RawPeer &Target = Fixture.send("2");
    Target.send(Head.substr(0, Length));
    if (IsReset)
      Target.Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Target.Socket.close();
    REQUIRE(Fixture.awaitEnds(2));
    CAPTURE(Head.substr(0, Length));
    CHECK(Fixture.Ends[1] == Kind::Broken);
    CHECK(Fixture.Statuses.size() == 1);
  }
}

TEST_CASE("Targets: a response without a length ends with its connection") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Fixture.Body == "all of it"; }));
  SECTION("a close completes it") {
    Target.Socket.close();
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Complete);
  }
  SECTION("a reset doesn't") {
    Target.Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Target.Socket.close();
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Broken);
  }
}

TEST_CASE("Targets: a response to another request is discarded") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nwrong"
              "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nright");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  CHECK(Fixture.Body == "right");
}

TEST_CASE("Targets: a response without an id must be a refusal") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  SECTION("success") {
    Target.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Broken);
  }
  SECTION("not run") {
    Target.send("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Complete);
  }
}

TEST_CASE("Targets: a connection with surplus bytes is not reused") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nextra");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Target.IsClosed; }));
  Fixture.send("2");
  CHECK(Fixture.Accepted == 2);
  CHECK(Fixture.Body == "ok");
}

TEST_CASE("Targets: a refusal repeated on a kept connection doesn't refuse the "
          "next request") {
  const std::string Refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\n";
  const std::string NoBody = "Content-Length: 0\r\n\r\n";
  const std::string Id = GENERATE("", "Id: 1\r\n", "Id: 2\r\n");
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send(Refusal + "Id: 1\r\n" + NoBody);
  REQUIRE(Fixture.awaitEnds(1));
  Fixture.Statuses.clear();
  SECTION("it arrives while no request is pending") {
    Target.send(Refusal + Id + NoBody);
    REQUIRE(runUntil(Fixture.Loop, [&] { return Target.IsClosed; }));
    Fixture.send("2");
    CHECK(Fixture.Accepted == 2);
  }
  SECTION("it has arrived unnoticed when the request is sent") {
    Target.send(Refusal + Id + NoBody);
    Fixture.send("2");
    CHECK(Fixture.Accepted == 2);
    CHECK_FALSE(Target.has("Id: 2"));
  }
  SECTION("its start has arrived unnoticed when the request is sent") {
    Target.send(Refusal + "Odd: ");
    RawPeer &Next = Fixture.send("2");
    Next.send("HTTP/1.1 200 OK\r\nId: 2\r\n" + NoBody);
    REQUIRE(Fixture.awaitEnds(2));
    CHECK(Fixture.Statuses == std::vector<std::uint16_t>{200});
    return;
  }
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return Fixture.Ends.size() > 1; }, Milliseconds(50)));
  CHECK(Fixture.Statuses.empty());
}

TEST_CASE("Targets: a request isn't sent on a kept connection whose close has "
          "arrived unnoticed") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  Target.Socket.close();
  Fixture.send("2");
  CHECK(Fixture.Accepted == 2);
  CHECK(Fixture.Ends.size() == 1);
}

TEST_CASE("Targets: a refusal without an id on a kept connection isn't taken "
          "for the pending request's") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  Fixture.send("2");
  REQUIRE(Fixture.Accepted == 1);
  Target.send("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(Fixture.awaitEnds(2));
  CHECK(Fixture.Ends[1] == Kind::Broken);
  CHECK(Fixture.Statuses == std::vector<std::uint16_t>{200});
}

TEST_CASE("Targets: a refusal without an id isn't taken for the answer to a "
          "request that is still being sent") {
  TargetFixture Fixture;
  AttemptClient::Request Request = Fixture.request("1");
  Request.Body = std::string(32 * 1024 * 1024, 'x');
  Fixture.Client.send(Request);
  REQUIRE(runUntil(Fixture.Loop, [&] {
    return Fixture.Accepted == 1 && Fixture.Targets[0]->has("Id: 1");
  }));
  const std::string Refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\n";
  SECTION("without an id the outcome is unknown") {
    Fixture.Targets[0]->send(Refusal + "Content-Length: 0\r\n\r\n");
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Broken);
    CHECK(Fixture.Statuses.empty());
  }
  SECTION("with the request's id it counts") {
    Fixture.Targets[0]->send(Refusal + "Id: 1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Complete);
    CHECK(Fixture.Statuses == std::vector<std::uint16_t>{503});
  }
}

TEST_CASE("Targets: a refusal without an id behind another request's answer "
          "isn't taken for the pending request's") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: 0\r\n"
              "Content-Length: 0\r\n\r\n"
              "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Broken);
  CHECK(Fixture.Statuses.empty());
}

TEST_CASE("Targets: a repeated refusal doesn't refuse a second request with "
          "its id") {
  TargetFixture Fixture;
  const std::string Refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  RawPeer &First = Fixture.send("1");
  First.send(Refusal);
  REQUIRE(Fixture.awaitEnds(1));
  if (GENERATE(false, true)) {
    // Another request uses the connection in between.
    Fixture.send("2").send("HTTP/1.1 200 OK\r\nId: 2\r\n"
                           "Content-Length: 2\r\n\r\nok");
    REQUIRE(Fixture.awaitEnds(2));
  }
  Fixture.Statuses.clear();
  Fixture.Ends.clear();
  Fixture.Client.send(Fixture.request("1"));
  REQUIRE(runUntil(Fixture.Loop, [&] {
    return Fixture.Accepted == 2 && Fixture.Targets[1]->has("\r\n\r\nbody");
  }));
  First.send(Refusal);
  REQUIRE(runUntil(Fixture.Loop, [&] { return First.IsClosed; }));
  CHECK(Fixture.Ends.empty());
  Fixture.Targets[1]->send("HTTP/1.1 200 OK\r\nId: 1\r\n"
                           "Content-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Statuses == std::vector<std::uint16_t>{200});
}

TEST_CASE("Targets: a connection that has carried many requests is closed") {
  TargetFixture Fixture;
  int Requests = 0;
  while (Fixture.Accepted < 2 && Requests < 2000) {
    const std::string Id = std::to_string(++Requests);
    Fixture.send(Id).send("HTTP/1.1 200 OK\r\nId: " + Id +
                          "\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Fixture.awaitEnds(Requests));
  }
  CHECK(Requests == 1001);
  CHECK(runUntil(Fixture.Loop, [&] { return Fixture.Targets[0]->IsClosed; }));
}

TEST_CASE("Targets: a refusal with the request's id counts on a kept "
          "connection") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  Fixture.send("2");
  const std::string Refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\n";
  const std::string NoBody = "Content-Length: 0\r\n\r\n";
  // A repeat of an earlier answer may come first.
  const std::string First =
      GENERATE_COPY(std::string(), Refusal + "Id: 1\r\n" + NoBody);
  Target.send(First + Refusal + "Id: 2\r\n" + NoBody);
  REQUIRE(Fixture.awaitEnds(2));
  CHECK(Fixture.Ends[1] == Kind::Complete);
  CHECK(Fixture.Statuses == std::vector<std::uint16_t>{200, 503});
  Fixture.send("3");
  CHECK(Fixture.Accepted == 1);
}

TEST_CASE("Targets: a refusal behind or within an answer refuses nothing") {
  const std::string Refusal = "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  const std::string ChunkedHead =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Kind Expected = Kind::Broken;
  std::vector<std::uint16_t> Statuses = {200};
  const auto SendHead = [&](const std::string &Head) {
    Target.send(Head);
    REQUIRE(runUntil(Fixture.Loop, [&] { return !Fixture.Statuses.empty(); }));
  };
  SECTION("behind a complete answer in the same read") {
    Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok" +
                Refusal);
    Expected = Kind::Complete;
  }
  SECTION("within a head") {
    Target.send("HTTP/1.1 200 OK\r\nId: 1\r\n" + Refusal);
    Statuses.clear();
  }
  SECTION("behind the head of a chunked answer") {
    SendHead(ChunkedHead);
    Target.send(Refusal);
  }
  SECTION("behind the first chunk") {
    SendHead(ChunkedHead + "2\r\nok\r\n");
    Target.send(Refusal);
  }
  SECTION("behind the head of a refusal") {
    SendHead("HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: 1\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
    Target.send(Refusal);
    Statuses = {503};
  }
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends == std::vector<Kind>{Expected});
  CHECK(Fixture.Statuses == Statuses);
  REQUIRE(runUntil(Fixture.Loop, [&] { return Target.IsClosed; }));
  Fixture.send("2");
  CHECK(Fixture.Accepted == 2);
}

TEST_CASE("Targets: bytes that arrive before a connection's first request "
          "aren't taken for its answer") {
  TargetFixture Fixture;
  boost::asio::ip::tcp::acceptor Greeter(
      Fixture.Loop.context(), {boost::asio::ip::address_v4::loopback(), 0});
  AttemptClient::Request Request = Fixture.request("1");
  Request.Port = Greeter.local_endpoint().port();
  Fixture.Client.send(Request);
  RawPeer Target(Fixture.Loop);
  Greeter.accept(Target.Socket);
  Target.send(
      GENERATE("HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
               "HTTP/1.1 503 No\r\nNot-Run: 1\r\nOdd: "));
  Target.read();
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::NeverSent);
  CHECK(Fixture.Statuses.empty());
  REQUIRE(runUntil(Fixture.Loop, [&] { return Target.IsClosed; }));
  CHECK(Target.Received.empty());
}

TEST_CASE("Targets: an early response to a long body closes the connection") {
  TargetFixture Fixture;
  AttemptClient::Request Request = Fixture.request("1");
  Request.Body = std::string(32 * 1024 * 1024, 'x');
  Fixture.Client.send(Request);
  REQUIRE(runUntil(Fixture.Loop, [&] {
    return Fixture.Accepted == 1 && Fixture.Targets[0]->has("Id: 1");
  }));
  Fixture.Targets[0]->send(
      "HTTP/1.1 500 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  REQUIRE(runUntil(Fixture.Loop, [&] { return Fixture.Targets[0]->IsClosed; }));
}

TEST_CASE("Targets: a request is not resent when a reused connection breaks") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
  REQUIRE(Fixture.awaitEnds(1));
  Fixture.send("2");
  Target.Socket.close();
  REQUIRE(Fixture.awaitEnds(2));
  CHECK(Fixture.Ends[1] == Kind::Broken);
  CHECK(Fixture.Accepted == 1);
}

TEST_CASE("Targets: a refused connection is reported as never sent") {
  TargetFixture Fixture;
  AttemptClient::Request Request = Fixture.request("1");
  Request.Port = freeTestPort(Fixture.Loop);
  Fixture.Client.send(Request);
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::NeverSent);
}

TEST_CASE("Targets: a probe tells a listening target from a refusing host") {
  TargetFixture Fixture;
  ProbeTargetConnection Probe{TargetRun(), "127.0.0.1", 0};
  auto Expected = TargetConnectionProbed::Outcome::Accepted;
  SECTION("a listening target") {
    Probe.Port = Fixture.Acceptor.local_endpoint().port();
  }
  SECTION("no process listens") {
    Probe.Port = freeTestPort(Fixture.Loop);
    Expected = TargetConnectionProbed::Outcome::Refused;
  }
  SECTION("the address is invalid") {
    Probe.Address = "nowhere";
    Expected = TargetConnectionProbed::Outcome::NoAnswer;
  }
  Fixture.Client.probe(Probe);
  REQUIRE(runUntil(Fixture.Loop, [&] { return !Fixture.Probes.empty(); }));
  CHECK(Fixture.Probes[0] == Expected);
}

TEST_CASE("Targets: cancelling closes the connection and stops callbacks") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Fixture.Client.cancel(RelayAttemptId(1));
  REQUIRE(runUntil(Fixture.Loop, [&] { return Target.IsClosed; }));
  CHECK(Fixture.Ends.empty());
}

TEST_CASE("Attempts: a paused response is read on only when it is continued") {
  constexpr std::size_t BodyBytes = 32 * 1024 * 1024;
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("a");
  const RelayAttemptId Attempt(Fixture.LastAttempt);
  Fixture.Client.setPaused(Attempt, true);
  Target.Socket.non_blocking(true);
  const std::string Answer = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: " +
                             std::to_string(BodyBytes) + "\r\n\r\n" +
                             std::string(BodyBytes, 'x');
  boost::asio::async_write(Target.Socket, boost::asio::buffer(Answer),
                           [](const auto &, std::size_t) {});
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return Fixture.Body.size() == BodyBytes; },
      Milliseconds(300)));
  const std::size_t Paused = Fixture.Body.size();
  CHECK(Paused < 1024 * 1024);
  Fixture.Client.setPaused(Attempt, false);
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == AttemptEnded::Kind::Complete);
  CHECK(Fixture.Body.size() == BodyBytes);
}

namespace {

/// Ends the connection such that the target's kernel resets it.
void reset(RawPeer &Target) {
  Target.Socket.set_option(boost::asio::socket_base::linger(true, 0));
  Target.Socket.close();
}

} // namespace

TEST_CASE("Unframed responses: every version and status ends with a close, and "
          "the connection is not reused") {
  const std::string Start = GENERATE(
      as<std::string>(), "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
      "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n",
      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\n", "HTTP/1.1 500 No\r\n");
  const std::string Body = GENERATE(as<std::string>(), "", "all of it");
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send(Start + "Id: 1\r\n\r\n" + Body);
  REQUIRE(runUntil(Fixture.Loop, [&] {
    return !Fixture.Statuses.empty() && Fixture.Body == Body;
  }));
  CHECK(Fixture.Ends.empty());
  SECTION("a close completes it") {
    Target.Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Complete);
    CHECK(Fixture.Body == Body);
    Fixture.send("2");
    CHECK(Fixture.Accepted == 2);
  }
  SECTION("a reset doesn't") {
    reset(Target);
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Broken);
  }
}

TEST_CASE("Unframed responses: those that have no body don't await a close") {
  TargetFixture Fixture;
  AttemptClient::Request Request = Fixture.request("1");
  std::string Status = "200 OK";
  SECTION("HEAD") { Request.Method = "HEAD"; }
  SECTION("204") { Status = "204 No Content"; }
  SECTION("304") { Status = "304 Not Modified"; }
  Fixture.Client.send(Request);
  REQUIRE(runUntil(Fixture.Loop, [&] {
    return Fixture.Accepted == 1 && Fixture.Targets[0]->has("body");
  }));
  Fixture.Targets[0]->send("HTTP/1.1 " + Status + "\r\nId: 1\r\n\r\n");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  Fixture.send("2");
  CHECK(Fixture.Accepted == 1);
}

TEST_CASE("Targets: a response with an ambiguous length is refused") {
  const std::string Lengths = GENERATE(
      as<std::string>(), "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
      "Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: 2, 3\r\n",
      "Content-Length: 2x\r\n");
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\n" + Lengths +
              "\r\n2\r\nok\r\n0\r\n\r\n");
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Broken);
  CHECK(Fixture.Statuses.empty());
}

TEST_CASE("Targets: a stated length reserves no memory") {
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("1");
  Target.send("HTTP/1.1 200 OK\r\nId: 1\r\n"
              "Content-Length: 4000000000000000000\r\n\r\nok");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Fixture.Body == "ok"; }));
  Target.Socket.close();
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Broken);
}

TEST_CASE("Unframed responses: a paused one is read on only when it is "
          "continued") {
  constexpr std::size_t BodyBytes = 32 * 1024 * 1024;
  TargetFixture Fixture;
  RawPeer &Target = Fixture.send("a");
  const RelayAttemptId Attempt(Fixture.LastAttempt);
  Fixture.Client.setPaused(Attempt, true);
  Target.Socket.non_blocking(true);
  const std::string Answer =
      "HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + std::string(BodyBytes, 'x');
  boost::asio::async_write(Target.Socket, boost::asio::buffer(Answer),
                           [&](const auto &, std::size_t) {
                             Target.Socket.shutdown(
                                 boost::asio::ip::tcp::socket::shutdown_send);
                           });
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return Fixture.Body.size() == BodyBytes; },
      Milliseconds(300)));
  CHECK(Fixture.Body.size() < 1024 * 1024);
  Fixture.Client.setPaused(Attempt, false);
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  CHECK(Fixture.Body.size() == BodyBytes);
}

namespace {

/// Sends a body that the target's buffers can't hold, and waits until the
/// target has received some of it.
RawPeer &sendLongBody(TargetFixture &Fixture) {
  AttemptClient::Request Request = Fixture.request("1");
  Request.Body = std::string(32 * 1024 * 1024, 'x');
  Fixture.Client.send(Request);
  REQUIRE(runUntil(Fixture.Loop, [&] {
    return Fixture.Accepted == 1 && Fixture.Targets[0]->has("Id: 1");
  }));
  return *Fixture.Targets[0];
}

} // namespace

TEST_CASE("Unframed responses: one to a request that was not read whole ends "
          "with a close only") {
  TargetFixture Fixture;
  RawPeer &Target = sendLongBody(Fixture);
  Target.send("HTTP/1.1 500 No\r\nId: 1\r\n\r\nall of it");
  SECTION("a close completes it") {
    Target.Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Complete);
    CHECK(Fixture.Body == "all of it");
  }
  SECTION("a reset doesn't") {
    REQUIRE(
        runUntil(Fixture.Loop, [&] { return Fixture.Body == "all of it"; }));
    reset(Target);
    REQUIRE(Fixture.awaitEnds(1));
    CHECK(Fixture.Ends[0] == Kind::Broken);
  }
}

TEST_CASE(
    "Targets: a response that precedes a reset is read before the request "
    "fails") {
  TargetFixture Fixture;
  RawPeer &Target = sendLongBody(Fixture);
  Target.send("HTTP/1.1 503 No\r\nId: 1\r\nNot-Run: 1\r\n"
              "Content-Length: 2\r\n\r\nno");
  reset(Target);
  REQUIRE(Fixture.awaitEnds(1));
  CHECK(Fixture.Ends[0] == Kind::Complete);
  CHECK(Fixture.Body == "no");
}
