/// \file
/// Measures the per-unit costs from which docs/CAPACITY.md is derived, with
/// real processes on loopback. Prints one line of key=value pairs per
/// measurement.
#include "ProcessUsage.h"
#include "Site.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

using namespace tanagerlanding::test;

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr unsigned CallerThreads = 24;
constexpr std::chrono::seconds IdleDuration{5};
constexpr std::chrono::milliseconds StatusUpdateWait{500};

double secondsSince(Clock::time_point Start) {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

double sentBytes(const Site &Deployment, unsigned Entry) {
  return Json::parse(Deployment.status(Entry))["sent_bytes"].get<double>();
}

/// Sends one service call for each of Count new programs. Returns the number of
/// calls that succeeded.
unsigned runPrograms(const Site &Deployment, unsigned Entries, unsigned Count,
                     const std::string &Name) {
  std::atomic<unsigned> Next{0};
  std::atomic<unsigned> Answered{0};
  std::vector<std::thread> Callers;
  for (unsigned Caller = 0; Caller < CallerThreads; ++Caller)
    Callers.emplace_back([&] {
      for (;;) {
        const unsigned Number = Next++;
        if (Number >= Count)
          return;
        const Program Sender{Name + "-" + std::to_string(Number)};
        const Response Result =
            send(serviceRequest(Deployment.httpPort(Number % Entries), Sender,
                                "/log", Sender.Id, "k1"));
        Answered += Result.Status == 200 ? 1 : 0;
      }
    });
  for (std::thread &Each : Callers)
    Each.join();
  return Answered;
}

/// Returns the CPU time of both sidecars of a kind, in seconds.
double sidecarCpu(Site &Deployment, const std::string &Kind) {
  return readUsage(Deployment.process(Kind + "-0").pid()).CpuSeconds +
         readUsage(Deployment.process(Kind + "-1").pid()).CpuSeconds;
}

double entryCpu(Site &Deployment, unsigned Entries) {
  double Total = 0;
  for (unsigned Entry = 0; Entry < Entries; ++Entry)
    Total +=
        readUsage(Deployment.process(Site::entryName(Entry)).pid()).CpuSeconds;
  return Total;
}

/// Measures the CPU time per streamed token.
void measureStreams() {
  for (const unsigned Streams : {4U, 8U, 16U, 32U}) {
    constexpr unsigned Tokens = 400;
    Site Deployment(SiteOptions().withEngineCapacity(64));
    const double EntryBefore = entryCpu(Deployment, 3);
    const double SidecarBefore = sidecarCpu(Deployment, "engine");
    std::vector<std::thread> Callers;
    for (unsigned Number = 0; Number < Streams; ++Number)
      Callers.emplace_back([&, Number] {
        Request Call =
            chatRequest(Deployment.httpPort(Number % 3),
                        Program{"stream-" + std::to_string(Number)},
                        "tokens=" + std::to_string(Tokens), "k1", true);
        const std::string Limit = "\"max_tokens\":64";
        Call.Body.replace(Call.Body.find(Limit), Limit.size(),
                          "\"max_tokens\":" + std::to_string(Tokens));
        send(Call);
      });
    for (std::thread &Each : Callers)
      Each.join();
    const double TotalTokens = static_cast<double>(Streams) * Tokens;
    std::cout << "measure=streams streams=" << Streams
              << " entry_cpu_us_per_token="
              << (entryCpu(Deployment, 3) - EntryBefore) * 1e6 / TotalTokens
              << " sidecar_cpu_us_per_token="
              << (sidecarCpu(Deployment, "engine") - SidecarBefore) * 1e6 /
                     TotalTokens
              << std::endl;
  }
}

/// Measures memory, CPU time and bytes sent against the number of programs.
void measurePrograms() {
  constexpr unsigned Entries = 3;
  for (const unsigned Count : {100U, 1000U, 5000U, 20000U}) {
    Site Deployment;
    runPrograms(Deployment, Entries, 50, "warm");
    std::vector<ProcessUsage> Before;
    double BytesBefore = 0;
    for (unsigned Entry = 0; Entry < Entries; ++Entry) {
      Before.push_back(
          readUsage(Deployment.process(Site::entryName(Entry)).pid()));
      BytesBefore += sentBytes(Deployment, Entry);
    }
    const double SidecarBefore = sidecarCpu(Deployment, "service");
    const auto Start = Clock::now();
    const unsigned Answered =
        runPrograms(Deployment, Entries, Count, "program");
    const double Elapsed = secondsSince(Start);
    // Entries update sent_bytes in their status only a few times a second.
    std::this_thread::sleep_for(StatusUpdateWait);
    double Cpu = 0;
    double Memory = 0;
    double Bytes = -BytesBefore;
    for (unsigned Entry = 0; Entry < Entries; ++Entry) {
      const ProcessUsage After =
          readUsage(Deployment.process(Site::entryName(Entry)).pid());
      Cpu += After.CpuSeconds - Before[Entry].CpuSeconds;
      Memory += After.ResidentMegabytes - Before[Entry].ResidentMegabytes;
      Bytes += sentBytes(Deployment, Entry);
    }
    const double SidecarAfter = sidecarCpu(Deployment, "service");
    const double Calls = Count;
    std::cout
        << "measure=programs count=" << Count << " answered=" << Answered
        << " calls_per_s=" << Calls / Elapsed
        << " entry_cpu_us_per_call=" << Cpu * 1e6 / Calls
        << " entry_kb_per_program=" << Memory * 1024 / Calls
        << " entry_bytes_sent_per_call=" << Bytes / Calls
        << " sidecar_cpu_us_per_call="
        << (SidecarAfter - SidecarBefore) * 1e6 / Calls << " sidecar_mb="
        << readUsage(Deployment.process("service-0").pid()).ResidentMegabytes
        << std::endl;
  }
}

/// Measures the resource usage of an idle deployment against its size.
void measureIdle(unsigned Entries, unsigned Sidecars) {
  Site Deployment(SiteOptions()
                      .withEntries(Entries)
                      .withEngines(Sidecars / 2)
                      .withServices(Sidecars - Sidecars / 2)
                      .withShards(16));
  const ProcessUsage EntryBefore =
      readUsage(Deployment.process("entry-0").pid());
  const ProcessUsage SidecarBefore =
      readUsage(Deployment.process("service-0").pid());
  const double BytesBefore = sentBytes(Deployment, 0);
  const std::uint64_t CallsBefore = Deployment.platformCallCount();
  const auto Start = Clock::now();
  std::this_thread::sleep_for(IdleDuration);
  const double Elapsed = secondsSince(Start);
  const double Bytes = sentBytes(Deployment, 0) - BytesBefore;
  const ProcessUsage EntryAfter =
      readUsage(Deployment.process("entry-0").pid());
  const ProcessUsage SidecarAfter =
      readUsage(Deployment.process("service-0").pid());
  std::cout << "measure=idle entries=" << Entries << " sidecars=" << Sidecars
            << " entry_cpu_percent="
            << (EntryAfter.CpuSeconds - EntryBefore.CpuSeconds) * 100 / Elapsed
            << " entry_mb=" << EntryAfter.ResidentMegabytes
            << " entry_sent_bytes_per_s=" << Bytes / Elapsed
            << " sidecar_cpu_percent="
            << (SidecarAfter.CpuSeconds - SidecarBefore.CpuSeconds) * 100 /
                   Elapsed
            << " sidecar_mb=" << SidecarAfter.ResidentMegabytes
            << " platform_calls_per_s="
            << static_cast<double>(Deployment.platformCallCount() -
                                   CallsBefore) /
                   Elapsed
            << std::endl;
}

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

/// Measures the latency of calls through the whole path and, alternating with
/// them, of calls sent directly to the engine.
void measurePath() {
  constexpr int Rounds = 150;
  Site Deployment(SiteOptions().withEngines(1));
  std::vector<double> DirectMillis;
  std::vector<double> RoutedMillis;
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::string Name = "path-" + std::to_string(Round);
    Request DirectCall;
    DirectCall.Method = "POST";
    DirectCall.Url = "http://127.0.0.1:" +
                     std::to_string(Deployment.targetPort("engine-0")) +
                     "/v1/chat/completions";
    DirectCall.Body =
        Json({{"model", "m"},
              {"user", "direct/" + Name},
              {"max_tokens", 64},
              {"messages", {{{"role", "user"}, {"content", "tokens=16"}}}}})
            .dump();
    auto Start = Clock::now();
    send(DirectCall);
    DirectMillis.push_back(secondsSince(Start) * 1e3);
    Start = Clock::now();
    send(chatRequest(Deployment.httpPort(Round % 3), Program{Name}, "tokens=16",
                     "k1"));
    RoutedMillis.push_back(secondsSince(Start) * 1e3);
  }
  std::cout << "measure=path direct_median_ms=" << median(DirectMillis)
            << " whole_median_ms=" << median(RoutedMillis)
            << " ratio=" << median(RoutedMillis) / median(DirectMillis)
            << std::endl;
}

} // namespace

int main() {
  measurePath();
  measurePrograms();
  measureStreams();
  for (const unsigned Entries : {2U, 3U, 5U, 8U})
    measureIdle(Entries, 2);
  for (const unsigned Sidecars : {2U, 8U, 16U, 32U})
    measureIdle(2, Sidecars);
  return 0;
}
