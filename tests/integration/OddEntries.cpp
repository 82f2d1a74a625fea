/// \file
/// Tests relays and replicas as processes while someone else writes entries
/// that are nested too deeply, out of range or mistyped.
#include "PlatformSite.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace tanagerlanding::test;

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;
using Entries = std::vector<std::pair<std::string, std::string>>;

/// Several times what the stack holds if each level takes a call.
constexpr int DeepLevels = 150000;
constexpr int LongBytes = 900000;
const std::string ViewKey = "tanagerlanding/ledger/view";

std::string nested(const std::string &Open, const std::string &Close) {
  std::string Text;
  for (int Level = 0; Level < DeepLevels; ++Level)
    Text += Open;
  Text += "1";
  for (int Level = 0; Level < DeepLevels; ++Level)
    Text += Close;
  return Text;
}

/// Returns an object's text with one more field.
std::string withField(std::string Object, const std::string &Name,
                      const std::string &Value) {
  return Object.insert(1, "\"" + Name + "\":" + Value + ",");
}

std::string withValue(const std::string &Text, const std::string &Field,
                      const Json &Value) {
  Json Document = Json::parse(Text);
  Document[Field] = Value;
  return Document.dump();
}

/// Returns values that are odd for any key, by a name.
Entries oddValues() {
  return {{"deep-lists", nested("[", "]")},
          {"deep-objects", nested("{\"a\":", "}")},
          {"open-lists", nested("[", "")},
          {"long-text", '"' + std::string(LongBytes, 'x') + '"'},
          {"long-garbage", std::string(LongBytes, '\xff')},
          {"bytes", std::string("\xff\x00\x01\xfe", 4)},
          {"empty", ""},
          {"null", "null"},
          {"number", "1e400"},
          {"list", "[]"},
          {"object", "{}"}};
}

Entries oddTargets(const std::string &Good) {
  Entries Odd = oddValues();
  Odd.emplace_back("", Good);
  Odd.emplace_back("deep-field", withField(Good, "x", nested("[", "]")));
  Odd.emplace_back("long-zone",
                   withValue(Good, "zone", std::string(LongBytes, 'z')));
  for (const char *Address :
       {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:1e9",
        "127.0.0.1:99999999999999999999", "127.0.0.1", ":", ""})
    Odd.emplace_back("address-" + std::to_string(Odd.size()),
                     withValue(Good, "address", Address));
  for (const Json &Slots : {Json(0), Json(-1), Json(65536), Json(1e300),
                            Json(~std::uint64_t{0}), Json(), Json("4")})
    Odd.emplace_back("slots-" + std::to_string(Odd.size()),
                     withValue(Good, "slots", Slots));
  Json Unnumbered = Json::parse(Good);
  Unnumbered.erase("sequence");
  for (const char *Number : {"1e400", "99999999999999999999999", "NaN", "-"})
    Odd.emplace_back("number-" + std::to_string(Odd.size()),
                     withField(Unnumbered.dump(), "sequence", Number));
  Odd.emplace_back("state", withValue(Good, "state", "resting"));
  return Odd;
}

Entries oddConfigurations() {
  const std::string Good = PlatformSite::configuration(50);
  Entries Odd = oddValues();
  for (const auto &[Name, Deep] :
       {Entries::value_type("lists", nested("[", "]")),
        Entries::value_type("objects", nested("{\"a\":", "}"))}) {
    Odd.emplace_back("teams-beside-" + Name,
                     withField(withField(Good, "x", Deep), "tenants", "[]"));
    Odd.emplace_back("team-hashes-" + Name,
                     withField(Good, "tenants",
                               R"([{"name":"x","apiKeys":["k"],)"
                               R"("apiKeyHashes":[)" +
                                   Deep + "]}]"));
  }
  for (const Json &Version : {Json(-1), Json(~std::uint64_t{0}), Json(1e300)})
    Odd.emplace_back("version-" + Version.dump(),
                     withValue(Good, "version", Version));
  return Odd;
}

/// Returns odd entries below the keys of replicas and of operators.
Entries oddMembership() {
  Entries Odd;
  for (const auto &[Name, Value] : oddValues()) {
    Odd.emplace_back("tanagerlanding/ledger/replicas/" + Name, Value);
    Odd.emplace_back("tanagerlanding/ledger/synced/" + Name, Value);
    Odd.emplace_back("op/retire/" + Name, Value);
    Odd.emplace_back("tanagerlanding/ledger/" + Name, Value);
    Odd.emplace_back("other/" + Name, Value);
  }
  const Json Member = {{"holder", "h-odd"},
                       {"host", "odd"},
                       {"address", "127.0.0.1"},
                       {"port", 65536 + 80},
                       {"zone", "z"}};
  Odd.emplace_back("tanagerlanding/ledger/replicas/odd", Member.dump());
  Odd.emplace_back("tanagerlanding/ledger/replicas/", Member.dump());
  Odd.emplace_back("tanagerlanding/ledger/synced/", "1");
  Odd.emplace_back("op/retire/", "{\"durationS\":1e300}");
  return Odd;
}

/// Returns the names of the processes that have ended by themselves.
std::vector<std::string> endedProcesses(PlatformSite &Site) {
  std::vector<std::string> Ended;
  const auto Check = [&](ChildProcess &Process, const std::string &Name) {
    const int Status = Process.awaitExit(std::chrono::milliseconds(0));
    if (Status != -1)
      Ended.push_back(Name + " with " + std::to_string(Status));
  };
  for (std::size_t Number = 0; Number < Site.Relays.size(); ++Number)
    Check(Site.Relays[Number], "relay " + std::to_string(Number));
  for (std::size_t Number = 0; Number < Site.Ledgers.size(); ++Number)
    Check(Site.Ledgers[Number], "replica " + std::to_string(Number));
  return Ended;
}

void killAll(PlatformSite &Site) {
  for (ChildProcess &Each : Site.Relays)
    Each.kill();
  for (ChildProcess &Each : Site.Ledgers)
    Each.kill();
}

void startAll(PlatformSite &Site) {
  for (std::size_t Number = 0; Number < Site.Ledgers.size(); ++Number)
    Site.startLedger(Number);
  for (std::size_t Number = 0; Number < Site.Relays.size(); ++Number)
    Site.startRelay(Number);
}

/// Returns the number of a process's log lines that contain all texts.
int linesWith(const PlatformSite &Site, const std::string &Process,
              const std::vector<std::string> &Texts) {
  std::ifstream Log(Site.Folder / (Process + ".log"));
  int Count = 0;
  for (std::string Line; std::getline(Log, Line);)
    Count += std::all_of(Texts.begin(), Texts.end(), [&](const auto &Each) {
      return Line.find(Each) != std::string::npos;
    });
  return Count;
}

/// Waits until a configuration whose first route has this path is in force.
bool awaitRoute(PlatformSite &Site, const std::string &Prefix) {
  static int Number = 0;
  return waitFor([&] {
    return Site.sendCall(Prefix + "x", "a" + std::to_string(++Number), "", 0)
               .Status == 200;
  });
}

std::string movedConfiguration(int Version, const std::string &Prefix) {
  Json Document = Json::parse(PlatformSite::configuration(Version));
  Document["routes"][0]["pathPrefix"] = Prefix;
  return Document.dump();
}

} // namespace

TEST_CASE("Odd entries: none ends a process or hides a target") {
  PlatformSite Site;
  const std::string Good = Site.FirstWorker.registration("app");
  const Entries Targets = oddTargets(Good);
  for (const auto &[Name, Value] : Targets)
    Site.Store.put("servers/" + Name, Value);
  for (const auto &[Key, Value] : oddMembership())
    Site.Store.put(Key, Value);
  WorkerStandin Third("i-3");
  Site.Store.put("servers/i-3", Third.registration("app"));
  Site.awaitTargets(0, 3);
  CHECK(Site.sendPlain("r1").Status == 200);
  CHECK(Site.sendTurnUntilServed("t1", "", "in1;").Status == 200);
  Site.Store.put("op/config", movedConfiguration(5, "/moved/"));
  CHECK(awaitRoute(Site, "/moved/"));
  CHECK(endedProcesses(Site).empty());
  for (const auto &[Name, Value] : Targets) {
    INFO(Name);
    const std::string Field =
        Name.empty() ? "target=\"\" " : "target=" + Name + " ";
    CHECK(waitFor([&] {
      return linesWith(Site, "front-0",
                       {"event=target_entry_invalid", Field}) == 1;
    }));
  }
}

TEST_CASE("Odd entries: processes start again while they are there") {
  PlatformSite Site;
  const std::string Turn = "t1-0";
  REQUIRE(Site.sendTurnUntilServed("t1", "", "in1;").Status == 200);
  for (const auto &[Name, Value] :
       oddTargets(Site.FirstWorker.registration("app")))
    Site.Store.put("servers/" + Name, Value);
  for (const auto &[Key, Value] : oddMembership())
    Site.Store.put(Key, Value);
  WorkerStandin Third("i-3");
  Site.Store.put("servers/i-3", Third.registration("app"));
  Site.awaitTargets(0, 3);
  killAll(Site);
  startAll(Site);
  REQUIRE(Site.awaitReady());
  Site.awaitTargets(0, 3);
  CHECK(Site.sendTurnUntilServed("t2", Turn, "in2;").Status == 200);
  // Now the relay learns the directory from the replicas only.
  Site.Store.setDown(true);
  killAll(Site);
  startAll(Site);
  REQUIRE(Site.awaitReady());
  Site.awaitTargets(0, 3);
  CHECK(Site.sendTurnUntilServed("t3", Turn, "in3;").Status == 200);
  Site.Store.setDown(false);
  Site.Store.put("op/config", movedConfiguration(5, "/moved/"));
  CHECK(awaitRoute(Site, "/moved/"));
  CHECK(endedProcesses(Site).empty());
}

TEST_CASE("Odd entries: no odd configuration ends a process, replaces the last "
          "good one or hides the next") {
  PlatformSite Site;
  int Version = 100;
  for (const auto &[Name, Value] : oddConfigurations()) {
    INFO(Name);
    Site.Store.put("op/config", Value);
    // Written later, so the odd value has been read once this is known.
    Site.Store.put("servers/i-3", Site.FirstWorker.registration("app"));
    Site.awaitTargets(0, 3);
    CHECK(Site.sendPlain("r" + Name).Status == 200);
    Site.Store.remove("servers/i-3");
    Site.awaitTargets(0, 2);
    CHECK(endedProcesses(Site).empty());
  }
  killAll(Site);
  startAll(Site);
  REQUIRE(Site.awaitReady());
  CHECK(awaitRoute(Site, "/plain/"));
  Site.Store.setDown(true);
  killAll(Site);
  startAll(Site);
  REQUIRE(Site.awaitReady());
  CHECK(awaitRoute(Site, "/plain/"));
  Site.Store.setDown(false);
  Site.Store.put("op/config", movedConfiguration(++Version, "/moved/"));
  CHECK(awaitRoute(Site, "/moved/"));
  CHECK(endedProcesses(Site).empty());
}

TEST_CASE("Odd entries: a target whose entry is overwritten is gone until a "
          "good one is back") {
  PlatformSite Site;
  Site.awaitTargets(0, 2);
  const std::string Good = Site.FirstWorker.registration("app");
  Site.Store.put("servers/i-1", withField(Good, "x", nested("[", "]")));
  Site.awaitTargets(0, 1);
  CHECK(Site.sendPlain("r1").Status == 200);
  CHECK(Site.FirstWorker.runs().empty());
  Site.Store.put("servers/i-1", Good);
  Site.awaitTargets(0, 2);
  CHECK(endedProcesses(Site).empty());
}

TEST_CASE("Odd entries: an odd view of the members keeps no lost replica from "
          "being replaced") {
  PlatformSite Site;
  REQUIRE(Site.sendTurnUntilServed("t1", "", "in1;").Status == 200);
  Json Wrapping = Json::parse(Site.Store.get(ViewKey));
  Wrapping["version"] = 1000;
  Wrapping["tolerated"] = 4294967295;
  Site.Store.put(ViewKey, Wrapping.dump());
  // Written later, so the view has been read once this is known.
  Site.Store.put("servers/i-3", Site.FirstWorker.registration("app"));
  Site.awaitTargets(0, 3);
  for (const auto &[Name, Value] : oddValues())
    Site.Store.put(ViewKey, Value);
  Site.Ledgers[0].kill();
  fs::remove_all(Site.ledgerFolder(0));
  Site.startLedger(0);
  CHECK(waitFor([&] {
    const Json View = Json::parse(Site.Store.get(ViewKey), nullptr, false);
    return View.is_object() && View.value("tolerated", 0U) == 1 &&
           View["version"] > 1 && View["version"] < 1000 &&
           View["next"].empty();
  }));
  CHECK(Site.sendTurnUntilServed("t2", "t1-0", "in2;").Status == 200);
  CHECK(endedProcesses(Site).empty());
}
