/// \file
/// Clients of an entry that don't keep to the protocol or its limits. Guards
/// against an entry that runs out of memory or descriptors, or stops serving
/// ordinary callers.
#include "ClientCrowd.h"
#include "Site.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace tanagerlanding::test;

namespace {

/// Memory and descriptors of an entry's host.
constexpr unsigned MemoryMegabytes = 128;
constexpr unsigned Descriptors = 1024;
constexpr unsigned MaxRequestBytes = 1000000;
/// Leaves room for the head.
constexpr std::size_t BodyBytes = MaxRequestBytes - 2000;
constexpr std::size_t LargeChunkBytes = 65536;

SiteOptions siteOptions() {
  SiteOptions Options;
  Options.withEntries(2).withEngines(1).withServices(1);
  Options.MaxRequestBytes = MaxRequestBytes;
  Options.EntryDescriptors = Descriptors;
  return Options;
}

/// An entry within limits, in front of one service.
class CrowdSite {
public:
  CrowdSite() : Deployment(siteOptions()) { REQUIRE(this->isServed()); }

  pid_t pid() { return this->Deployment.process(Site::entryName(0)).pid(); }
  std::uint16_t port() const { return this->Deployment.httpPort(0); }

  /// Returns a request's head without the empty line.
  std::string head() {
    return "POST /v1/services/cache-app/x HTTP/1.1\r\nHost: entry\r\n"
           "Tanager-Program: crowd-" +
           std::to_string(++this->LastRequest) +
           "\r\nTanager-Team: t\r\nTanager-Budget-Tokens: 100\r\n"
           "Tanager-Budget-Calls: 10\r\n";
  }

  std::string chunkedHead() {
    return this->head() + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /// Returns whether an ordinary caller is served, if need be after refusals.
  bool isServed() {
    return waitFor([&] {
      const Program Sender{"ordinary-" + std::to_string(++this->LastRequest)};
      return send(serviceRequest(this->port(), Sender, "/x", "input", ""))
                 .Status == 200;
    });
  }

  /// Checks that the entry lives within its limits and serves others.
  void checkEntry() {
    this->checkLimits();
    CHECK(this->isServed());
    this->checkLimits();
  }

  Site Deployment;

private:
  void checkLimits() {
    WARN("peak in KiB: " << peakKilobytes(this->pid()));
    const pid_t Entry = this->Deployment.process(Site::entryName(0)).pid();
    const long Open = openDescriptors(Entry);
    const long Peak = peakKilobytes(Entry);
    CAPTURE(Open, Peak);
    CHECK(0 < Peak);
    CHECK(Open <= static_cast<long>(Descriptors));
#ifdef __SANITIZE_ADDRESS__
    WARN("memory is not checked: it includes the sanitizer's own");
#else
    CHECK(Peak <= static_cast<long>(MemoryMegabytes) * 1024);
#endif
  }

  std::atomic<unsigned> LastRequest{0};
};

/// Lets crowds send at the same time, and checks the entry while they are
/// connected and after they have left.
void checkCrowd(CrowdSite &Deployment,
                const std::vector<std::pair<ClientScript, unsigned>> &Scripts) {
  const std::string Statuses =
      playCrowd(Deployment.port(), Scripts, [&] { Deployment.checkEntry(); });
  WARN("answers of the crowd: " << Statuses);
}

/// Returns a body of the largest size in chunks of one size, without its last
/// byte.
ClientScript shortOfEnd(const std::string &Head, std::size_t ChunkBytes) {
  return chunkedBody(Head, ChunkBytes, BodyBytes - 1);
}

} // namespace

TEST_CASE("Entry: trailers without end", "[trailers]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.chunkedHead() + chunk("x") + "0\r\n";
  checkCrowd(Deployment, {{endless(Head, "X-Y: z\r\n"), 8},
                          {endless(Head + "X-Y: ", "z"), 8}});
}

TEST_CASE("Entry: chunk sizes and extensions without end", "[framing]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.chunkedHead();
  checkCrowd(Deployment,
             {{endless(Head, "0"), 8}, {endless(Head + "1;", "x"), 8}});
}

TEST_CASE("Entry: many bodies short of their end in large chunks",
          "[large-chunks]") {
  CrowdSite Deployment;
  checkCrowd(Deployment,
             {{shortOfEnd(Deployment.chunkedHead(), LargeChunkBytes), 100},
              {shortOfEnd(Deployment.chunkedHead(), BodyBytes - 1), 100}});
}

TEST_CASE("Entry: many bodies short of their end in small chunks",
          "[small-chunks]") {
  CrowdSite Deployment;
  checkCrowd(Deployment, {{shortOfEnd(Deployment.chunkedHead(), 1), 100},
                          {shortOfEnd(Deployment.chunkedHead(), 7), 100}});
}

TEST_CASE("Entry: many bodies of a stated length short of their end",
          "[stated-lengths]") {
  CrowdSite Deployment;
  const std::string Head = Deployment.head() +
                           "Content-Length: " + std::to_string(BodyBytes) +
                           "\r\n\r\n";
  checkCrowd(Deployment,
             {{{Head, std::string(9900, 'x'), BodyBytes / 10000, ""}, 200}});
}

TEST_CASE("Entry: bodies over the limit that are announced", "[announced]") {
  CrowdSite Deployment;
  const std::string Length = "Content-Length: 67108864\r\n";
  checkCrowd(
      Deployment,
      {{endless(Deployment.head() + Length + "\r\n", "x"), 20},
       {endless(Deployment.head() + Length + "Expect: 100-continue\r\n\r\n",
                "x"),
        20},
       {endless(Deployment.chunkedHead() + "4000000\r\n", "x"), 20}});
}

TEST_CASE("Entry: bodies over the limit that are just sent", "[unannounced]") {
  CrowdSite Deployment;
  checkCrowd(
      Deployment,
      {{endless(Deployment.chunkedHead(), chunk(std::string(60000, 'x'))), 30},
       {endless(Deployment.chunkedHead(), chunk("x")), 30},
       {endless(Deployment.head() + "\r\n", "x"), 20}});
}

TEST_CASE("Entry: connections that are held open idle", "[idle]") {
  CrowdSite Deployment;
  checkCrowd(Deployment, {{{"", "", 0, ""}, 1500}});
}

TEST_CASE("Entry: connections that are held within the head", "[heads]") {
  CrowdSite Deployment;
  const std::string Line = "X-Y: " + std::string(990, 'z') + "\r\n";
  checkCrowd(
      Deployment,
      {{{Deployment.head(), repeatToSize(Line, BodyBytes / 2), 1, ""}, 400}});
}

TEST_CASE("Entry: a body of the largest size is served in any framing",
          "[calm]") {
  CrowdSite Deployment;
  const std::size_t ChunkBytes =
      GENERATE(as<std::size_t>(), 1, 7, LargeChunkBytes, BodyBytes - 1);
  CAPTURE(ChunkBytes);
  ClientScript Script = shortOfEnd(Deployment.chunkedHead(), ChunkBytes);
  Script.End += chunk("y") + "0\r\n\r\n";
  ClientCrowd Crowd(Deployment.port());
  Crowd.add(Script, 1);
  REQUIRE(waitFor([&] { return !Crowd.statuses().empty(); }));
  CHECK(Crowd.statuses() == std::map<int, unsigned>{{200, 1}});
  Deployment.checkEntry();
}
