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
  std::uint64_t RequestedTokens = 0;
  std::uint64_t GeneratedTokens = 0;
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

  std::list<Sequence>::iterator admit(const Sequence &NewSequence) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    ++this->Requests;
    this->Batch.push_back(NewSequence);
    this->HasWork.notify_all();
    return std::prev(this->Batch.end());
  }

  /// Waits until more than KnownTokens tokens are generated. Returns the number
  /// generated.
  std::uint64_t awaitProgress(std::list<Sequence>::iterator Position,
                              std::uint64_t KnownTokens) {
    std::unique_lock<std::mutex> Guard(this->Lock);
    this->HasProgress.wait(
        Guard, [&] { return Position->GeneratedTokens > KnownTokens; });
    return Position->GeneratedTokens;
  }

  void removeSequence(std::list<Sequence>::iterator Position) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Batch.erase(Position);
  }

  /// Caches a prompt of this size under Name. Returns the bytes that are not
  /// cached yet and must be computed.
  std::size_t usePrefix(const std::string &Name, std::size_t Bytes) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    Prefix &Cached = this->Cache[Name];
    const std::size_t CachedBytes = std::min(Cached.Bytes, Bytes);
    if (CachedBytes > 0) {
      Cached.WasReused = true;
      this->ReusedBytes += CachedBytes;
    }
    this->ComputedBytes += Bytes - CachedBytes;
    this->touch(Cached);
    Cached.Bytes = Bytes;
    this->evict(Name);
    return Bytes - CachedBytes;
  }

  void release(const std::vector<std::string> &Names) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    for (const std::string &Name : Names) {
      const auto Found = this->Cache.find(Name);
      if (Found == this->Cache.end())
        continue;
      this->removePrefix(Found);
    }
  }

  Json stats() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    Json Held = Json::array();
    for (auto &[Name, Cached] : this->Cache)
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
        if (Each.GeneratedTokens < Each.RequestedTokens)
          ++Each.GeneratedTokens;
      }
      this->HasProgress.notify_all();
    }
  }

  /// Marks a prefix as used. removePrefix() counts memory held since the last
  /// use as wasted.
  void touch(Prefix &Cached) { Cached.LastUsed = Clock::now(); }

  void removePrefix(std::map<std::string, Prefix>::iterator Found) {
    const std::chrono::duration<double> Idle =
        Clock::now() - Found->second.LastUsed;
    this->WastedByteSeconds +=
        static_cast<double>(Found->second.Bytes) * Idle.count();
    this->Cache.erase(Found);
  }

  void evict(const std::string &KeptName) {
    for (;;) {
      std::size_t Total = 0;
      auto Oldest = this->Cache.end();
      for (auto Item = this->Cache.begin(); Item != this->Cache.end(); ++Item) {
        Total += Item->second.Bytes;
        const bool IsOlder = Oldest == this->Cache.end() ||
                             Item->second.LastUsed < Oldest->second.LastUsed;
        if (Item->first != KeptName && IsOlder)
          Oldest = Item;
      }
      if (Total <= CacheBytes || Oldest == this->Cache.end())
        return;
      this->removePrefix(Oldest);
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

/// Returns the response length that the message requests, 1 to MaxTokens
/// tokens.
std::uint64_t requestedTokens(const std::string &Content,
                              std::uint64_t MaxTokens) {
  const std::string Mark = "tokens=";
  const std::size_t Start = Content.find(Mark);
  std::uint64_t RequestedTokens = DefaultTokens;
  if (Start != std::string::npos)
    RequestedTokens =
        std::strtoull(Content.c_str() + Start + Mark.size(), nullptr, 10);
  return std::max<std::uint64_t>(1, std::min(RequestedTokens, MaxTokens));
}

/// Returns token Index of a response of Count tokens.
std::string tokenText(const std::string &Answer, std::uint64_t Index,
                      std::uint64_t Count) {
  if (Index == 0)
    return Answer;
  return Index + 1 == Count ? " end" : " t" + std::to_string(Index);
}

Json usage(std::uint64_t Tokens) { return {{"completion_tokens", Tokens}}; }

void sendStream(Engine &Model, std::list<Sequence>::iterator Position,
                const std::string &Answer, std::uint64_t Count,
                Pistache::Http::ResponseWriter &Response) {
  Response.setMime(
      Pistache::Http::Mime::MediaType::fromString("text/event-stream"));
  auto Stream = Response.stream(Pistache::Http::Code::Ok);
  const auto Write = [&](const std::string &Text) {
    Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
    Stream.flush();
  };
  std::uint64_t SentTokens = 0;
  while (SentTokens < Count) {
    const std::uint64_t GeneratedTokens =
        Model.awaitProgress(Position, SentTokens);
    for (; SentTokens < GeneratedTokens; ++SentTokens) {
      const Json Event = {
          {"object", "chat.completion.chunk"},
          {"model", "standin"},
          {"choices",
           {{{"index", 0},
             {"delta", {{"content", tokenText(Answer, SentTokens, Count)}}}}}}};
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

void sendUnstreamed(Engine &Model, std::list<Sequence>::iterator Position,
                    const std::string &Answer, std::uint64_t Count,
                    Pistache::Http::ResponseWriter &Response) {
  std::string Content;
  std::uint64_t GeneratedTokens = 0;
  while (GeneratedTokens < Count)
    GeneratedTokens = Model.awaitProgress(Position, GeneratedTokens);
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

  Sequence NewSequence;
  NewSequence.RequestedTokens =
      requestedTokens(Last, Body.value("max_tokens", DefaultTokens));
  const std::size_t Bytes = Messages.dump().size();
  NewSequence.PrefillMicros =
      PrefillMicrosPerByte *
      static_cast<double>(Model.usePrefix(Body.value("user", ""), Bytes));
  const std::string Answer =
      "re[" + std::to_string(Messages.size()) + "]: " + Last;
  const auto Position = Model.admit(NewSequence);
  if (Body.value("stream", false))
    sendStream(Model, Position, Answer, NewSequence.RequestedTokens, Response);
  else
    sendUnstreamed(Model, Position, Answer, NewSequence.RequestedTokens,
                   Response);
  Model.removeSequence(Position);
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
