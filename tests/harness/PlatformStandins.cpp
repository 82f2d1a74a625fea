#include "PlatformStandins.h"

#include "tanagerlanding/keyvalue.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>

namespace tanagerlanding::test {

namespace {

using Json = nlohmann::json;
using boost::asio::ip::tcp;
namespace http = boost::beast::http;

constexpr int EventsPerTurn = 3;

void sendAnswer(tcp::socket &Caller, int Status, const std::string &Headers,
                const std::string &Body) {
  const std::string Message =
      "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  boost::system::error_code Ignored;
  boost::asio::write(Caller, boost::asio::buffer(Message), Ignored);
}

/// Returns a query parameter, or an empty string if it is missing. Values are
/// not percent-decoded, as those of the tests need no decoding.
std::string queryValue(const std::string &Target, const std::string &Name) {
  const std::size_t Start = Target.find(Name + "=");
  if (Start == std::string::npos)
    return {};
  const std::size_t ValueStart = Start + Name.size() + 1;
  return Target.substr(ValueStart, Target.find('&', ValueStart) - ValueStart);
}

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

} // namespace

BlockingServer::BlockingServer(Handler Answer)
    : Answer(std::move(Answer)),
      Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}),
      Port(Acceptor.local_endpoint().port()),
      Listener([this] { this->accept(); }) {}

BlockingServer::~BlockingServer() {
  this->IsStopping = true;
  this->pause();
  // Unblocks the pending accept call.
  boost::system::error_code Ignored;
  tcp::socket Waker(this->Context);
  Waker.connect({boost::asio::ip::address_v4::loopback(), this->Port}, Ignored);
  this->Listener.join();
  this->pause();
  for (std::thread &Each : this->ConnectionThreads)
    Each.join();
}

void BlockingServer::accept() {
  while (!this->IsStopping) {
    auto Caller = std::make_shared<Socket>(this->Context);
    boost::system::error_code Error;
    this->Acceptor.accept(*Caller, Error);
    if (this->HasCrashed)
      return;
    if (Error || this->IsPaused || this->IsStopping)
      continue;
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Connections.push_back(Caller);
    this->ConnectionThreads.emplace_back(
        [this, Caller] { this->serve(Caller); });
  }
}

void BlockingServer::serve(const std::shared_ptr<Socket> &Caller) {
  boost::beast::flat_buffer Input;
  for (;;) {
    Request Call;
    boost::system::error_code Error;
    http::read(*Caller, Input, Call, Error);
    if (Error || !this->Answer(Call, *Caller))
      break;
  }
  boost::system::error_code Ignored;
  Caller->shutdown(tcp::socket::shutdown_both, Ignored);
}

void BlockingServer::pause() {
  this->IsPaused = true;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  boost::system::error_code Ignored;
  for (const auto &Each : this->Connections)
    Each->shutdown(tcp::socket::shutdown_both, Ignored);
}

void BlockingServer::crash() {
  this->HasCrashed = true;
  // Ends the pending accept call too.
  ::shutdown(this->Acceptor.native_handle(), SHUT_RDWR);
  this->pause();
}

StoreStandin::StoreStandin()
    : Server(std::make_unique<BlockingServer>(
          [this](const auto &Call, auto &Caller) {
            return this->handle(Call, Caller);
          })) {}

// Ends pending watches.
StoreStandin::~StoreStandin() { this->setDown(true); }

bool StoreStandin::handle(const BlockingServer::Request &Call,
                          BlockingServer::Socket &Caller) {
  const std::string Target(Call.target());
  std::pair<int, std::string> Answer{404, "{}"};
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->expireLeases();
    if (this->IsDown)
      return false;
  }
  const std::string Prefix = queryValue(Target, "pathPrefix");
  if (startsWith(Target, "/kv-range"))
    Answer = {200, this->range(Prefix)};
  else if (startsWith(Target, "/kv-watch"))
    Answer = this->watch(Prefix, std::stoll(queryValue(Target, "after")),
                         std::stol(queryValue(Target, "waitMs")));
  else if (startsWith(Target, "/kv-txn"))
    Answer = this->transact(Call.body());
  else
    Answer = this->lease(Target, Call.body());
  sendAnswer(Caller, Answer.first, "Content-Type: application/json\r\n",
             Answer.second);
  return true;
}

std::string StoreStandin::range(const std::string &Prefix) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Json Found = Json::array();
  for (const auto &[Key, Each] : this->Items) {
    if (startsWith(Key, Prefix))
      Found.push_back({{"key", Key},
                       {"value", encodeBase64(Each.Value)},
                       {"revision", Each.Revision}});
  }
  const Json Body = {
      {"items", Found}, {"hasMore", false}, {"asOf", this->Revision}};
  return Body.dump();
}

std::pair<int, std::string> StoreStandin::watch(const std::string &Prefix,
                                                std::int64_t After,
                                                long WaitMillis) {
  std::unique_lock<std::mutex> Guard(this->Lock);
  if (After < this->CompactedRevision)
    return {410, "{}"};
  Json Events = Json::array();
  const auto CollectEvents = [&] {
    for (const Change &Each : this->History) {
      if (Each.Revision <= After || !startsWith(Each.Key, Prefix))
        continue;
      Json Event = {{"key", Each.Key}, {"revision", Each.Revision}};
      const auto Found = this->Items.find(Each.Key);
      if (Each.IsDeleted || Found == this->Items.end())
        Event["deleted"] = true;
      else
        Event["value"] = encodeBase64(Found->second.Value);
      Events.push_back(Event);
    }
    return !Events.empty() || this->IsDown || After < this->CompactedRevision;
  };
  // A pending watch also ends when the store goes down or is compacted.
  this->Changed.wait_for(Guard, std::chrono::milliseconds(WaitMillis),
                         CollectEvents);
  if (this->IsDown)
    return {503, "{}"};
  if (After < this->CompactedRevision)
    return {410, "{}"};
  const Json Body = {{"events", Events}, {"asOf", this->Revision}};
  return {200, Body.dump()};
}

std::pair<int, std::string> StoreStandin::transact(const std::string &Body) {
  const Json Transaction = Json::parse(Body);
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const Json &Each : Transaction["expectedRevision"]) {
    const std::string Key = Each["key"];
    const auto Found = this->Items.find(Key);
    const std::int64_t CurrentRevision =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    if (CurrentRevision != Each["revision"].get<std::int64_t>())
      return {412, R"({"items":[]})"};
  }
  for (const Json &Each : Transaction["setKeys"]) {
    const std::int64_t Lease = Each.value("lease", std::int64_t{0});
    if (Lease != 0 && this->Leases.count(Lease) == 0)
      return {404, "{}"};
    const std::string Value =
        decodeBase64(Each["value"].get<std::string>()).value();
    this->write(Each["key"], Item{Value, 0, Lease});
  }
  const Json Answer = {{"revision", this->Revision}};
  return {200, Answer.dump()};
}

std::pair<int, std::string> StoreStandin::lease(const std::string &Target,
                                                const std::string &Body) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Now = std::chrono::steady_clock::now();
  if (Target == "/kv-lease") {
    const std::chrono::milliseconds Ttl(Json::parse(Body)["ttlMs"]);
    const std::int64_t Id = this->NextLease++;
    this->Leases[Id] = {Ttl, Now + Ttl};
    const Json Answer = {{"lease", Id}, {"ttlMs", Ttl.count()}};
    return {200, Answer.dump()};
  }
  const std::string RenewalPath = "/kv-keep/";
  if (!startsWith(Target, RenewalPath))
    return {404, "{}"};
  const auto Found =
      this->Leases.find(std::stoll(Target.substr(RenewalPath.size())));
  if (Found == this->Leases.end())
    return {404, "{}"};
  Found->second.second = Now + Found->second.first;
  const Json Answer = {{"ttlMs", Found->second.first.count()}};
  return {200, Answer.dump()};
}

void StoreStandin::write(const std::string &Key, Item NewItem) {
  NewItem.Revision = ++this->Revision;
  this->Items[Key] = std::move(NewItem);
  this->History.push_back(Change{Key, this->Revision, false});
  this->Changed.notify_all();
}

void StoreStandin::erase(const std::string &Key) {
  if (this->Items.erase(Key) == 0)
    return;
  this->History.push_back(Change{Key, ++this->Revision, true});
  this->Changed.notify_all();
}

void StoreStandin::expireLeases() {
  const auto Now = std::chrono::steady_clock::now();
  for (auto Each = this->Leases.begin(); Each != this->Leases.end();) {
    if (Now < Each->second.second) {
      ++Each;
      continue;
    }
    std::vector<std::string> ExpiredKeys;
    for (const auto &[Key, Item] : this->Items) {
      if (Item.Lease == Each->first)
        ExpiredKeys.push_back(Key);
    }
    for (const std::string &Key : ExpiredKeys)
      this->erase(Key);
    Each = this->Leases.erase(Each);
  }
}

void StoreStandin::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->write(Key, Item{Value, 0, 0});
}

void StoreStandin::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->erase(Key);
}

std::string StoreStandin::get(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? std::string() : Found->second.Value;
}

void StoreStandin::setDown(bool Down) {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->IsDown = Down;
    this->Changed.notify_all();
  }
  if (Down)
    this->Server->pause();
  else
    this->Server->resume();
}

void StoreStandin::compactHistory() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->History.clear();
  this->CompactedRevision = this->Revision;
  this->Changed.notify_all();
}

WorkerStandin::WorkerStandin(std::string Id, std::string CrashMark)
    : Id(std::move(Id)), CrashMark(std::move(CrashMark)),
      Server(std::make_unique<BlockingServer>(
          [this](const auto &Call, auto &Caller) {
            return this->handle(Call, Caller);
          })) {}

std::string WorkerStandin::registration(const std::string &Service,
                                        const std::string &State,
                                        const std::string &Version) const {
  const Json Entry = {{"service", Service},
                      {"address", "127.0.0.1:" + std::to_string(this->port())},
                      {"zone", "z"},
                      {"version", Version},
                      {"slots", 4},
                      {"state", State},
                      {"coldRemainingMs", 0},
                      {"sequence", 1}};
  return Entry.dump();
}

std::vector<WorkerStandin::Run> WorkerStandin::runs() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Runs;
}

std::vector<std::string> WorkerStandin::bodies() {
  std::vector<std::string> Bodies;
  for (const Run &Each : this->runs())
    Bodies.push_back(Each.Body);
  return Bodies;
}

void WorkerStandin::nameLimit(const std::string &PerSecond) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Limit = PerSecond;
}

std::string WorkerStandin::namedLimit() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Limit;
}

void WorkerStandin::crash() {
  this->HasCrashed = true;
  this->Server->crash();
}

bool WorkerStandin::handle(const BlockingServer::Request &Call,
                           BlockingServer::Socket &Caller) {
  std::string Head = "Request-Id: " + std::string(Call["Request-Id"]) +
                     "\r\nResponse-Signature: s\r\n";
  if (const std::string Named = this->namedLimit(); !Named.empty())
    Head += "Server-Limit: " + Named + "\r\n";
  if (this->IsLeaving)
    Head += "Server-Leaving: 1\r\n";
  if (std::string(Call["Expect-Instance"]) != this->Id) {
    sendAnswer(Caller, 421, "Instance-Id: " + this->Id + "\r\n", "");
    return true;
  }
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Runs.push_back(
        Run{std::string(Call["Request-Id"]), std::string(Call.target()),
            Call.body(), std::chrono::steady_clock::now(),
            std::string(Call["Tenant"]), std::string(Call["Authorization"])});
  }
  const bool IsCrashing =
      Call.body() == this->CrashMark || Call.target() == this->CrashMark;
  if (!this->CrashMark.empty() && IsCrashing) {
    this->crash();
    return false;
  }
  std::this_thread::sleep_for(this->Delay.load());
  if (Call["Token-Usage"].empty()) {
    sendAnswer(Caller, 200, Head, "plain answer");
    return true;
  }
  boost::system::error_code Error;
  boost::asio::write(Caller,
                     boost::asio::buffer("HTTP/1.1 200 OK\r\n" + Head +
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n"),
                     Error);
  const std::string LastEventId(Call["Last-Event-Id"]);
  const int Start = LastEventId.empty() ? 0 : std::stoi(LastEventId);
  for (int Number = Start + 1; Number <= EventsPerTurn && !Error; ++Number) {
    if (Start == 0 && Number - 1 == this->CutAfter && this->CutAfter > 0)
      return false;
    const std::string Event = "id: " + std::to_string(Number) + "\ndata: e" +
                              std::to_string(Number) + "\n\n";
    char Size[16];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
    boost::asio::write(Caller, boost::asio::buffer(Size + Event + "\r\n"),
                       Error);
    std::this_thread::sleep_for(this->Delay.load());
  }
  if (!Error)
    boost::asio::write(Caller, boost::asio::buffer(std::string("0\r\n\r\n")),
                       Error);
  return !Error;
}

} // namespace tanagerlanding::test
