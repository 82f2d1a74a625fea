/// \file
/// Targets that send bytes without end, in a head or a body, until the relay
/// closes the connection.
#include "PlatformSite.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace tanagerlanding::test;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

namespace {

/// Time that callers give, and the time after it by which the connection to the
/// target has to be closed.
constexpr milliseconds CallerTime{1500};
constexpr milliseconds CloseMargin{500};
/// A relay has 110 MB on the smallest site; this leaves room for several such
/// targets at once.
constexpr long MaxGrowthKilobytes = 16 * 1024;
/// What the smallest site gives a relay, for targets that pour in all ways at
/// once.
constexpr unsigned RelayMemoryMegabytes = 110;
constexpr unsigned CallersPerWay = 6;

/// A target that pours on requests whose path names how, and answers others.
class PouringTarget {
public:
  explicit PouringTarget(StoreStandin &Store)
      : Server([this](const auto &Call, auto &Caller) {
          return this->handle(Call, Caller);
        }) {
    Store.put("servers/p-1",
              R"({"service":"app","address":"127.0.0.1:)" +
                  std::to_string(this->Server.port()) +
                  R"(","zone":"z","version":"v1","slots":64,"state":"ready",)"
                  R"("coldRemainingMs":0,"sequence":1})");
  }

  /// Waits until no connection is poured into any more.
  bool awaitClosed(milliseconds Limit) const {
    const auto End = Clock::now() + Limit;
    while (this->Pouring > 0 && Clock::now() < End)
      std::this_thread::sleep_for(milliseconds(10));
    return this->Pouring == 0;
  }

  std::atomic<unsigned> Poured{0};

private:
  bool handle(const BlockingServer::Request &Call,
              BlockingServer::Socket &Caller) {
    const std::string Path(Call.target());
    const std::string Id = "Request-Id: " + std::string(Call["Request-Id"]);
    const std::string Signed = Id + "\r\nResponse-Signature: s\r\n";
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Events = "Content-Type: text/event-stream\r\n\r\n";
    if (Path == "/plain/head")
      return this->pour(Caller, Ok + "X: ", "x");
    if (Path == "/plain/interim")
      return this->pour(Caller, "", "HTTP/1.1 102 Processing\r\n\r\n");
    if (Path == "/plain/foreign")
      return this->pour(Caller, Ok + "Request-Id: other\r\n\r\n", "x");
    if (Path == "/plain/unsigned")
      return this->pour(Caller, Ok + Id + "\r\n\r\n", "x");
    if (Path == "/plain/not-run")
      return this->pour(
          Caller, "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + Id + "\r\n\r\n",
          "x");
    if (Path == "/plain/chunk")
      return this->pour(
          Caller, Ok + Signed + "Transfer-Encoding: chunked\r\n\r\n5;", "x");
    const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
    if (Path == "/plain/head-lines")
      return this->pour(Caller, Ok, "X: y\r\n");
    if (Path == "/plain/trailer")
      return this->pour(Caller, Ok + Signed + Chunked + "0\r\nX: ", "x");
    if (Path == "/plain/trailer-lines")
      return this->pour(Caller, Ok + Signed + Chunked + "0\r\n", "X: y\r\n");
    if (Path == "/plain/extensions")
      return this->pour(Caller, Ok + Signed + Chunked,
                        "1;" + std::string(1000, 'x') + "\r\na\r\n");
    if (Path == "/plain/signed")
      return this->pour(Caller, Ok + Signed + "\r\n", "x");
    if (Path == "/stream/event")
      return this->pour(Caller, Ok + Signed + Events + "data: ", "x");
    if (Path == "/turn/output")
      return this->pour(Caller, Ok + Signed + Events, "id: 1\ndata: x\n\n");
    boost::system::error_code Error;
    boost::asio::write(
        Caller,
        boost::asio::buffer(Ok + Signed + "Content-Length: 2\r\n\r\nok"),
        Error);
    return !Error;
  }

  /// Sends Start and then Piece without end, until the connection is closed.
  bool pour(BlockingServer::Socket &Caller, const std::string &Start,
            const std::string &Piece) {
    ++this->Poured;
    ++this->Pouring;
    std::string Block;
    while (Block.size() < 65536)
      Block += Piece;
    boost::system::error_code Error;
    boost::asio::write(Caller, boost::asio::buffer(Start), Error);
    while (!Error)
      boost::asio::write(Caller, boost::asio::buffer(Block), Error);
    --this->Pouring;
    return false;
  }

  std::atomic<unsigned> Pouring{0};
  BlockingServer Server;
};

/// A relay in front of one target that pours.
class PouringSite {
public:
  explicit PouringSite(unsigned MemoryMegabytes = 0)
      : Site(1, false, MemoryMegabytes), Target(this->Site.Store) {
    this->Site.Store.remove("servers/i-1");
    this->Site.Store.remove("servers/i-2");
    this->Site.awaitTargets(0, 1);
    REQUIRE(this->isOtherServed());
    this->PeakBefore = this->peakKilobytes();
  }

  Response ask(const std::string &Path) {
    Request Call;
    Call.Method = "POST";
    Call.Url =
        "http://127.0.0.1:" + std::to_string(this->Site.CallerPorts[0]) + Path;
    Call.Headers = {std::string("Host: ") + PlatformSite::Host,
                    "Request-Id: r" + std::to_string(++this->LastRequest),
                    "Time-Remaining: " + std::to_string(CallerTime.count())};
    Call.Body = "input";
    return send(Call);
  }

  bool isOtherServed() { return this->ask("/once/x").Status == 200; }

  /// Returns the relay's largest use of memory.
  long peakKilobytes() const {
    return tanagerlanding::test::peakKilobytes(this->Site.Relays[0].pid());
  }

  /// Returns by how much the relay's largest use of memory has grown.
  long growthKilobytes() { return this->peakKilobytes() - this->PeakBefore; }

  PlatformSite Site;
  PouringTarget Target;

private:
  std::atomic<unsigned> LastRequest{0};
  long PeakBefore = 0;
};

/// Lets the target pour in one way, and checks what becomes of the request and
/// of others.
Response checkPouring(const std::string &Path) {
  PouringSite Deployment;
  auto Caller =
      std::async(std::launch::async, [&] { return Deployment.ask(Path); });
  REQUIRE(waitFor([&] { return Deployment.Target.Poured > 0; }));
  CHECK(Deployment.isOtherServed());
  CHECK(Deployment.Target.awaitClosed(CallerTime + CloseMargin));
  Response Result = Caller.get();
  CHECK(Deployment.isOtherServed());
  CHECK(Deployment.growthKilobytes() < MaxGrowthKilobytes);
  return Result;
}

} // namespace

TEST_CASE("A target that pours bytes that are no answer holds up nothing and "
          "fails its request") {
  const std::string Path = GENERATE(as<std::string>(), "head", "head-lines",
                                    "interim", "foreign", "unsigned");
  INFO(Path);
  const Response Result = checkPouring("/plain/" + Path);
  CHECK(Result.Status == 502);
  CHECK(Result.Body.size() < 1000);
}

TEST_CASE("A target that pours after it refused a request has not run it") {
  CHECK(checkPouring("/plain/not-run").Status == 503);
}

TEST_CASE("A target that pours between the parts of a body fails its request") {
  const std::string Path = GENERATE(as<std::string>(), "chunk", "extensions",
                                    "trailer", "trailer-lines");
  INFO(Path);
  CHECK(checkPouring("/plain/" + Path).Status != 200);
}

TEST_CASE("Targets that pour in all ways at once do not end the requests of "
          "other callers") {
  PouringSite Deployment(RelayMemoryMegabytes);
  std::vector<std::future<Response>> Callers;
  for (const char *Path :
       {"/plain/head", "/plain/head-lines", "/plain/interim", "/plain/foreign",
        "/plain/unsigned", "/plain/not-run", "/plain/chunk",
        "/plain/extensions", "/plain/trailer", "/plain/trailer-lines",
        "/plain/signed", "/stream/event", "/turn/output"}) {
    for (unsigned Caller = 0; Caller < CallersPerWay; ++Caller)
      Callers.push_back(std::async(std::launch::async,
                                   [&, Path] { return Deployment.ask(Path); }));
  }
  REQUIRE(waitFor([&] { return Deployment.Target.Poured > CallersPerWay; }));
  CHECK(Deployment.isOtherServed());
  for (std::future<Response> &Each : Callers)
    CHECK(Each.get().Status != 200);
  CHECK(Deployment.Target.awaitClosed(CallerTime + CloseMargin));
  CHECK(Deployment.isOtherServed());
  CHECK(Deployment.peakKilobytes() < RelayMemoryMegabytes * 1024L);
}

TEST_CASE("A target that pours into one event fails its stream") {
  CHECK(checkPouring("/stream/event").Status == 502);
}

TEST_CASE("A target that pours events does not fill the relay's memory") {
  CHECK(checkPouring("/turn/output").Status != 200);
}

TEST_CASE("A target that pours into a signed answer does not fill the relay's "
          "memory") {
  SECTION("the caller reads") {
    CHECK(checkPouring("/plain/signed").Status == 0);
  }
  SECTION("the caller does not read") {
    PouringSite Deployment;
    boost::asio::io_context Context;
    boost::asio::ip::tcp::socket Caller(Context);
    Caller.connect({boost::asio::ip::address_v4::loopback(),
                    Deployment.Site.CallerPorts[0]});
    boost::asio::write(
        Caller, boost::asio::buffer(
                    std::string("POST /plain/signed HTTP/1.1\r\nHost: ") +
                    PlatformSite::Host +
                    "\r\nRequest-Id: slow\r\nTime-Remaining: 1500\r\n"
                    "Content-Length: 2\r\n\r\nin"));
    REQUIRE(waitFor([&] { return Deployment.Target.Poured > 0; }));
    CHECK(Deployment.isOtherServed());
    CHECK(Deployment.Target.awaitClosed(CallerTime + CloseMargin));
    CHECK(Deployment.growthKilobytes() < MaxGrowthKilobytes);
  }
}
