/// \file
/// Tests teams with real processes: what targets receive, that turns are kept
/// per team, and that no key leaves the relay.
#include "PlatformSite.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

using namespace tanagerlanding::test;

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

const std::string KeyOfX = "secret-of-x-4711";
const std::string KeyOfY = "secret-of-y-4712";

std::string configurationWith(int Version, const Json &Teams) {
  Json Document = Json::parse(PlatformSite::configuration(Version));
  Document["tenants"] = Teams;
  return Document.dump();
}

Json team(const std::string &Name, const std::string &Key) {
  return {{"name", Name}, {"apiKeys", {Key}}, {"priority", 1}};
}

Response sendWithKey(const PlatformSite &Site, const std::string &Path,
                     const std::string &Id, const std::string &Key,
                     const std::string &Previous = {}) {
  Request Call;
  Call.Method = "POST";
  Call.Url =
      "http://127.0.0.1:" + std::to_string(Site.CallerPorts.at(0)) + Path;
  Call.Headers = {std::string("Host: ") + PlatformSite::Host,
                  "Request-Id: " + Id,
                  "Time-Remaining: 4000",
                  "Tenant: claimed-by-caller",
                  "Program-Id: p",
                  "Session-Id: s",
                  "Token-Usage: 100,40"};
  if (!Key.empty())
    Call.Headers.push_back("Authorization: Bearer " + Key);
  if (!Previous.empty())
    Call.Headers.push_back("Previous-Turn: " + Previous);
  Call.Body = "in;";
  return send(Call);
}

std::vector<WorkerStandin::Run> runsOf(PlatformSite &Site) {
  auto Runs = Site.FirstWorker.runs();
  const auto More = Site.SecondWorker.runs();
  Runs.insert(Runs.end(), More.begin(), More.end());
  return Runs;
}

/// Returns the files of the site that contain a text: settings, logs and
/// records of all processes.
std::vector<std::string> filesWith(const PlatformSite &Site,
                                   const std::string &Text) {
  std::vector<std::string> Found;
  for (const auto &Each : fs::recursive_directory_iterator(Site.Folder)) {
    if (!Each.is_regular_file())
      continue;
    std::ifstream File(Each.path(), std::ios::binary);
    const std::string Content((std::istreambuf_iterator<char>(File)),
                              std::istreambuf_iterator<char>());
    if (Content.find(Text) != std::string::npos)
      Found.push_back(Each.path().string());
  }
  return Found;
}

} // namespace

TEST_CASE("Teams: targets get the team's name, never a key, and turns are kept "
          "per team") {
  PlatformSite Site;
  Site.Store.put("op/config",
                 configurationWith(
                     2, Json::array({team("x", KeyOfX), team("y", KeyOfY)})));
  int Probe = 0;
  REQUIRE(waitFor([&] {
    const std::string Id = "probe-" + std::to_string(Probe++);
    return sendWithKey(Site, "/plain/x", Id, "").Status == 401;
  }));
  const std::size_t Before = runsOf(Site).size();
  CHECK(sendWithKey(Site, "/plain/x", "r1", "unknown").Status == 401);
  CHECK(sendWithKey(Site, "/nowhere", "r2", "unknown").Status == 404);
  CHECK(runsOf(Site).size() == Before);
  CHECK(sendWithKey(Site, "/plain/x", "r3", KeyOfX).Status == 200);
  const auto Runs = runsOf(Site);
  const auto Run = std::find_if(Runs.begin(), Runs.end(), [](const auto &Each) {
    return Each.RequestId == "r3";
  });
  REQUIRE(Run != Runs.end());
  CHECK(Run->Team == "x");
  CHECK(Run->Authorization.empty());

  CHECK(sendWithKey(Site, "/turn/x", "t1", KeyOfX).Status == 200);
  CHECK(sendWithKey(Site, "/turn/x", "t2", KeyOfY, "t1").Status == 404);
  CHECK(sendWithKey(Site, "/turn/x", "t3", KeyOfX, "t1").Status == 200);

  Site.Store.put("op/config",
                 configurationWith(3, Json::array({team("y", KeyOfY)})));
  CHECK(waitFor([&] {
    const std::string Id = "removed-" + std::to_string(Probe++);
    return sendWithKey(Site, "/plain/x", Id, KeyOfX).Status == 401;
  }));
  // A replica passes the configuration on and stores it. The relay that starts
  // anew gets it from there, as the store is down.
  Site.Store.setDown(true);
  Site.Relays[0].kill();
  Site.startRelay(0);
  REQUIRE(Site.awaitReady());
  CHECK(sendWithKey(Site, "/plain/x", "r4", KeyOfX).Status == 401);
  CHECK(sendWithKey(Site, "/plain/x", "r5", KeyOfY).Status == 200);
  CHECK(filesWith(Site, KeyOfX).empty());
  CHECK(filesWith(Site, KeyOfY).empty());
  // The search is not in vain: other parts of the configuration are stored.
  CHECK_FALSE(filesWith(Site, "tokensPerEvent").empty());
}
