/// \file
/// Clients that don't keep to the protocol or its limits. Guards against a
/// relay that runs out of memory or descriptors, or stops serving ordinary
/// callers.
#include "ClientCrowd.h"
#include "PlatformSite.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

using namespace tanagerlanding::test;
using boost::asio::ip::tcp;

namespace {

namespace http = boost::beast::http;

/// What the relay's settings state; no process may exceed them.
constexpr unsigned MemoryMegabytes = 64;
constexpr unsigned Descriptors = 1024;
constexpr unsigned ManyDescriptors = 4096;
/// Memory of a storage host; the replicas' settings state none.
constexpr unsigned LedgerMegabytes = 120;
constexpr std::size_t HeaderBytes = 8192;
constexpr std::size_t LargeHeaderBytes = 60000;
constexpr std::size_t BodyBytes = 1000000;
/// Keeps the relay from ending the crowd only because it is idle.
constexpr unsigned TimeoutMillis = 120000;
constexpr std::size_t LargeChunkBytes = 65536;
constexpr std::size_t MaxTargetBodyBytes = 256 * 1024 * 1024;
constexpr const char *LastChunk = "0\r\n\r\n";

/// A target that answers all connections from one thread. Requests whose path
/// contains "hold" are answered once release() is called.
class CrowdTarget {
public:
  explicit CrowdTarget(StoreStandin &Store)
      : Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}) {
    Store.put("servers/crowd-1",
              R"({"service":"app","address":"127.0.0.1:)" +
                  std::to_string(this->Acceptor.local_endpoint().port()) +
                  R"(","zone":"z","version":"v1","slots":10000,)"
                  R"("state":"ready","coldRemainingMs":0,"sequence":1})");
    this->accept();
    this->Thread = std::thread([this] { this->Context.run(); });
  }
  ~CrowdTarget() {
    this->Context.stop();
    this->Thread.join();
  }
  CrowdTarget(const CrowdTarget &) = delete;
  CrowdTarget &operator=(const CrowdTarget &) = delete;

  void release() {
    boost::asio::post(this->Context, [this] {
      this->IsReleased = true;
      const auto Waiting = std::move(this->Held);
      for (const auto &Each : Waiting)
        this->answer(Each);
    });
  }

  using Request = http::request<http::string_body>;
  /// Returns the last request whose path ends with "keep".
  Request lastKept() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Kept;
  }

private:
  struct Connection {
    explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    boost::beast::flat_buffer Input;
    std::unique_ptr<http::request_parser<http::string_body>> Parser;
    std::string Answer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    this->Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
      if (Error)
        return;
      this->read(std::make_shared<Connection>(std::move(Socket)));
      this->accept();
    });
  }

  void read(const ConnectionPtr &Relay) {
    Relay->Parser = std::make_unique<http::request_parser<http::string_body>>();
    Relay->Parser->body_limit(MaxTargetBodyBytes);
    http::async_read(Relay->Socket, Relay->Input, *Relay->Parser,
                     [this, Relay](const auto &Error, std::size_t) {
                       if (!Error)
                         this->handle(Relay);
                     });
  }

  void handle(const ConnectionPtr &Relay) {
    const std::string Path(Relay->Parser->get().target());
    if (Path.find("keep") != std::string::npos) {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Kept = Relay->Parser->get();
    }
    if (Path.find("hold") != std::string::npos && !this->IsReleased)
      this->Held.push_back(Relay);
    else
      this->answer(Relay);
  }

  void answer(const ConnectionPtr &Relay) {
    const Request &Call = Relay->Parser->get();
    const bool IsTurn = Call.target().starts_with("/turn/");
    const std::string Body =
        IsTurn ? "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" : "ok";
    Relay->Answer =
        "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Call["Request-Id"]) +
        "\r\nResponse-Signature: s\r\nContent-Type: " +
        (IsTurn ? "text/event-stream" : "text/plain") +
        "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
        Body;
    boost::asio::async_write(Relay->Socket, boost::asio::buffer(Relay->Answer),
                             [this, Relay](const auto &Error, std::size_t) {
                               if (!Error)
                                 this->read(Relay);
                             });
  }

  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::mutex Lock;
  Request Kept;
  std::vector<ConnectionPtr> Held;
  bool IsReleased = false;
  std::thread Thread;
};

PlatformSiteOptions siteOptions() {
  PlatformSiteOptions Options;
  Options.RelayMemoryMegabytes = MemoryMegabytes;
  Options.RelayDescriptors = Descriptors;
  Options.Limits = {HeaderBytes, BodyBytes, TimeoutMillis, TimeoutMillis};
  return Options;
}

/// A relay within stated limits, in front of one target.
class CrowdSite {
public:
  explicit CrowdSite(const PlatformSiteOptions &Options = siteOptions())
      : Site(Options), Target(Site.Store) {
    this->Site.Store.remove("servers/i-1");
    this->Site.Store.remove("servers/i-2");
    this->Site.awaitTargets(0, 1);
    REQUIRE(this->isServed());
  }

  pid_t pid() const { return this->Site.Relays[0].pid(); }
  std::uint16_t port() const { return this->Site.CallerPorts[0]; }

  /// Returns the start of a request with a chunked body.
  std::string chunkedHead(const std::string &Path = "/once/x") {
    return this->head(Path) + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /// Returns a request's head without the empty line.
  std::string head(const std::string &Path, const char *Method = "POST") {
    return std::string(Method) + " " + Path +
           " HTTP/1.1\r\nHost: " + PlatformSite::Host +
           "\r\nRequest-Id: crowd-" + std::to_string(++this->LastRequest) +
           "\r\nTime-Remaining: 60000\r\n";
  }

  /// Returns whether an ordinary caller is served, if need be after refusals.
  bool isServed() {
    return waitFor([&] {
      const std::string Id = "ordinary-" + std::to_string(++this->LastRequest);
      return this->Site.sendCall("/once/ordinary", Id, "input", 0).Status ==
             200;
    });
  }

  /// Checks that the relay lives within its limits and serves others.
  void checkRelay() {
    this->checkLimits();
    CHECK(this->isServed());
    this->checkLimits();
  }

  void checkLimits() {
    WARN("peak in KiB: " << peakKilobytes(this->pid()));
    const pid_t Relay = this->Site.Relays[0].pid();
    const long Open = openDescriptors(Relay);
    const long Peak = peakKilobytes(Relay);
    CAPTURE(Open, Peak);
    CHECK(0 < Peak);
    CHECK(Open <= static_cast<long>(this->Site.Options.RelayDescriptors));
#ifdef __SANITIZE_ADDRESS__
    WARN("memory is not checked: it includes the sanitizer's own");
#else
    CHECK(Peak <= static_cast<long>(MemoryMegabytes) * 1024);
#endif
  }

  void checkLedgers() {
    for (const ChildProcess &Each : this->Site.Ledgers) {
      const long Peak = peakKilobytes(Each.pid());
      CAPTURE(Peak);
      CHECK(0 < Peak);
#ifndef __SANITIZE_ADDRESS__
      CHECK(Peak <= static_cast<long>(LedgerMegabytes) * 1024);
#endif
    }
  }

  PlatformSite Site;
  CrowdTarget Target;

private:
  std::atomic<unsigned> LastRequest{0};
};

/// Lets crowds send at the same time, and checks the relay while they are
/// connected and after they have left.
void checkCrowd(CrowdSite &Deployment,
                const std::vector<std::pair<ClientScript, unsigned>> &Scripts) {
  const std::string Statuses =
      playCrowd(Deployment.port(), Scripts, [&] { Deployment.checkRelay(); });
  WARN("answers of the crowd: " << Statuses);
}

/// Returns a body of the largest size in chunks of one size, without its last
/// byte.
ClientScript shortOfEnd(const std::string &Head, std::size_t ChunkBytes) {
  return chunkedBody(Head, ChunkBytes, BodyBytes - 1);
}

} // namespace

TEST_CASE("Trailers without end", "[trailers]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.chunkedHead() + chunk("x") + "0\r\n";
  checkCrowd(Deployment, {{endless(Head, "X-Y: z\r\n"), 8},
                          {endless(Head + "X-Y: ", "z"), 8}});
}

TEST_CASE("Chunk sizes and extensions without end", "[framing]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.chunkedHead();
  checkCrowd(Deployment, {{endless(Head, "0"), 8},
                          {endless(Head + "1;", "x"), 8},
                          {endless(Head + "1;x=\"", "y"), 4}});
}

TEST_CASE("Many bodies short of their end in large chunks", "[large-chunks]") {
  CrowdSite Deployment;
  checkCrowd(Deployment,
             {{shortOfEnd(Deployment.chunkedHead(), LargeChunkBytes), 60},
              {shortOfEnd(Deployment.chunkedHead(), BodyBytes - 1), 60}});
}

TEST_CASE("Many bodies short of their end in small chunks", "[small-chunks]") {
  CrowdSite Deployment;
  checkCrowd(Deployment, {{shortOfEnd(Deployment.chunkedHead(), 1), 60},
                          {shortOfEnd(Deployment.chunkedHead(), 7), 60}});
}

TEST_CASE("Many bodies of a stated length short of their end",
          "[stated-lengths]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.head("/once/x") +
                           "Content-Length: " + std::to_string(BodyBytes) +
                           "\r\n\r\n";
  checkCrowd(Deployment,
             {{{Head, std::string(9999, 'x'), BodyBytes / 10000, ""}, 120}});
}

TEST_CASE("Bodies over the limit that are announced", "[announced]") {
  CrowdSite Deployment;
  const std::string Length = "Content-Length: 67108864\r\n";
  checkCrowd(
      Deployment,
      {{endless(Deployment.head("/once/x") + Length + "\r\n", "x"), 20},
       {endless(Deployment.head("/once/x") + Length +
                    "Expect: 100-continue\r\n\r\n",
                "x"),
        20},
       {endless(Deployment.chunkedHead() + "4000000\r\n", "x"), 20},
       {endless(Deployment.chunkedHead() + "fffffffffffffff0\r\n", "x"), 20}});
}

TEST_CASE("Bodies over the limit that are just sent", "[unannounced]") {
  CrowdSite Deployment;
  checkCrowd(
      Deployment,
      {{endless(Deployment.chunkedHead(), chunk(std::string(60000, 'x'))), 30},
       {endless(Deployment.chunkedHead(), chunk("x")), 30},
       {endless(Deployment.head("/once/x") + "\r\n", "x"), 20}});
}

TEST_CASE("Connections that are held open idle", "[idle]") {
  CrowdSite Deployment;
  checkCrowd(Deployment,
             {{{"", "", 0, ""}, 750},
              {{Deployment.head("/once/x", "GET") + "\r\n", "", 0, ""}, 750}});
}

TEST_CASE("Connections that are held within the head", "[heads]") {
  PlatformSiteOptions Options = siteOptions();
  Options.RelayDescriptors = ManyDescriptors;
  Options.Limits.HeaderBytes = LargeHeaderBytes;
  CrowdSite Deployment(Options);
  const std::string Line = "X-Y: " + std::string(990, 'z') + "\r\n";
  checkCrowd(
      Deployment,
      {{{Deployment.head("/once/x"), repeatToSize(Line, 50000), 1, ""}, 1200}});
}

TEST_CASE("Heads of very many short fields", "[fields]") {
  CrowdSite Deployment;
  const std::string Fields = repeatToSize("a:\r\n", HeaderBytes - 1000) +
                             "Content-Length: 100\r\n\r\n";
  checkCrowd(
      Deployment,
      {{{Deployment.head("/once/x"), Fields, 1, std::string(99, 'x')}, 700}});
}

TEST_CASE("Requests that wait behind one in progress", "[pipelined]") {
  PlatformSiteOptions Options = siteOptions();
  Options.RelayDescriptors = ManyDescriptors;
  Options.ConnectionLimit = 2000;
  CrowdSite Deployment(Options);
  const std::string First = Deployment.head("/plain/hold", "GET") + "\r\n";
  const std::string Next = Deployment.head("/plain/x", "GET") + "X: ";
  ClientCrowd Crowd(Deployment.port());
  Crowd.add({First, Next + std::string(131072, 'x'), 1, ""}, 900);
  Crowd.settle();
  Deployment.checkLimits();
  Deployment.Target.release();
  Deployment.checkRelay();
}

TEST_CASE("Many whole bodies of the largest size at once", "[whole-bodies]") {
  PlatformSiteOptions Options = siteOptions();
  Options.ConnectionLimit = 2000;
  CrowdSite Deployment(Options);
  ClientScript Script = shortOfEnd(Deployment.chunkedHead("/once/hold"), 65536);
  Script.End += chunk("x") + LastChunk;
  ClientCrowd Crowd(Deployment.port());
  Crowd.add(Script, 120);
  Crowd.settle();
  Deployment.checkLimits();
  Deployment.Target.release();
  Deployment.checkRelay();
}

TEST_CASE("Many turns of the largest size at once", "[turns]") {
  CrowdSite Deployment;
  ClientCrowd Crowd(Deployment.port());
  for (unsigned Number = 0; Number < 80; ++Number) {
    std::string Head = Deployment.head("/turn/x");
    Head += "Program-Id: p-" + std::to_string(Number) +
            "\r\nSession-Id: s\r\nToken-Usage: 100,40\r\n"
            "Token-Budget: 1000\r\nContent-Length: " +
            std::to_string(BodyBytes) + "\r\n\r\n";
    Crowd.add({Head, std::string(10000, 'x'), BodyBytes / 10000, ""}, 1);
  }
  Crowd.settle();
  Deployment.checkRelay();
  Deployment.checkLedgers();
}

TEST_CASE("A chain of turns that is longer than the memory", "[long-chain]") {
  CrowdSite Deployment;
  std::string Previous;
  unsigned Served = 0;
  for (unsigned Number = 0; Number < 80; ++Number) {
    const std::string Id = "chain-" + std::to_string(Number);
    const Response Result = Deployment.Site.sendTurn(
        Id, Previous, std::string(BodyBytes, 'x'), 100000);
    if (Result.Status != 200)
      break;
    Previous = Id;
    ++Served;
  }
  CHECK(Served == 80);
  Deployment.checkRelay();
  Deployment.checkLedgers();
}

TEST_CASE("Clients that misbehave in all ways at once", "[all-ways]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.chunkedHead();
  const std::string LengthHead =
      Deployment.head("/once/x") +
      "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
  checkCrowd(Deployment,
             {{endless(Head + chunk("x") + "0\r\n", "X-Y: z\r\n"), 5},
              {endless(Head + "1;", "x"), 5},
              {shortOfEnd(Head, LargeChunkBytes), 30},
              {shortOfEnd(Head, 1), 20},
              {{LengthHead, std::string(9999, 'x'), BodyBytes / 10000, ""}, 30},
              {endless(Head, chunk(std::string(60000, 'x'))), 10},
              {endless(Deployment.head("/once/x"), "X-Y: z\r\n"), 10},
              {{"", "", 0, ""}, 400},
              {{Deployment.head("/once/x"), "X-Y: z\r\n", 100, ""}, 200}});
}

TEST_CASE("A body of the largest size is served in any framing", "[calm]") {
  CrowdSite Deployment;
  const std::size_t ChunkBytes =
      GENERATE(as<std::size_t>(), 1, 7, LargeChunkBytes, BodyBytes - 1);
  ClientScript Script =
      shortOfEnd(Deployment.chunkedHead("/once/keep"), ChunkBytes);
  Script.End += chunk("y") + "0;last=1\r\nX-Checksum: 1\r\n\r\n";
  ClientCrowd Crowd(Deployment.port());
  Crowd.add(Script, 1);
  REQUIRE(waitFor([&] { return !Crowd.statuses().empty(); }));
  CHECK(Crowd.statuses() == std::map<int, unsigned>{{200, 1}});
  const std::string Body = Deployment.Target.lastKept().body();
  CHECK(Body == std::string(BodyBytes - 1, 'x') + "y");
  Deployment.checkRelay();
}

TEST_CASE("Fields of a trailer are not taken for fields of the head",
          "[trailer-fields]") {
  CrowdSite Deployment;
  ClientCrowd Crowd(Deployment.port());
  Crowd.add({Deployment.chunkedHead("/once/keep") + chunk("x") +
                 "0\r\nTenant: other\r\nX-Checksum: 1\r\nContent-Type: a/b\r\n"
                 "Previous-Turn: t\r\n\r\n",
             "", 0, ""},
            1);
  REQUIRE(waitFor([&] { return !Crowd.statuses().empty(); }));
  CHECK(Crowd.statuses() == std::map<int, unsigned>{{200, 1}});
  const auto Kept = Deployment.Target.lastKept();
  for (const char *Name :
       {"Tenant", "X-Checksum", "Content-Type", "Previous-Turn"})
    CHECK(Kept.count(Name) == 0);
  CHECK(Kept.count("Request-Id") == 1);
}
