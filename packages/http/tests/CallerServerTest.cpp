/// Tests of CallerServer with raw sockets that act as callers.
#include "RawPeer.h"

#include "tanagerlanding/http.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;
using namespace tanagerlanding::test;

namespace {

/// More than the buffers of any test that does not fill it on purpose.
constexpr std::size_t BudgetBytes = 32 * 1024 * 1024;
constexpr std::size_t ReceiveLimit = 1024 * 1024;
constexpr std::size_t MaxConnections = 20;

/// Returns the tests' protocol: "Id" carries an attempt's id.
CallerProtocol makeTestProtocol() {
  const auto Find = [](const HeaderFields &Headers, const std::string &Name) {
    for (const auto &[Key, Value] : Headers) {
      if (Key == Name)
        return std::optional<std::string>(Value);
    }
    return std::optional<std::string>();
  };
  CallerProtocol Protocol;
  Protocol.DecodeRequest =
      [Find](RawRequest Raw) -> Result<CallerRequest, RelayRefusalReason> {
    const auto Id = Find(Raw.Headers, "Id");
    if (!Id)
      return RelayRefusalReason::Malformed;
    CallerRequest Request;
    Request.Id = CallerAttemptId(*Id);
    Request.Method = Raw.Method;
    Request.RequestTarget = Raw.Target;
    Request.Headers = Raw.Headers;
    Request.Body = Raw.Body;
    return Request;
  };
  Protocol.EncodeRefusal = [](const RelayRefusal &Refusal,
                              const CallerAttemptId &) {
    RefusalHead Head;
    switch (Refusal.Reason) {
    case RelayRefusalReason::BodyTooLarge:
      Head.Status = 413;
      break;
    case RelayRefusalReason::HeadersTooLarge:
      Head.Status = 431;
      break;
    case RelayRefusalReason::HeaderTimeout:
      Head.Status = 408;
      break;
    case RelayRefusalReason::Overloaded:
      Head.Status = 503;
      break;
    default:
      Head.Status = 400;
    }
    return Head;
  };
  return Protocol;
}

/// A server that records its requests and the callers' disconnections.
class CallerFixture : public CallerServer::Listener {
public:
  CallerFixture()
      : Protocol(makeTestProtocol()),
        Server(Loop, Protocol, Buffers, {ReceiveLimit, MaxConnections}, *this) {
    this->Port = freeTestPort(this->Loop);
    REQUIRE(this->Server.listen("127.0.0.1", this->Port));
  }

  void onCallerRequest(RequestId Id, CallerRequest Request) override {
    this->Ids.push_back(Id);
    this->Requests.push_back(std::move(Request));
  }
  void onCallerWritable(RequestId) override { ++this->WritableCount; }
  void onCallerDisconnected(RequestId Id) override {
    this->Disconnected.push_back(Id);
  }

  bool awaitRequests(std::size_t Count) {
    return runUntil(this->Loop, [&] { return this->Requests.size() >= Count; });
  }

  void answer(std::size_t Index, const std::string &Body) {
    TargetAnswerHead Head;
    Head.Status = 200;
    Head.Headers = {
        {"Id", this->Requests[Index].Id.Value}, {"X", "1"}, {"X", "2"}};
    this->Server.beginResponse(this->Ids[Index], Head, Body.size());
    this->Server.sendBody(this->Ids[Index], Body);
    this->Server.finishResponse(this->Ids[Index]);
  }

  EventLoop Loop;
  const CallerProtocol Protocol;
  BufferBudget Buffers{BudgetBytes};
  CallerServer Server;
  std::uint16_t Port = 0;
  std::vector<RequestId> Ids;
  std::vector<CallerRequest> Requests;
  std::vector<RequestId> Disconnected;
  unsigned WritableCount = 0;
};

const std::string Plain = "GET /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n";

} // namespace

TEST_CASE("Callers: path, query and headers arrive byte for byte") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send("POST /a%2F../b?z=1&a=2&m=%20x&z=3&flag HTTP/1.1\r\nHost: h\r\n"
              "Id: 1\r\nOdd: one\r\nOdd: two\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(Fixture.awaitRequests(1));
  CHECK(Fixture.Requests[0].RequestTarget ==
        "/a%2F../b?z=1&a=2&m=%20x&z=3&flag");
  CHECK(Fixture.Requests[0].Body == "body");
  const HeaderFields Expected = {
      {"Host", "h"}, {"Id", "1"}, {"Odd", "one"}, {"Odd", "two"}};
  CHECK(Fixture.Requests[0].Headers == Expected);
  Fixture.answer(0, "answer");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("answer"); }));
  CHECK(Caller.has("X: 1\r\nX: 2\r\n"));
  CHECK(Caller.has("Content-Length: 6\r\n"));
}

TEST_CASE("Callers: a chunked body is delivered only once complete") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n");
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return !Fixture.Requests.empty(); },
      Milliseconds(50)));
  Caller.send("0\r\n\r\n");
  REQUIRE(Fixture.awaitRequests(1));
  CHECK(Fixture.Requests[0].Body == "abcde");
}

TEST_CASE("Callers: ambiguous body lengths are refused (request smuggling)") {
  const std::string Start = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n";
  const std::string Smuggled = "GET /evil HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n";
  for (const char *Lengths :
       {"Content-Length: 4\r\nContent-Length: 9\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: identity, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n", "Content-Length: 4x\r\n"}) {
    CallerFixture Fixture;
    RawPeer Caller(Fixture.Loop);
    Caller.connect(Fixture.Port);
    Caller.send(Start + Lengths + "\r\n0\r\n\r\n" + Smuggled);
    REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("400"); }));
    REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.IsClosed; }));
    CHECK(Fixture.Requests.empty());
  }
}

TEST_CASE("Callers: control characters in header values are refused") {
  // Guards the ids at the ledger, in which one separates the team from the id
  // that the caller chose.
  for (const char *Value : {"x\x1f"
                            "y",
                            "\x1fy", "x\x1f", "x\x01y", "x\x7fy"}) {
    CallerFixture Fixture;
    RawPeer Caller(Fixture.Loop);
    Caller.connect(Fixture.Port);
    Caller.send(std::string("GET /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nX: ") +
                Value + "\r\n\r\n");
    CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("400"); }));
    CHECK(Fixture.Requests.empty());
  }
}

TEST_CASE("Callers: limits on header size, body size and header time") {
  CallerFixture Fixture;
  CallerLimits Limits;
  Limits.HeaderBytes = 512;
  Limits.BodyBytes = 10;
  Limits.HeaderTimeout = Milliseconds(300);
  Fixture.Server.setLimits(Limits);
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  SECTION("headers") {
    Caller.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') +
                "\r\n\r\n");
    CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("431"); }));
  }
  SECTION("body") {
    Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                "Content-Length: 11\r\n\r\n");
    CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("413"); }));
  }
  SECTION("time for the headers") {
    Caller.send("GET /a HTTP/1.1\r\nHost");
    CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("408"); }));
  }
  SECTION("an invalid request line") {
    Caller.send("nonsense\r\n\r\n");
    CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("400"); }));
  }
  CHECK(Fixture.Requests.empty());
}

TEST_CASE("Callers: a trailer, a chunk's size or an extension without end is "
          "refused") {
  CallerFixture Fixture;
  CallerLimits Limits;
  Limits.HeaderBytes = 512;
  Fixture.Server.setLimits(Limits);
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  const std::string Head = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const auto [Start, Piece] =
      GENERATE(table<std::string, std::string>({{"1\r\nx\r\n0\r\n", "X: y\r\n"},
                                                {"1\r\nx\r\n0\r\nX: ", "y"},
                                                {"0;", "x"},
                                                {"1;", "x"},
                                                {"", "0"},
                                                {"1\r\nx\r\n", "0"}}));
  std::string Endless;
  while (Endless.size() < 4 * Limits.HeaderBytes)
    Endless += Piece;
  Caller.send(Head + Start + Endless);
  CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("431"); }));
  CHECK(runUntil(Fixture.Loop, [&] { return Caller.IsClosed; }));
  CHECK(Fixture.Requests.empty());
}

TEST_CASE("Callers: chunks of one byte, with extensions and a trailer, are one "
          "body") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  constexpr std::size_t BodyBytes = 20000;
  std::string Chunks;
  for (std::size_t Number = 0; Number < BodyBytes; ++Number)
    Chunks += "1;a=b\r\nx\r\n";
  Caller.send(Chunks + "0;c\r\nX: y\r\n\r\n");
  REQUIRE(Fixture.awaitRequests(1));
  CHECK(Fixture.Requests[0].Body == std::string(BodyBytes, 'x'));
}

TEST_CASE("Callers: bodies that stop short of their end give way to others") {
  CallerFixture Fixture;
  CallerLimits Limits;
  Limits.BodyBytes = ReceiveLimit / 4;
  Limits.HeaderBytes = 1024;
  Fixture.Server.setLimits(Limits);
  const std::string Head = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                           "Content-Length: " +
                           std::to_string(Limits.BodyBytes) + "\r\n\r\n";
  std::vector<std::unique_ptr<RawPeer>> Stalled;
  for (unsigned Number = 0; Number < 8; ++Number) {
    Stalled.push_back(std::make_unique<RawPeer>(Fixture.Loop));
    Stalled.back()->connect(Fixture.Port);
    Stalled.back()->send(Head + std::string(Limits.BodyBytes - 1, 'x'));
    runUntil(
        Fixture.Loop, [] { return false; }, Milliseconds(20));
    CHECK(Fixture.Server.receivedBytes() <= ReceiveLimit);
  }
  CHECK(runUntil(Fixture.Loop, [&] { return Stalled[0]->has("503"); }));
  CHECK_FALSE(Stalled.back()->has("503"));
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send(Head + std::string(Limits.BodyBytes, 'x'));
  CHECK(Fixture.awaitRequests(1));
  CHECK(Fixture.Requests[0].Body == std::string(Limits.BodyBytes, 'x'));
}

TEST_CASE("Callers: a request for which there is no room beside those that are "
          "served is refused, and a small one is served") {
  CallerFixture Fixture;
  CallerLimits Limits;
  Limits.BodyBytes = ReceiveLimit / 4;
  Limits.HeaderBytes = 1024;
  Fixture.Server.setLimits(Limits);
  const std::string Large = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                            "Content-Length: " +
                            std::to_string(Limits.BodyBytes) + "\r\n\r\n" +
                            std::string(Limits.BodyBytes, 'x');
  std::vector<std::unique_ptr<RawPeer>> Callers;
  for (unsigned Number = 0; Number < 4; ++Number) {
    Callers.push_back(std::make_unique<RawPeer>(Fixture.Loop));
    Callers.back()->connect(Fixture.Port);
    Callers.back()->send(Large);
    runUntil(
        Fixture.Loop, [] { return false; }, Milliseconds(20));
  }
  CHECK(Callers.back()->has("503"));
  CHECK(Fixture.Requests.size() < Callers.size());
  const std::size_t Served = Fixture.Requests.size();
  RawPeer Small(Fixture.Loop);
  Small.connect(Fixture.Port);
  Small.send(Plain);
  REQUIRE(Fixture.awaitRequests(Served + 1));
  Fixture.answer(0, "ok");
  CHECK(runUntil(Fixture.Loop, [&] { return Callers[0]->has("ok"); }));
  RawPeer Next(Fixture.Loop);
  Next.connect(Fixture.Port);
  Next.send(Large);
  CHECK(Fixture.awaitRequests(Served + 2));
}

TEST_CASE("Callers: connections that are held open give way to new ones") {
  CallerFixture Fixture;
  const auto Connect = [&] {
    auto Peer = std::make_unique<RawPeer>(Fixture.Loop);
    Peer->connect(Fixture.Port);
    return Peer;
  };
  const auto Served = Connect();
  Served->send(Plain);
  REQUIRE(Fixture.awaitRequests(1));
  const auto Used = Connect();
  Used->send(Plain);
  REQUIRE(Fixture.awaitRequests(2));
  Fixture.answer(1, "ok");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Used->has("ok"); }));
  std::vector<std::unique_ptr<RawPeer>> Held;
  for (std::size_t Number = 0; Number < 2 * MaxConnections; ++Number)
    Held.push_back(Connect());
  CHECK(runUntil(Fixture.Loop, [&] { return Held[0]->IsClosed; }));
  runUntil(
      Fixture.Loop, [] { return false; }, Milliseconds(300));
  for (std::size_t Number = 0; Number < MaxConnections / 2; ++Number)
    Held.push_back(Connect());
  const auto Next = Connect();
  Next->send(Plain);
  REQUIRE(Fixture.awaitRequests(3));
  CHECK_FALSE(Held.back()->IsClosed);
  Fixture.answer(0, "late");
  CHECK(runUntil(Fixture.Loop, [&] { return Served->has("late"); }));
}

TEST_CASE("Callers: a trailer adds no fields to the head") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  const std::string Head = "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Body = "1\r\nx\r\n0\r\nId: 2\r\nX: y\r\n"
                           "Connection: close\r\n\r\n";
  SECTION("all at once") { Caller.send(Head + Body); }
  SECTION("the trailer apart") {
    Caller.send(Head);
    runUntil(
        Fixture.Loop, [] { return false; }, Milliseconds(20));
    Caller.send(Body);
  }
  REQUIRE(Fixture.awaitRequests(1));
  CHECK(Fixture.Requests[0].Id == CallerAttemptId("1"));
  CHECK(Fixture.Requests[0].Headers ==
        HeaderFields{{"Host", "h"}, {"Id", "1"}});
  CHECK(Fixture.Requests[0].Body == "x");
  Fixture.answer(0, "ok");
  CHECK(runUntil(Fixture.Loop, [&] { return Caller.has("ok"); }));
  CHECK_FALSE(Caller.has("close"));
}

TEST_CASE("Callers: Expect: 100-continue is answered with 100 Continue") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nExpect: 100-continue\r\n"
              "Content-Length: 4\r\n\r\n");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("100 Continue"); }));
  Caller.send("body");
  REQUIRE(Fixture.awaitRequests(1));
  CHECK(Fixture.Requests[0].Body == "body");
}

TEST_CASE("Callers: pipelined requests are answered in order") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send(Plain + "GET /b HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n");
  REQUIRE(Fixture.awaitRequests(1));
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return Fixture.Requests.size() > 1; },
      Milliseconds(50)));
  Fixture.answer(0, "first");
  REQUIRE(Fixture.awaitRequests(2));
  CHECK(Fixture.Requests[1].RequestTarget == "/b");
  Fixture.answer(1, "second");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("second"); }));
  CHECK(Caller.Received.find("first") < Caller.Received.find("second"));
  CHECK_FALSE(Caller.IsClosed);
}

TEST_CASE("Callers: little is read behind a request in progress, and all of it "
          "after its response") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(1));
  const std::string Body(200000, 'x');
  const std::string Next = "POST /b HTTP/1.1\r\nHost: h\r\nId: 2\r\n"
                           "Content-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body;
  boost::asio::async_write(Caller.Socket, boost::asio::buffer(Next),
                           [](const auto &, std::size_t) {});
  runUntil(
      Fixture.Loop, [] { return false; }, Milliseconds(50));
  CHECK(Fixture.Server.receivedBytes() < 32 * 1024);
  Fixture.answer(0, "first");
  REQUIRE(Fixture.awaitRequests(2));
  CHECK(Fixture.Requests[1].Body == Body);
}

TEST_CASE("Callers: a disconnection before the response is reported") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(1));
  SECTION("close") { Caller.Socket.close(); }
  SECTION("half close") {
    Caller.Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }
  SECTION("reset") {
    Caller.Socket.set_option(boost::asio::socket_base::linger(true, 0));
    Caller.Socket.close();
  }
  REQUIRE(
      runUntil(Fixture.Loop, [&] { return !Fixture.Disconnected.empty(); }));
  CHECK(Fixture.Disconnected[0] == Fixture.Ids[0]);
  // A late response must be ignored.
  Fixture.answer(0, "late");
}

TEST_CASE("Callers: an aborted response lacks the last chunk") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(1));
  TargetAnswerHead Head;
  Head.Status = 200;
  Fixture.Server.beginResponse(Fixture.Ids[0], Head, std::nullopt);
  Fixture.Server.sendBody(Fixture.Ids[0], "piece");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("piece"); }));
  Fixture.Server.abort(Fixture.Ids[0]);
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.IsClosed; }));
  CHECK(Caller.has("Transfer-Encoding: chunked"));
  CHECK_FALSE(Caller.has("0\r\n\r\n"));
}

TEST_CASE("Callers: idle connections are kept, and closed when draining") {
  CallerFixture Fixture;
  CallerLimits Limits;
  Limits.IdleTimeout = Milliseconds(1500);
  Fixture.Server.setLimits(Limits);
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(1));
  Fixture.answer(0, "first");
  // 1200 ms is four fifths of the idle time-out.
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return Caller.IsClosed; }, Milliseconds(1200)));
  Fixture.Server.setDraining(true);
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(2));
  Fixture.answer(1, "second");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.IsClosed; }));
  CHECK(Caller.has("second"));
  CHECK(Caller.has("Connection: close"));
}

TEST_CASE("Callers: bytes that a caller does not read are counted until they "
          "are sent") {
  constexpr std::size_t BodyBytes = 32 * 1024 * 1024;
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.Socket.connect(boost::asio::ip::tcp::endpoint(
      boost::asio::ip::address_v4::loopback(), Fixture.Port));
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(1));
  const RequestId Id = Fixture.Ids[0];
  TargetAnswerHead Head;
  Head.Status = 200;
  Fixture.Server.beginResponse(Id, Head, BodyBytes);
  Fixture.Server.sendBody(Id, std::string(BodyBytes, 'x'));
  CHECK(Fixture.Server.queuedBytes(Id) >= BodyBytes);
  CHECK_FALSE(runUntil(
      Fixture.Loop, [&] { return Fixture.Server.queuedBytes(Id) == 0; },
      Milliseconds(200)));
  Caller.read();
  CHECK(runUntil(Fixture.Loop,
                 [&] { return Fixture.Server.queuedBytes(Id) == 0; }));
  CHECK(Fixture.WritableCount > 0);
  // Guards against an open connection that keeps the memory of what it has
  // sent.
  CHECK(Fixture.Buffers.bytes(BufferKind::QueuedAnswers) < 64);
}

TEST_CASE("Callers: buffered bytes are released with their connection") {
  // Guards against a budget that is used up by connections that are gone.
  CallerFixture Fixture;
  {
    RawPeer Caller(Fixture.Loop);
    Caller.connect(Fixture.Port);
    Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
                "Content-Length: 4000\r\n\r\n" +
                std::string(3000, 'x'));
    REQUIRE(runUntil(Fixture.Loop, [&] {
      return Fixture.Buffers.bytes(BufferKind::RequestBodies) >= 3000;
    }));
    Caller.send(std::string(1000, 'x'));
    REQUIRE(Fixture.awaitRequests(1));
    CHECK(Fixture.Buffers.bytes(BufferKind::RequestBodies) >= 4000);
    Fixture.answer(0, std::string(8 * 1024 * 1024, 'y'));
    CHECK(Fixture.Buffers.bytes(BufferKind::QueuedAnswers) >= 8 * 1024 * 1024);
    CHECK(Fixture.Buffers.bytes(BufferKind::RequestBodies) < 4000);
    boost::system::error_code Ignored;
    Caller.Socket.close(Ignored);
  }
  CHECK(runUntil(Fixture.Loop, [&] { return Fixture.Buffers.total() == 0; }));
}

TEST_CASE("Callers: while the budget is full, arriving bodies are refused") {
  // Guards against bodies that grow while nothing can be ended, and against
  // the rest of a refused body being read as another request.
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Fixture.Buffers.resize(BufferKind::Histories, 0, BudgetBytes);
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
              "Content-Length: 100\r\n\r\n");
  Caller.send(Plain);
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("503"); }));
  Fixture.Buffers.resize(BufferKind::Histories, BudgetBytes, 0);
  Caller.send(Plain);
  CHECK(runUntil(Fixture.Loop, [&] { return Caller.IsClosed; }));
  CHECK(Fixture.Requests.empty());
}

TEST_CASE("Callers: at a full budget the oldest unread response is reset") {
  // Guards against ending a caller that reads, and against an end that looks
  // like that of a complete response.
  CallerFixture Fixture;
  const std::string Large(16 * 1024 * 1024, 'x');
  boost::asio::ip::tcp::socket Slow(Fixture.Loop.context());
  Slow.connect({boost::asio::ip::address_v4::loopback(), Fixture.Port});
  boost::asio::write(Slow, boost::asio::buffer(Plain));
  REQUIRE(Fixture.awaitRequests(1));
  TargetAnswerHead Head;
  Head.Status = 200;
  Fixture.Server.beginResponse(Fixture.Ids[0], Head, std::nullopt);
  Fixture.Server.sendBody(Fixture.Ids[0], Large);
  CHECK(Fixture.Server.endOldestUnread().empty());
  RawPeer Other(Fixture.Loop);
  Other.connect(Fixture.Port);
  Other.send("GET /b HTTP/1.1\r\nHost: h\r\nId: 2\r\n\r\n");
  REQUIRE(Fixture.awaitRequests(2));
  Fixture.Buffers.resize(BufferKind::Histories, 0, BudgetBytes - 1024);
  const auto Ended = Fixture.Server.endOldestUnread();
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Attempt == CallerAttemptId("1"));
  REQUIRE(Fixture.Disconnected.size() == 1);
  CHECK(Fixture.Disconnected[0] == Fixture.Ids[0]);
  Fixture.Buffers.resize(BufferKind::Histories, BudgetBytes - 1024, 0);
  Fixture.answer(1, "answer");
  CHECK(runUntil(Fixture.Loop, [&] { return Other.has("answer"); }));
  std::string Received;
  boost::system::error_code Error;
  boost::asio::read(Slow, boost::asio::dynamic_buffer(Received), Error);
  CHECK(Error == boost::asio::error::connection_reset);
}

TEST_CASE("Callers: an unread response that times out is visibly incomplete") {
  // Guards against a body that is delimited by the end of the connection, ends
  // early because its caller does not read, and seems complete.
  CallerFixture Fixture;
  CallerLimits Limits;
  Limits.IdleTimeout = Milliseconds(300);
  Fixture.Server.setLimits(Limits);
  boost::asio::ip::tcp::socket Slow(Fixture.Loop.context());
  Slow.connect({boost::asio::ip::address_v4::loopback(), Fixture.Port});
  boost::asio::write(Slow, boost::asio::buffer(std::string(
                               "GET /a HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\n")));
  REQUIRE(Fixture.awaitRequests(1));
  TargetAnswerHead Head;
  Head.Status = 200;
  Fixture.Server.beginResponse(Fixture.Ids[0], Head, std::nullopt);
  Fixture.Server.sendBody(Fixture.Ids[0], std::string(16 * 1024 * 1024, 'x'));
  Fixture.Server.finishResponse(Fixture.Ids[0]);
  REQUIRE(Fixture.Buffers.bytes(BufferKind::QueuedAnswers) > 0);
  REQUIRE(runUntil(Fixture.Loop, [&] { return Fixture.Buffers.total() == 0; }));
  std::string Received;
  boost::system::error_code Error;
  boost::asio::read(Slow, boost::asio::dynamic_buffer(Received), Error);
  CHECK(Error == boost::asio::error::connection_reset);
}

TEST_CASE("Callers: an unfinished response without a length is reset") {
  // Guards against a caller that takes the end of the relay's process, or of
  // a call, for the end of a complete body.
  auto Fixture = std::make_unique<CallerFixture>();
  EventLoop Loop;
  boost::asio::ip::tcp::socket Caller(Loop.context());
  Caller.connect({boost::asio::ip::address_v4::loopback(), Fixture->Port});
  boost::asio::write(
      Caller, boost::asio::buffer(
                  std::string("GET /a HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\n")));
  REQUIRE(Fixture->awaitRequests(1));
  TargetAnswerHead Head;
  Head.Status = 200;
  Fixture->Server.beginResponse(Fixture->Ids[0], Head, std::nullopt);
  Fixture->Server.sendBody(Fixture->Ids[0], "piece");
  CHECK_FALSE(runUntil(
      Fixture->Loop, [] { return false; }, Milliseconds(50)));
  SECTION("it is aborted") { Fixture->Server.abort(Fixture->Ids[0]); }
  SECTION("the caller half-closes") {
    Caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    REQUIRE(runUntil(Fixture->Loop,
                     [&] { return !Fixture->Disconnected.empty(); }));
  }
  SECTION("the process ends") { Fixture.reset(); }
  std::string Received;
  boost::system::error_code Error;
  boost::asio::read(Caller, boost::asio::dynamic_buffer(Received), Error);
  CHECK(Error == boost::asio::error::connection_reset);
}

TEST_CASE("Callers: a finished response without a length ends with a close") {
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  Caller.send("GET /a HTTP/1.0\r\nHost: h\r\nId: 1\r\n\r\n");
  REQUIRE(Fixture.awaitRequests(1));
  TargetAnswerHead Head;
  Head.Status = 200;
  Fixture.Server.beginResponse(Fixture.Ids[0], Head, std::nullopt);
  Fixture.Server.sendBody(Fixture.Ids[0], "piece");
  Fixture.Server.finishResponse(Fixture.Ids[0]);
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.IsClosed; }));
  CHECK(Caller.has("\r\n\r\npiece"));
  CHECK(Caller.End == boost::asio::error::eof);
}

TEST_CASE("Callers: a response that has no body is sent without one") {
  // Guards against bytes that the caller takes for the next response.
  CallerFixture Fixture;
  RawPeer Caller(Fixture.Loop);
  Caller.connect(Fixture.Port);
  const bool IsHead = GENERATE(true, false);
  TargetAnswerHead Head;
  Head.Status = IsHead ? 200 : GENERATE(204, 304);
  const auto BodyBytes =
      GENERATE(std::optional<std::size_t>(), std::optional<std::size_t>(0));
  Caller.send(std::string(IsHead ? "HEAD" : "GET") +
              " /a HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n");
  REQUIRE(Fixture.awaitRequests(1));
  Fixture.Server.beginResponse(Fixture.Ids[0], Head, BodyBytes);
  Fixture.Server.finishResponse(Fixture.Ids[0]);
  Caller.send(Plain);
  REQUIRE(Fixture.awaitRequests(2));
  Fixture.answer(1, "next");
  REQUIRE(runUntil(Fixture.Loop, [&] { return Caller.has("next"); }));
  CHECK_FALSE(Caller.has("Transfer-Encoding"));
  CHECK_FALSE(Caller.has("Content-Length: 0"));
  CHECK_FALSE(Caller.has("0\r\n\r\n"));
}
