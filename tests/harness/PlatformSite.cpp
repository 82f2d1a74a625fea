#include "PlatformSite.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>

namespace tanagerlanding::test {

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

/// Returns a distinct path for each site, as the folder of an earlier one may
/// have been kept for its logs.
fs::path newFolderPath() {
  static int Number = 0;
  return fs::temp_directory_path() /
         ("tanagerlanding-platform-" + std::to_string(::getpid()) + "-" +
          std::to_string(++Number));
}

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

Json bootSettings(const PlatformSite &Site, const std::string &Name) {
  return {{"nodeName", Name},
          {"zone", "z"},
          {"ipAddress", "127.0.0.1"},
          {"internalPortRange", {7380, 7395}},
          {"seeds", {loopback(Site.PeerPorts[0]), loopback(Site.PeerPorts[1])}},
          {"faultTolerance", {{"machines", 1}}},
          {"bounds",
           {{"graceS", 8},
            {"strictRevocation", Site.Options.IsRevocationStrict},
            {"revokeMs", 5000}}},
          {"platform", {{"address", loopback(Site.Store.port())}}}};
}

Json route(const char *Prefix, const char *Kind, int Attempts = 2) {
  return Json{{"name", Prefix},
              {"host", PlatformSite::Host},
              {"pathPrefix", Prefix},
              {"kind", Kind},
              {"timeoutMs", 5000},
              {"targetLatencyMs", 200},
              {"priority", 0},
              {"service", "app"},
              {"attempts", Attempts},
              {"retentionS", 60.0},
              {"keepsHistory", std::string(Kind) == "streaming"}};
}

/// Returns a route for streams that may be resumed and keep no history.
Json resumableRoute(const char *Prefix, int Attempts) {
  Json Route = route(Prefix, "streaming", Attempts);
  Route["keepsHistory"] = false;
  Route["resumable"] = true;
  return Route;
}

PlatformSiteOptions optionsFor(std::size_t RelayCount, bool IsRevocationStrict,
                               unsigned RelayMemoryMegabytes) {
  PlatformSiteOptions Options;
  Options.RelayCount = RelayCount;
  Options.IsRevocationStrict = IsRevocationStrict;
  Options.RelayMemoryMegabytes = RelayMemoryMegabytes;
  Options.AreBuffersLimited = RelayMemoryMegabytes > 0;
  return Options;
}

} // namespace

PlatformSite::PlatformSite(std::size_t RelayCount, bool IsRevocationStrict,
                           unsigned RelayMemoryMegabytes)
    : PlatformSite(
          optionsFor(RelayCount, IsRevocationStrict, RelayMemoryMegabytes)) {}

PlatformSite::PlatformSite(const PlatformSiteOptions &Options)
    : Options(Options), Folder(newFolderPath()), FirstWorker("i-1"),
      SecondWorker("i-2"), Relays(Options.RelayCount) {
  const std::size_t RelayCount = Options.RelayCount;
  fs::remove_all(this->Folder);
  fs::create_directories(this->Folder);
  for (std::size_t Number = 0; Number < RelayCount; ++Number) {
    this->CallerPorts.push_back(freePort());
    this->StatusPorts.push_back(freePort());
  }
  for (std::uint16_t &Port : this->PeerPorts)
    Port = freePort();
  this->Store.put("op/config", configuration(1, Options));
  this->Store.put("servers/i-1", this->FirstWorker.registration("app"));
  this->Store.put("servers/i-2", this->SecondWorker.registration("app"));
  for (std::size_t Number = 0; Number < ReplicaCount; ++Number)
    this->startLedger(Number);
  for (std::size_t Number = 0; Number < RelayCount; ++Number)
    this->startRelay(Number);
  for (std::size_t Number = 0; Number < RelayCount; ++Number) {
    if (!this->awaitReady(Number))
      throw std::runtime_error("relay did not become ready; logs are in " +
                               this->Folder.string());
  }
}

PlatformSite::~PlatformSite() {
  for (ChildProcess &Each : this->Relays)
    Each.kill();
  for (ChildProcess &Each : this->Ledgers)
    Each.kill();
  if (!std::getenv("TANAGERLANDING_KEEP_FOLDERS"))
    fs::remove_all(this->Folder);
}

std::string PlatformSite::configuration(int Version,
                                        const PlatformSiteOptions &Options) {
  const ClientLimits &Limits = Options.Limits;
  Json Turns = route("/turn/", "streaming");
  Turns["timeoutMs"] = Options.TurnTimeoutMillis;
  const Json Document = {
      {"version", Version},
      {"routes",
       {route("/plain/", "idempotent"), Turns,
        route("/once/", "non_idempotent"), resumableRoute("/stream/", 1),
        resumableRoute("/stream-again/", 4)}},
      {"services",
       {{{"name", "app"},
         {"connectionLimit", Options.ConnectionLimit},
         {"engine", {{"tokensPerEvent", TokensPerEvent}}}}}},
      {"limits",
       {{"headerBytes", Limits.HeaderBytes},
        {"bodyBytes", Limits.BodyBytes},
        {"headerTimeoutMs", Limits.HeaderTimeoutMillis},
        {"idleTimeoutMs", Limits.IdleTimeoutMillis}}}};
  return Document.dump();
}

fs::path PlatformSite::ledgerFolder(std::size_t Number) const {
  return this->Folder / ("storage-" + std::to_string(Number));
}

void PlatformSite::startLedger(std::size_t Number) {
  const std::string Name = "storage-" + std::to_string(Number);
  Json Boot = bootSettings(*this, Name);
  Boot["listenAddresses"] = {{"control", loopback(this->PeerPorts[Number])}};
  Boot["dataDirectory"] = this->ledgerFolder(Number).string();
  if (this->Options.LedgerMemoryMegabytes > 0)
    Boot["limits"]["memoryMb"] = this->Options.LedgerMemoryMegabytes;
  this->Ledgers[Number] = this->start(Name, "ledger", Boot.dump());
}

void PlatformSite::startRelay(std::size_t Number) {
  const std::string Name = "front-" + std::to_string(Number);
  Json Boot = bootSettings(*this, Name);
  Boot["listenAddresses"] = {{"front", loopback(this->CallerPorts[Number])},
                             {"ready", loopback(this->StatusPorts[Number])}};
  if (this->Options.RelayMemoryMegabytes > 0)
    Boot["limits"]["memoryMb"] = this->Options.RelayMemoryMegabytes;
  if (this->Options.RelayDescriptors > 0)
    Boot["limits"]["fileDescriptors"] = this->Options.RelayDescriptors;
  this->Relays[Number] = this->start(Name, "relay", Boot.dump());
}

ChildProcess PlatformSite::start(const std::string &Name,
                                 const std::string &Role,
                                 const std::string &Settings) const {
  const fs::path File = this->Folder / (Name + ".json");
  std::ofstream(File) << Settings;
  ::setenv("TANAGERLANDING_BOOT", File.c_str(), 1);
  std::vector<std::string> Arguments = {Role};
  if (Role == "relay" && this->Options.AreBuffersLimited)
    Arguments.push_back("--limit-buffers");
  return ChildProcess("tanagerlandingd", Arguments,
                      (this->Folder / (Name + ".log")).string());
}

bool PlatformSite::awaitReady(std::size_t Relay) {
  return waitFor([&] {
    Request Call;
    Call.Url = "http://" + loopback(this->StatusPorts[Relay]) + "/ready";
    return send(Call).Status == 200;
  });
}

void PlatformSite::awaitTargets(std::size_t Relay, std::size_t Count) {
  Request Call;
  Call.Url = "http://" + loopback(this->StatusPorts[Relay]) + "/metrics";
  const std::string Expected = "relay_targets " + std::to_string(Count) + "\n";
  if (!waitFor(
          [&] { return send(Call).Body.find(Expected) != std::string::npos; }))
    throw std::runtime_error("relay does not know the expected targets");
}

Response PlatformSite::sendPlain(const std::string &Id) {
  return this->sendCall("/plain/x", Id, "", 0);
}

Response PlatformSite::sendCall(const std::string &Path, const std::string &Id,
                                const std::string &Body, std::size_t Relay) {
  Request Call;
  if (!Body.empty())
    Call.Method = "POST";
  Call.Url = "http://" + loopback(this->CallerPorts[Relay]) + Path;
  Call.Headers = {std::string("Host: ") + Host, "Request-Id: " + Id,
                  "Time-Remaining: 4000"};
  Call.Body = Body;
  return send(Call);
}

Response PlatformSite::sendTurn(const TurnRequest &Turn, std::size_t Relay) {
  Request Call;
  Call.Method = "POST";
  Call.Url = "http://" + loopback(this->CallerPorts[Relay]) + "/turn/x";
  Call.Headers = {std::string("Host: ") + Host,
                  "Request-Id: " + Turn.Id,
                  "Time-Remaining: " + std::to_string(Turn.TimeLeftMillis),
                  "Program-Id: " + Turn.Program,
                  "Session-Id: s",
                  "Token-Usage: 100," + std::to_string(MaxTurnTokens),
                  "Token-Budget: " + std::to_string(Turn.Budget)};
  if (!Turn.Previous.empty())
    Call.Headers.push_back("Previous-Turn: " + Turn.Previous);
  Call.Body = Turn.Input;
  return send(Call);
}

Response PlatformSite::sendTurn(const std::string &Id,
                                const std::string &Previous,
                                const std::string &Input, int Budget) {
  return this->sendTurn(TurnRequest{Id, "p", Previous, Input, Budget});
}

Response PlatformSite::sendTurnUntilServed(const std::string &Id,
                                           const std::string &Previous,
                                           const std::string &Input) {
  Response Result;
  int Attempt = 0;
  waitFor([&] {
    Result =
        this->sendTurn(Id + "-" + std::to_string(Attempt++), Previous, Input);
    return Result.Status != 503 && Result.Status != 0;
  });
  return Result;
}

} // namespace tanagerlanding::test
