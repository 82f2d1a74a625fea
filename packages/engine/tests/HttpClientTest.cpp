/// Tests of HttpClient against raw sockets that act as servers.
#include "tanagerlanding/engine/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace tanagerlanding;
using boost::asio::ip::tcp;

namespace {

const std::string StrayRefusal =
    "HTTP/1.1 503 No\r\nContent-Length: 5\r\n\r\nstray";

/// A client, and a server whose connections are used without a loop.
class HttpFixture {
public:
  HttpFixture()
      : Acceptor(ServerContext, {boost::asio::ip::address_v4::loopback(), 0}),
        Client(Loop) {}

  void start(const std::string &Path) {
    HttpRequest Request;
    Request.Url = "http://127.0.0.1:" +
                  std::to_string(this->Acceptor.local_endpoint().port()) + Path;
    Request.Timeout = Milliseconds(2000);
    this->Outcome.reset();
    this->Client.start(Request, {},
                       [this](const HttpOutcome &Ended) { Outcome = Ended; });
  }

  /// Reads a request and answers it with Bytes.
  static void answerWith(tcp::socket &Peer, const std::string &Bytes) {
    std::string Head;
    boost::asio::read_until(Peer, boost::asio::dynamic_buffer(Head),
                            "\r\n\r\n");
    boost::asio::write(Peer, boost::asio::buffer(Bytes));
  }

  /// Reads a request and answers it with Body and the bytes of Behind.
  static void answer(tcp::socket &Peer, const std::string &Body,
                     const std::string &Behind = {}) {
    answerWith(Peer, "HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(Body.size()) + "\r\n\r\n" + Body +
                         Behind);
  }

  /// Waits for the end of the request; returns its status and body.
  std::string await() {
    const auto Deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!this->Outcome && std::chrono::steady_clock::now() < Deadline) {
      this->Loop.context().restart();
      this->Loop.context().run_one_for(std::chrono::milliseconds(5));
    }
    REQUIRE(this->Outcome);
    return std::to_string(this->Outcome->Status) + " " + this->Outcome->Body;
  }

  boost::asio::io_context ServerContext;
  EventLoop Loop;
  tcp::acceptor Acceptor;
  HttpClient Client;
  std::optional<HttpOutcome> Outcome;
};

} // namespace

TEST_CASE("HttpClient: a connection is kept for the next request") {
  HttpFixture Fixture;
  Fixture.start("/1");
  tcp::socket Peer = Fixture.Acceptor.accept();
  HttpFixture::answer(Peer, "one");
  CHECK(Fixture.await() == "200 one");
  Fixture.start("/2");
  HttpFixture::answer(Peer, "two");
  CHECK(Fixture.await() == "200 two");
}

TEST_CASE("HttpClient: an answer that comes without a request isn't taken for "
          "the next request's") {
  HttpFixture Fixture;
  Fixture.start("/1");
  tcp::socket Peer = Fixture.Acceptor.accept();
  SECTION("directly behind an answer") {
    HttpFixture::answer(Peer, "one", StrayRefusal);
    CHECK(Fixture.await() == "200 one");
  }
  SECTION("on an idle connection") {
    HttpFixture::answer(Peer, "one");
    CHECK(Fixture.await() == "200 one");
    boost::asio::write(Peer, boost::asio::buffer(StrayRefusal));
  }
  Fixture.start("/2");
  Fixture.Acceptor.non_blocking(true);
  tcp::socket Next(Fixture.ServerContext);
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(1);
  boost::system::error_code Error = boost::asio::error::would_block;
  while (Error && std::chrono::steady_clock::now() < Deadline)
    Fixture.Acceptor.accept(Next, Error);
  REQUIRE_FALSE(Error);
  HttpFixture::answer(Next, "two");
  CHECK(Fixture.await() == "200 two");
}

// Guards against answers that are empty and look whole.
TEST_CASE("HttpClient: a response that is cut off anywhere is no answer") {
  const auto Whole = GENERATE(
      as<std::string>(),
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\nX-Long: 1\r\n\r\nok",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n"
      "Content-Length: 2\r\n\r\nok");
  const bool IsKept = GENERATE(false, true);
  // libcurl repeats a request whose kept connection is reset.
  const bool IsReset = !IsKept && GENERATE(false, true);
  CAPTURE(Whole, IsReset, IsKept);
  const std::size_t Step = IsKept ? 9 : 1;
  // Without the very last byte, the body is whole nevertheless.
  for (std::size_t Length = 1; Length + 1 < Whole.size(); Length += Step) {
    HttpFixture Fixture;
    Fixture.start("/1");
    tcp::socket Peer = Fixture.Acceptor.accept();
    if (IsKept) {
      HttpFixture::answer(Peer, "one");
      REQUIRE(Fixture.await() == "200 one");
      Fixture.start("/2");
    }
    HttpFixture::answerWith(Peer, Whole.substr(0, Length));
    if (IsReset)
      Peer.set_option(boost::asio::socket_base::linger(true, 0));
    Peer.close();
    Fixture.await();
    CAPTURE(Whole.substr(0, Length));
    CHECK(Fixture.Outcome->Ended == HttpOutcome::Kind::Broken);
  }
}

// Guards against an impossible status that is passed on as an answer.
TEST_CASE("HttpClient: a response with an impossible status is no answer") {
  const auto Status =
      GENERATE(as<std::string>(), "000", "001", "099", "101", "600", "999",
               "1000", "20", "2000", "2O0", "-1", "", "+20");
  const auto Rest = GENERATE(
      as<std::string>(), "\r\n\r\n", " X\r\nContent-Length: 2\r\n\r\nok",
      " X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  const bool IsKept = GENERATE(false, true);
  CAPTURE(Status, Rest, IsKept);
  HttpFixture Fixture;
  Fixture.start("/1");
  tcp::socket Peer = Fixture.Acceptor.accept();
  if (IsKept) {
    HttpFixture::answer(Peer, "one");
    REQUIRE(Fixture.await() == "200 one");
    Fixture.start("/2");
  }
  HttpFixture::answerWith(Peer, "HTTP/1.1 " + Status + Rest);
  Peer.close();
  CHECK(Fixture.await() == "0 ");
  CHECK(Fixture.Outcome->Ended == HttpOutcome::Kind::Broken);
}

TEST_CASE("HttpClient: an interim response precedes the answer") {
  const auto Status = GENERATE(as<std::string>(), "100", "102", "103", "199");
  HttpFixture Fixture;
  Fixture.start("/1");
  tcp::socket Peer = Fixture.Acceptor.accept();
  HttpFixture::answer(Peer, "one");
  REQUIRE(Fixture.await() == "200 one");
  Fixture.start("/2");
  HttpFixture::answerWith(Peer, "HTTP/1.1 " + Status +
                                    " X\r\n\r\nHTTP/1.1 204 X\r\n\r\n");
  CHECK(Fixture.await() == "204 ");
}

TEST_CASE(
    "HttpClient: a response without a length is whole once its connection "
    "is closed behind the head") {
  HttpFixture Fixture;
  Fixture.start("/1");
  tcp::socket Peer = Fixture.Acceptor.accept();
  const std::string Head = "HTTP/1.1 200 OK\r\nX: 1\r\n";
  SECTION("with the empty line") {
    HttpFixture::answerWith(Peer, Head + "\r\n");
    Peer.close();
    CHECK(Fixture.await() == "200 ");
    CHECK(Fixture.Outcome->Ended == HttpOutcome::Kind::Answered);
  }
  SECTION("without it") {
    HttpFixture::answerWith(Peer, Head);
    Peer.close();
    CHECK(Fixture.await() == "0 ");
    CHECK(Fixture.Outcome->Ended == HttpOutcome::Kind::Broken);
  }
}

TEST_CASE("HttpClient: a chunked response with a trailer is an answer") {
  HttpFixture Fixture;
  Fixture.start("/1");
  tcp::socket Peer = Fixture.Acceptor.accept();
  HttpFixture::answerWith(Peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                                "\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n");
  CHECK(Fixture.await() == "200 ok");
  CHECK(Fixture.Outcome->Ended == HttpOutcome::Kind::Answered);
}
