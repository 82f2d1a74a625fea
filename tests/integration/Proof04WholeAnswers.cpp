/// \file
/// A caller gets the complete response to its own request, or a typed error.
/// Guards against truncated, mixed-up or falsely complete streams when callers
/// disconnect, connections break or an engine ends its response early.
#include "Site.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <future>
#include <thread>

using namespace tanagerlanding::test;

namespace {

/// Returns a description of a wrong streamed response, or an empty string. An
/// incomplete stream must end in a typed error.
std::string describeFault(const Response &Result, const std::string &Content) {
  if (Result.isCompleteStream()) {
    const std::string Text = Result.streamedContent();
    const bool IsOwn = Text.find(": " + Content + " ") != std::string::npos;
    const bool HasEnd =
        Text.size() > 4 && Text.compare(Text.size() - 4, 4, " end") == 0;
    return IsOwn && HasEnd ? std::string()
                           : "wrong or truncated stream: " + Result.Body;
  }
  const bool IsTyped =
      Result.Body.find("event: error\n") != std::string::npos ||
      !Result.errorCode().empty();
  return IsTyped ? std::string()
                 : "neither a complete stream nor a typed error: " +
                       std::to_string(Result.Status) + " " + Result.Body;
}

std::size_t countDescriptors(const ChildProcess &Process) {
  std::size_t Count = 0;
  for (const auto &Each : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(Process.pid()) + "/fd")) {
    static_cast<void>(Each);
    ++Count;
  }
  return Count;
}

/// Streams one response for each of Count programs at once through entry 0.
std::vector<std::future<std::string>>
streamMany(Site &Deployment, unsigned Count, const std::string &Round) {
  std::vector<std::future<std::string>> Callers;
  for (unsigned Number = 0; Number < Count; ++Number)
    Callers.push_back(std::async(std::launch::async, [&, Number, Round] {
      const std::string Name = Round + "-" + std::to_string(Number);
      const std::string Content = "own " + Name + " tokens=24";
      return describeFault(send(chatRequest(Deployment.httpPort(0),
                                            Program{Name}, Content, "k", true)),
                           Content);
    }));
  return Callers;
}

} // namespace

TEST_CASE("Proof04: 64 streams at once, with callers that disconnect") {
  Site Deployment(SiteOptions().withEngineCapacity(40));
  const ChildProcess &Entry = Deployment.process("entry-0");
  REQUIRE_THAT(streamMany(Deployment, 4, "warm")[0].get(),
               Catch::Matchers::Equals(""));
  const std::size_t Before = countDescriptors(Entry);

  std::atomic<bool> IsOver{false};
  std::vector<std::thread> DisconnectingCallers;
  for (unsigned Caller = 0; Caller < 6; ++Caller)
    DisconnectingCallers.emplace_back([&, Caller] {
      for (unsigned Number = 0; !IsOver; ++Number) {
        Request Call = chatRequest(Deployment.httpPort(0),
                                   Program{"gone-" + std::to_string(Caller) +
                                           "-" + std::to_string(Number)},
                                   "gone tokens=24", "k", true);
        Call.DisconnectAfterBytes = 200;
        send(Call);
      }
    });
  auto Callers = streamMany(Deployment, 64, "stream");
  for (auto &Each : Callers)
    CHECK_THAT(Each.get(), Catch::Matchers::Equals(""));
  IsOver = true;
  for (std::thread &Each : DisconnectingCallers)
    Each.join();
  CHECK(waitFor([&] { return countDescriptors(Entry) <= Before; }));
}

TEST_CASE("Proof04: connections to targets and sidecars are cut continually") {
  Site Deployment(SiteOptions().withEngineCapacity(40));
  std::atomic<bool> IsOver{false};
  std::thread Faults([&] {
    const char *const Names[] = {"engine-0-target", "engine-1", "entry-1",
                                 "engine-1-target", "engine-0", "entry-2"};
    for (unsigned Round = 0; !IsOver; ++Round) {
      Deployment.proxy(Names[Round % 6]).closeConnections();
      std::this_thread::sleep_for(std::chrono::milliseconds(40));
    }
  });
  for (int Round = 0; Round < 4; ++Round) {
    auto Callers = streamMany(Deployment, 24, "cut-" + std::to_string(Round));
    for (auto &Each : Callers)
      CHECK_THAT(Each.get(), Catch::Matchers::Equals(""));
  }
  IsOver = true;
  Faults.join();
}

TEST_CASE("Proof04: a stream cut by its engine never looks complete") {
  Site Deployment(SiteOptions().withEngines(1));
  Deployment.proxy("engine-0-target").setCloseAfterResponseBytes(700);
  const Response Result = send(chatRequest(
      Deployment.httpPort(0), Program{"log-1"}, "long tokens=60", "k1", true));
  CHECK_FALSE(Result.isCompleteStream());
  CHECK(Result.Body.find("event: error\n") != std::string::npos);
  CHECK(Result.Body.find("\"stream_cut\"") != std::string::npos);
  Deployment.proxy("engine-0-target").setCloseAfterResponseBytes(0);
  const Response Repeated = sendWithRetry(chatRequest(
      Deployment.httpPort(0), Program{"log-1"}, "long tokens=60", "k1", true));
  CHECK(Repeated.isCompleteStream());
  CHECK(Repeated.streamedContent().find("re[1]: long") == 0);
}

TEST_CASE("Proof04: a stream without its end marker is not complete") {
  Site Deployment;
  const Response Result = send(chatRequest(
      Deployment.httpPort(0), Program{"log-1"}, "SHORT tokens=20", "k1", true));
  CHECK_FALSE(Result.isCompleteStream());
  CHECK(Result.Body.find("event: error\n") != std::string::npos);
}

TEST_CASE("Proof04: an unstreamed response cut by its engine is retried") {
  Site Deployment;
  Deployment.proxy("engine-0-target").setCloseAfterResponseBytes(1);
  for (int Round = 0; Round < 6; ++Round) {
    const std::string Name = "log-" + std::to_string(Round);
    const Response Result = sendWithRetry(chatRequest(
        Deployment.httpPort(0), Program{Name}, "own " + Name, "k1"));
    CHECK(Result.content().find("re[1]: own " + Name) == 0);
  }
}

TEST_CASE("Proof04: malformed requests get typed errors and crash no process") {
  Site Deployment;
  const Program Log{"log-1"};
  Request Call = chatRequest(Deployment.httpPort(0), Log, "hello", "k1");
  const Request Good = Call;

  Call.Body = "{\"model\": \"trail-llm\", \"messages\": [";
  CHECK(send(Call).errorCode() == "malformed_request");
  Call.Body = "{\"model\": \"no-such-model\", \"messages\": [{\"role\": "
              "\"user\", \"content\": \"hello\"}]}";
  CHECK(send(Call).errorCode() == "unknown_service");
  Call = Good;
  Call.Headers[1] = "Tanager-Program: ../etc";
  CHECK(send(Call).errorCode() == "malformed_request");
  Call = Good;
  Call.Headers.resize(3);
  Call.Headers[1] = "Tanager-Program: unbudgeted";
  CHECK(send(Call).errorCode() == "missing_budget");
  CHECK(send(Good).Status == 200);
  Call = chatRequest(Deployment.httpPort(1), Program{"log-1", "team-b"},
                     "hello", "k2");
  CHECK(send(Call).errorCode() == "foreign_program");
  Call = Good;
  Call.Body = std::string(9 * 1024 * 1024, 'x');
  CHECK(send(Call).Status == 413);
  for (int Round = 0; Round < 20; ++Round) {
    Call = chatRequest(Deployment.httpPort(0),
                       Program{"gone-" + std::to_string(Round)}, "tokens=60",
                       "k", true);
    Call.DisconnectAfterBytes = 1;
    send(Call);
  }
  CHECK(send(chatRequest(Deployment.httpPort(0), Log, "again", "k3")).Status ==
        200);
}
