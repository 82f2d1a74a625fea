/// \file
/// Stand-in for the platform's key-value service: range and txn of the etcd v3
/// JSON gateway, with outages on request.
///
/// POST /control {"mode": "ok"|"down"|"slow"|"lose_answers"} sets the mode:
/// down refuses all calls, slow responds after 1 s, and lose_answers carries
/// out transactions but responds to them with an error. GET /control returns
/// the number of calls so far.
#include "tanagerlanding/keyvalue.h"
#include "StandinServer.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <mutex>
#include <thread>

using namespace tanagerlanding;
using namespace tanagerlanding::standin;
using Json = nlohmann::json;

namespace {

constexpr int ServerThreads = 8;
constexpr std::chrono::seconds SlowPause{1};

/// The stored items, the mode and the call counter. Lock guards all of them.
class Store {
public:
  Json range(const Json &Query) {
    const std::string Key = *decodeBase64(Query.value("key", ""));
    const std::string End = *decodeBase64(Query.value("range_end", ""));
    Json Found = Json::array();
    for (const auto &[Name, Item] : this->Items) {
      const bool IsInRange =
          End.empty() ? Name == Key : Name >= Key && Name < End;
      if (IsInRange)
        Found.push_back({{"key", encodeBase64(Name)},
                         {"value", encodeBase64(Item.first)},
                         {"mod_revision", std::to_string(Item.second)}});
    }
    return {{"header", this->header()}, {"kvs", Found}};
  }

  Json txn(const Json &Transaction) {
    bool IsMatch = true;
    for (const Json &Each : Transaction.value("compare", Json::array())) {
      const std::string Key = *decodeBase64(Each.value("key", ""));
      const auto Found = this->Items.find(Key);
      const std::int64_t CurrentRevision =
          Found == this->Items.end() ? 0 : Found->second.second;
      IsMatch = IsMatch && std::to_string(CurrentRevision) ==
                               Each.value("mod_revision", "0");
    }
    Json Responses = Json::array();
    for (const Json &Each :
         Transaction.value(IsMatch ? "success" : "failure", Json::array()))
      Responses.push_back(this->operation(Each));
    return {{"header", this->header()},
            {"succeeded", IsMatch},
            {"responses", Responses}};
  }

  std::mutex Lock;
  std::string Mode = "ok";
  std::uint64_t Calls = 0;

private:
  Json header() const { return {{"revision", std::to_string(this->Revision)}}; }

  Json operation(const Json &Each) {
    if (Each.contains("request_range"))
      return {{"response_range", this->range(Each["request_range"])}};
    const Json &Put = Each["request_put"];
    ++this->Revision;
    this->Items[*decodeBase64(Put.value("key", ""))] = {
        *decodeBase64(Put.value("value", "")), this->Revision};
    return {{"response_put", Json::object()}};
  }

  std::int64_t Revision = 1;
  std::map<std::string, std::pair<std::string, std::int64_t>> Items;
};

void handle(Store &State, const Pistache::Http::Request &Request,
            Pistache::Http::ResponseWriter &Response) {
  const Json Body = Json::parse(Request.body(), nullptr, false);
  std::unique_lock<std::mutex> Guard(State.Lock);
  if (Request.resource() == "/control") {
    if (Body.is_object())
      State.Mode = Body.value("mode", "ok");
    sendJson(Response, 200, Json({{"calls", State.Calls}}).dump());
    return;
  }
  if (Request.resource() == "/health") {
    sendJson(Response, 200, "{}");
    return;
  }
  ++State.Calls;
  if (State.Mode == "down") {
    sendJson(Response, 503, "{}");
    return;
  }
  const bool IsTxn = Request.resource() == "/v3/kv/txn";
  const Json Answer = IsTxn ? State.txn(Body) : State.range(Body);
  if (State.Mode == "lose_answers" && IsTxn) {
    sendJson(Response, 503, "{}");
    return;
  }
  const bool IsSlow = State.Mode == "slow";
  Guard.unlock();
  if (IsSlow)
    std::this_thread::sleep_for(SlowPause);
  sendJson(Response, 200, Answer.dump());
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: " << Arguments[0] << " PORT\n";
    return 2;
  }
  Store State;
  serve(static_cast<std::uint16_t>(std::stoi(Arguments[1])), ServerThreads,
        [&](const auto &Request, auto &Response) {
          handle(State, Request, Response);
        });
  return 0;
}
