/// \file
/// Stand-in for a model engine with continuous batching and a prefix cache of
/// limited size. It has no priorities and admits all requests.
///
/// A request whose last message contains CRASH ends the process, one with HANG
/// never completes, and one with SHORT ends its stream without the end marker.
/// "tokens=N" in the last message sets the length of the response in tokens.
/// The response repeats the last message and the number of messages, so that a
/// caller can recognize its own. GET /stats returns counters and the cached
/// prefixes.
#include "StandinServer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <list>
#include <map>
#include <mutex>
#include <thread>

using namespace tanagerlanding::standin;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int ServerThreads = 80;
constexpr std::uint64_t DefaultTokens = 8;
constexpr std::chrono::microseconds StepBase{2600};
constexpr std::chrono::microseconds StepPerSequence{60};
constexpr double PrefillMicrosPerByte = 5;
constexpr std::size_t CacheBytes = 4 * 1024 * 1024;

/// One request in the batch.
struct Sequence {
  std::uint64_t Wanted = 0;
  std::uint64_t Made = 0;
  double PrefillMicros = 0;
};

/// A prefix in the cache.
struct Prefix {
  std::size_t Bytes = 0;
  Clock::time_point LastUsed;
  bool WasReused = false;
};

/// The batch, the cache and the counters.
class Engine {
public:
  explicit Engine(double Speed) : Speed(Speed) {
    std::thread([this] { this->run(); }).detach();
  }

  std::list<Sequence>::iterator admit(const Sequence &Fresh) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    ++this->Requests;
    this->Batch.push_back(Fresh);
    this->HasWork.notify_all();
    return std::prev(this->Batch.end());
  }

  /// Waits until more than Known tokens are generated. Returns the number
  /// generated.
  std::uint64_t awaitProgress(std::list<Sequence>::iterator Own,
                              std::uint64_t Known) {
    std::unique_lock<std::mutex> Guard(this->Lock);
    this->HasProgress.wait(Guard, [&] { return Own->Made > Known; });
    return Own->Made;
  }

  void leave(std::list<Sequence>::iterator Own) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Batch.erase(Own);
  }

  /// Caches a prompt of this size under Name. Returns the bytes that are not
  /// cached yet and must be computed.
  std::size_t usePrefix(const std::string &Name, std::size_t Bytes) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    Prefix &Kept = this->Cache[Name];
    const std::size_t Known = std::min(Kept.Bytes, Bytes);
    if (Known > 0) {
      Kept.WasReused = true;
      this->ReusedBytes += Known;
    }
    this->ComputedBytes += Bytes - Known;
    this->charge(Kept);
    Kept.Bytes = Bytes;
    this->evict(Name);
    return Bytes - Known;
  }

  void release(const std::vector<std::string> &Names) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    for (const std::string &Name : Names) {
      const auto Found = this->Cache.find(Name);
      if (Found == this->Cache.end())
        continue;
      this->drop(Found);
    }
  }

  Json stats() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    Json Held = Json::array();
    for (auto &[Name, Kept] : this->Cache)
      Held.push_back(Name);
    return {{"status", "ok"},
            {"held_prefixes", Held},
            {"requests", this->Requests},
            {"running", this->Batch.size()},
            {"reused_bytes", this->ReusedBytes},
            {"computed_bytes", this->ComputedBytes},
            {"wasted_byte_seconds", this->WastedByteSeconds}};
  }

private:
  void run() {
    for (;;) {
      std::unique_lock<std::mutex> Guard(this->Lock);
      this->HasWork.wait(Guard, [this] { return !this->Batch.empty(); });
      double Micros = static_cast<double>(StepBase.count()) +
                      static_cast<double>(StepPerSequence.count()) *
                          static_cast<double>(this->Batch.size());
      for (Sequence &Each : this->Batch) {
        Micros += Each.PrefillMicros;
        Each.PrefillMicros = 0;
      }
      Guard.unlock();
      std::this_thread::sleep_for(
          std::chrono::microseconds(static_cast<long>(Micros / this->Speed)));
      Guard.lock();
      for (Sequence &Each : this->Batch) {
        if (Each.Made < Each.Wanted)
          ++Each.Made;
      }
      this->HasProgress.notify_all();
    }
  }

  /// Marks a prefix as used. drop() counts memory held since the last use as
  /// wasted.
  void charge(Prefix &Kept) { Kept.LastUsed = Clock::now(); }

  void drop(std::map<std::string, Prefix>::iterator Found) {
    const std::chrono::duration<double> Idle =
        Clock::now() - Found->second.LastUsed;
    this->WastedByteSeconds +=
        static_cast<double>(Found->second.Bytes) * Idle.count();
    this->Cache.erase(Found);
  }

  void evict(const std::string &Keep) {
    for (;;) {
      std::size_t Total = 0;
      auto Oldest = this->Cache.end();
      for (auto Item = this->Cache.begin(); Item != this->Cache.end(); ++Item) {
        Total += Item->second.Bytes;
        const bool IsOlder = Oldest == this->Cache.end() ||
                             Item->second.LastUsed < Oldest->second.LastUsed;
        if (Item->first != Keep && IsOlder)
          Oldest = Item;
      }
      if (Total <= CacheBytes || Oldest == this->Cache.end())
        return;
      this->drop(Oldest);
    }
  }

  const double Speed;
  std::mutex Lock;
  std::condition_variable HasWork;
  std::condition_variable HasProgress;
  std::list<Sequence> Batch;
  std::map<std::string, Prefix> Cache;
  std::uint64_t Requests = 0;
  std::uint64_t ReusedBytes = 0;
  std::uint64_t ComputedBytes = 0;
  double WastedByteSeconds = 0;
};

/// Returns the response length that the message requests, 1 to Most tokens.
std::uint64_t wantedTokens(const std::string &Content, std::uint64_t Most) {
  const std::string Mark = "tokens=";
  const std::size_t Start = Content.find(Mark);
  std::uint64_t Wanted = DefaultTokens;
  if (Start != std::string::npos)
    Wanted = std::strtoull(Content.c_str() + Start + Mark.size(), nullptr, 10);
  return std::max<std::uint64_t>(1, std::min(Wanted, Most));
}

/// Returns token Index of a response of Count tokens.
std::string tokenText(const std::string &Answer, std::uint64_t Index,
                      std::uint64_t Count) {
  if (Index == 0)
    return Answer;
  return Index + 1 == Count ? " end" : " t" + std::to_string(Index);
}

Json usage(std::uint64_t Tokens) { return {{"completion_tokens", Tokens}}; }

void streamAnswer(Engine &Model, std::list<Sequence>::iterator Own,
                  const std::string &Answer, std::uint64_t Count,
                  Pistache::Http::ResponseWriter &Response) {
  Response.setMime(
      Pistache::Http::Mime::MediaType::fromString("text/event-stream"));
  auto Stream = Response.stream(Pistache::Http::Code::Ok);
  const auto Write = [&](const std::string &Text) {
    Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
    Stream.flush();
  };
  std::uint64_t Sent = 0;
  while (Sent < Count) {
    const std::uint64_t Made = Model.awaitProgress(Own, Sent);
    for (; Sent < Made; ++Sent) {
      const Json Event = {
          {"object", "chat.completion.chunk"},
          {"model", "standin"},
          {"choices",
           {{{"index", 0},
             {"delta", {{"content", tokenText(Answer, Sent, Count)}}}}}}};
      Write("data: " + Event.dump() + "\n\n");
    }
  }
  const Json Last = {{"object", "chat.completion.chunk"},
                     {"model", "standin"},
                     {"choices", Json::array()},
                     {"usage", usage(Count)}};
  if (Answer.find("SHORT") == std::string::npos)
    Write("data: " + Last.dump() + "\n\ndata: [DONE]\n\n");
  Stream.ends();
}

void wholeAnswer(Engine &Model, std::list<Sequence>::iterator Own,
                 const std::string &Answer, std::uint64_t Count,
                 Pistache::Http::ResponseWriter &Response) {
  std::string Content;
  std::uint64_t Made = 0;
  while (Made < Count)
    Made = Model.awaitProgress(Own, Made);
  for (std::uint64_t Index = 0; Index < Count; ++Index)
    Content += tokenText(Answer, Index, Count);
  const Json Body = {
      {"object", "chat.completion"},
      {"model", "standin"},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", Content}}},
         {"finish_reason", "stop"}}}},
      {"usage", usage(Count)}};
  sendJson(Response, 200, Body.dump());
}

void complete(Engine &Model, const Json &Body,
              Pistache::Http::ResponseWriter &Response) {
  const Json &Messages = Body.at("messages");
  const std::string Last = Messages.back().value("content", "");
  if (Last.find("CRASH") != std::string::npos)
    std::_Exit(1);
  while (Last.find("HANG") != std::string::npos)
    std::this_thread::sleep_for(std::chrono::seconds(1));

  Sequence Fresh;
  Fresh.Wanted = wantedTokens(Last, Body.value("max_tokens", DefaultTokens));
  const std::size_t Bytes = Messages.dump().size();
  Fresh.PrefillMicros =
      PrefillMicrosPerByte *
      static_cast<double>(Model.usePrefix(Body.value("user", ""), Bytes));
  const std::string Answer =
      "re[" + std::to_string(Messages.size()) + "]: " + Last;
  const auto Own = Model.admit(Fresh);
  if (Body.value("stream", false))
    streamAnswer(Model, Own, Answer, Fresh.Wanted, Response);
  else
    wholeAnswer(Model, Own, Answer, Fresh.Wanted, Response);
  Model.leave(Own);
}

void handle(Engine &Model, const Pistache::Http::Request &Request,
            Pistache::Http::ResponseWriter &Response) {
  const Json Body = Json::parse(Request.body(), nullptr, false);
  if (Request.resource() == "/health" || Request.resource() == "/stats") {
    sendJson(Response, 200, Model.stats().dump());
    return;
  }
  if (Request.resource() == "/cache/release") {
    Model.release(Body.value("prefixes", std::vector<std::string>()));
    sendJson(Response, 200, "{}");
    return;
  }
  if (!Body.is_object() || !Body.contains("messages")) {
    sendJson(Response, 400, "{}");
    return;
  }
  complete(Model, Body, Response);
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 2) {
    std::cerr << "usage: " << Arguments[0] << " PORT [SPEED]\n";
    return 2;
  }
  Engine Model(Count > 2 ? std::stod(Arguments[2]) : 1.0);
  serve(static_cast<std::uint16_t>(std::stoi(Arguments[1])), ServerThreads,
        [&](const auto &Request, auto &Response) {
          handle(Model, Request, Response);
        });
  return 0;
}
