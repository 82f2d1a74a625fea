/// \file
/// Stand-in for a plain service with non-idempotent calls.
///
/// A request to any path is counted as a run under its body; ?delay_ms=N delays
/// the run before it is counted, ?linger_ms=N delays the response afterwards.
/// GET /executions returns the counts, GET /starts those of runs that have
/// begun, delayed ones included; /crash ends the process.
#include "StandinServer.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>
#include <mutex>
#include <thread>

using namespace tanagerlanding::standin;
using Json = nlohmann::json;

namespace {

constexpr int ServerThreads = 32;

/// How often the run of each body was begun and counted.
struct Executions {
  std::mutex Lock;
  std::map<std::string, int> Starts;
  std::map<std::string, int> Counts;
};

void delay(const Pistache::Http::Request &Request, const char *Name) {
  const auto Millis = Request.query().get(Name);
  if (Millis)
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(*Millis)));
}

void handle(Executions &State, const Pistache::Http::Request &Request,
            Pistache::Http::ResponseWriter &Response) {
  if (Request.resource() == "/health") {
    sendJson(Response, 200, "{}");
    return;
  }
  if (Request.resource() == "/executions") {
    const std::lock_guard<std::mutex> Guard(State.Lock);
    sendJson(Response, 200, Json(State.Counts).dump());
    return;
  }
  if (Request.resource() == "/starts") {
    const std::lock_guard<std::mutex> Guard(State.Lock);
    sendJson(Response, 200, Json(State.Starts).dump());
    return;
  }
  if (Request.resource() == "/crash")
    std::_Exit(1);
  {
    const std::lock_guard<std::mutex> Guard(State.Lock);
    ++State.Starts[Request.body()];
  }
  delay(Request, "delay_ms");
  int RunCount = 0;
  {
    const std::lock_guard<std::mutex> Guard(State.Lock);
    RunCount = ++State.Counts[Request.body()];
  }
  delay(Request, "linger_ms");
  sendJson(Response, 200,
           Json({{"body", Request.body()}, {"times", RunCount}}).dump());
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "usage: " << Arguments[0] << " PORT\n";
    return 2;
  }
  Executions State;
  serve(static_cast<std::uint16_t>(std::stoi(Arguments[1])), ServerThreads,
        [&](const auto &Request, auto &Response) {
          handle(State, Request, Response);
        });
  return 0;
}
