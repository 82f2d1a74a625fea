/// Relays and the ledger as separate processes between the platform's
/// stand-ins.
#include "Client.h"
#include "PlatformStandins.h"
#include "Processes.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

using namespace tanagerlanding::test;

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

constexpr const char *Host = "shop.example";

/// One relay and three replicas, with a store and two workers.
class Deployment {
public:
  Deployment() : Folder(freshFolder()), First("i-1"), Second("i-2") {
    fs::remove_all(this->Folder);
    fs::create_directories(this->Folder);
    this->CallerPort = freePort();
    this->StatusPort = freePort();
    for (std::uint16_t &Port : this->PeerPorts)
      Port = freePort();
    this->Store.put("op/config", configuration(1));
    this->Store.put("servers/i-1", this->First.entry("app"));
    this->Store.put("servers/i-2", this->Second.entry("app"));
    for (std::size_t Number = 0; Number < 3; ++Number)
      this->startLedger(Number);
    this->startRelay();
    REQUIRE(this->awaitReady());
  }
  ~Deployment() {
    this->Relay.kill();
    for (ChildProcess &Each : this->Ledgers)
      Each.kill();
    if (!std::getenv("TANAGERLANDING_KEEP_FOLDERS"))
      fs::remove_all(this->Folder);
  }

  static std::string configuration(int Version) {
    const auto Route = [](const char *Prefix, const char *Kind) {
      return Json{{"name", Prefix},
                  {"host", Host},
                  {"pathPrefix", Prefix},
                  {"kind", Kind},
                  {"timeoutMs", 5000},
                  {"targetLatencyMs", 200},
                  {"priority", 0},
                  {"service", "app"},
                  {"attempts", 2},
                  {"retentionS", 60.0},
                  {"keepsHistory", std::string(Kind) == "streaming"}};
    };
    const Json Document = {
        {"version", Version},
        {"routes",
         {Route("/plain/", "idempotent"), Route("/turn/", "streaming")}},
        {"services",
         {{{"name", "app"},
           {"connectionLimit", 64},
           {"engine", {{"tokensPerEvent", 10}}}}}},
        {"limits",
         {{"headerBytes", 16384},
          {"bodyBytes", 1000000},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}};
    return Document.dump();
  }

  void startLedger(std::size_t Number) {
    const std::string Name = "storage-" + std::to_string(Number);
    Json Boot = this->bootSettings(Name);
    Boot["listenAddresses"] = {
        {"control", "127.0.0.1:" + std::to_string(this->PeerPorts[Number])}};
    Boot["dataDirectory"] = (this->Folder / Name).string();
    this->Ledgers[Number] = this->start(Name, "ledger", Boot);
  }

  void startRelay() {
    Json Boot = this->bootSettings("front-1");
    Boot["listenAddresses"] = {
        {"front", "127.0.0.1:" + std::to_string(this->CallerPort)},
        {"ready", "127.0.0.1:" + std::to_string(this->StatusPort)}};
    this->Relay = this->start("front-1", "relay", Boot);
  }

  bool awaitReady() {
    return waitFor([this] {
      Request Asked;
      Asked.Url =
          "http://127.0.0.1:" + std::to_string(this->StatusPort) + "/ready";
      return send(Asked).Status == 200;
    });
  }

  Response plain(const std::string &Id) {
    Request Asked;
    Asked.Url =
        "http://127.0.0.1:" + std::to_string(this->CallerPort) + "/plain/x";
    Asked.Headers = {std::string("Host: ") + Host, "Request-Id: " + Id,
                     "Time-Remaining: 4000"};
    return send(Asked);
  }

  Response turn(const std::string &Id, const std::string &Previous,
                const std::string &Input, int Budget = 10000) {
    Request Asked;
    Asked.Method = "POST";
    Asked.Url =
        "http://127.0.0.1:" + std::to_string(this->CallerPort) + "/turn/x";
    Asked.Headers = {std::string("Host: ") + Host,
                     "Request-Id: " + Id,
                     "Time-Remaining: 4000",
                     "Program-Id: p",
                     "Session-Id: s",
                     "Token-Usage: 100,40",
                     "Token-Budget: " + std::to_string(Budget)};
    if (!Previous.empty())
      Asked.Headers.push_back("Previous-Turn: " + Previous);
    Asked.Body = Input;
    return send(Asked);
  }

  /// Asks again, each time under a new id, until the turn is served.
  Response turnUntilServed(const std::string &Id, const std::string &Previous,
                           const std::string &Input) {
    Response Got;
    int Try = 0;
    waitFor([&] {
      Got = this->turn(Id + "-" + std::to_string(Try++), Previous, Input);
      return Got.Status != 503 && Got.Status != 0;
    });
    return Got;
  }

  const fs::path Folder;
  StoreStandin Store;
  WorkerStandin First;
  WorkerStandin Second;
  std::array<ChildProcess, 3> Ledgers;
  ChildProcess Relay;
  std::uint16_t CallerPort = 0;
  std::uint16_t StatusPort = 0;
  std::array<std::uint16_t, 3> PeerPorts{};

private:
  /// Returns a folder of its own for each case, as one may be kept for its
  /// logs.
  static fs::path freshFolder() {
    static int Number = 0;
    return fs::temp_directory_path() /
           ("tanagerlanding-platform-" + std::to_string(::getpid()) + "-" +
            std::to_string(++Number));
  }

  Json bootSettings(const std::string &Name) const {
    return {{"nodeName", Name},
            {"zone", "z"},
            {"ipAddress", "127.0.0.1"},
            {"internalPortRange", {7380, 7395}},
            {"seeds",
             {"127.0.0.1:" + std::to_string(this->PeerPorts[0]),
              "127.0.0.1:" + std::to_string(this->PeerPorts[1])}},
            {"faultTolerance", {{"machines", 1}}},
            {"bounds", {{"graceS", 8}}},
            {"platform",
             {{"address", "127.0.0.1:" + std::to_string(this->Store.port())}}}};
  }

  ChildProcess start(const std::string &Name, const std::string &Role,
                     const Json &Boot) const {
    const fs::path File = this->Folder / (Name + ".json");
    std::ofstream(File) << Boot.dump();
    ::setenv("TANAGERLANDING_BOOT", File.c_str(), 1);
    return ChildProcess("tanagerlandingd", {Role},
                        (this->Folder / (Name + ".log")).string());
  }
};

} // namespace

TEST_CASE("Platform path: plain requests and turns with their history") {
  Deployment Site;
  const Response Plain = Site.plain("r1");
  CHECK(Plain.Status == 200);
  CHECK(Plain.Body == "plain answer");
  const Response First = Site.turn("t1", "", "in1;");
  CHECK(First.Status == 200);
  CHECK(First.Body ==
        "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
  CHECK(Site.turn("t2", "t1", "in2;").Status == 200);
  auto Bodies = Site.First.bodies();
  const auto More = Site.Second.bodies();
  Bodies.insert(Bodies.end(), More.begin(), More.end());
  CHECK(std::count(Bodies.begin(), Bodies.end(), "in1;e1\ne2\ne3\nin2;") == 1);
  CHECK(Site.turn("t3", "nothing", "in;").Status == 404);
  // Two turns have used 60 tokens.
  CHECK(Site.turn("t4", "t2", "in;", 60).Status == 402);
}

TEST_CASE("Platform path: one replica lost, killed and wiped") {
  Deployment Site;
  CHECK(Site.turn("t1", "", "in1;").Status == 200);
  Site.Ledgers[0].kill();
  CHECK(Site.turnUntilServed("t2", "t1", "in2;").Status == 200);
  fs::remove_all(Site.Folder / "storage-0");
  Site.startLedger(0);
  // The empty one takes the place of the one that was lost, and has copied.
  REQUIRE(waitFor([&] {
    const Json View = Json::parse(Site.Store.get("tanagerlanding/ledger/view"));
    return View["version"] > 1 && View["next"].empty();
  }));
  Site.Ledgers[1].kill();
  CHECK(Site.turnUntilServed("t3", "t1", "in3;").Status == 200);
}

TEST_CASE("Platform path: all killed while the store is down") {
  Deployment Site;
  CHECK(Site.turn("t1", "", "in1;").Status == 200);
  Site.Store.setDown(true);
  Site.Relay.kill();
  for (ChildProcess &Each : Site.Ledgers)
    Each.kill();
  for (std::size_t Number = 0; Number < 3; ++Number)
    Site.startLedger(Number);
  Site.startRelay();
  REQUIRE(Site.awaitReady());
  CHECK(Site.turnUntilServed("t2", "t1", "in2;").Status == 200);
  Site.Store.setDown(false);
  CHECK(Site.turnUntilServed("t3", "t1", "in3;").Status == 200);
}

TEST_CASE("Platform path: configurations and targets after a lost history") {
  Deployment Site;
  Site.Store.put("servers/i-1", Site.First.entry("app", "draining"));
  // No entry names a target that is not one.
  Site.Store.put("servers/odd", "{\"service\": 7}");
  Site.Store.forgetHistory();
  Json Moved = Json::parse(Deployment::configuration(5));
  Moved["routes"][0]["pathPrefix"] = "/moved/";
  Site.Store.put("op/config", Moved.dump());
  REQUIRE(waitFor([&] {
    Request Asked;
    Asked.Url =
        "http://127.0.0.1:" + std::to_string(Site.CallerPort) + "/moved/x";
    Asked.Headers = {std::string("Host: ") + Host, "Request-Id: m"};
    return send(Asked).Status == 200;
  }));
  CHECK(Site.plain("r1").Status == 404);
  // An older one, as another writer may leave it, changes nothing.
  Site.Store.put("op/config", Deployment::configuration(2));
  CHECK(Site.turn("t1", "", "in1;").Status == 200);
  CHECK(Site.plain("late").Status == 404);
  // The one that leaves gets nothing.
  CHECK(Site.First.bodies().empty());
}

TEST_CASE("Platform path: stopping a relay cuts nothing") {
  Deployment Site;
  const auto Pause = std::chrono::milliseconds(400);
  Site.First.setPause(Pause);
  Site.Second.setPause(Pause);
  auto Held = std::async(std::launch::async,
                         [&] { return Site.turn("t1", "", "in1;"); });
  std::this_thread::sleep_for(Pause);
  Site.Relay.signal(SIGTERM);
  CHECK(waitFor([&] {
    Request Asked;
    Asked.Url =
        "http://127.0.0.1:" + std::to_string(Site.StatusPort) + "/ready";
    return send(Asked).Status == 503;
  }));
  CHECK(Held.get().Status == 200);
  CHECK(Site.Relay.awaitExit(std::chrono::seconds(10)) == 0);
}
