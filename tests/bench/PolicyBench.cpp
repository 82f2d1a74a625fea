/// \file
/// Measures program latency and wasted cache memory of each routing policy
/// under load, with the same programs for each policy. Prints one line of
/// key=value pairs per run. Arguments: POLICIES RATES SEEDS [HOLD_MS]; all but
/// the last are comma-separated lists, and RATES are arrivals per 10 s.
#include "Site.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace tanagerlanding::test;

namespace {

using Json = nlohmann::json;

constexpr unsigned EngineCount = 3;
constexpr const char *WorkloadFile = "/granite-trail.json";
constexpr const char *DefaultPolicies =
    "round_robin,least_requests,prefix_affinity,least_expected_finish";
constexpr const char *DefaultRates = "200,320,400,520";
constexpr const char *DefaultSeeds = "1,2,3,4,5";
constexpr const char *DefaultHold = "2000";

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Stream(Text);
  std::string Item;
  while (std::getline(Stream, Item, ','))
    Items.push_back(Item);
  return Items;
}

std::string readText(const std::string &Path) {
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

/// Returns the workload with its arrival rate set to Rate, in arrivals per
/// 10 s.
std::string workloadWith(const std::string &Rate) {
  Json Load = Json::parse(
      readText(std::string(TANAGERLANDING_WORKLOADS) + WorkloadFile), nullptr,
      true, true);
  Load["arrivals_per_10_s"] = std::stoi(Rate);
  return Load.dump();
}

/// Cache statistics, summed over all engines.
struct EngineTotals {
  double WastedByteSeconds = 0;
  double ReusedBytes = 0;
  double ComputedBytes = 0;
};

EngineTotals engineTotals(const Site &Deployment) {
  EngineTotals Total;
  for (unsigned Engine = 0; Engine < EngineCount; ++Engine) {
    const Json Stats = Json::parse(
        Deployment.queryTarget("engine-" + std::to_string(Engine), "/stats"));
    Total.WastedByteSeconds += Stats["wasted_byte_seconds"].get<double>();
    Total.ReusedBytes += Stats["reused_bytes"].get<double>();
    Total.ComputedBytes += Stats["computed_bytes"].get<double>();
  }
  return Total;
}

void runOnce(const std::string &Policy, const std::string &Rate,
             const std::string &Seed, unsigned HoldMillis) {
  Site Deployment(SiteOptions()
                      .withEngines(EngineCount)
                      .withOldHardware()
                      .withPrefixHoldMillis(HoldMillis)
                      .withRouting(Policy));
  const std::string Workload =
      Deployment.writeFile("workload.json", workloadWith(Rate));
  std::vector<std::string> Arguments = {"load", Workload, "--seed", Seed,
                                        "--json"};
  for (const std::string &Url : Deployment.entryUrls()) {
    Arguments.push_back("--entry");
    Arguments.push_back(Url);
  }
  const std::string Output = Deployment.folder() + "/load.out";
  ChildProcess Load("tanagerlanding", Arguments, Output);
  Load.awaitExit(std::chrono::minutes(2));
  const Json Result = Json::parse(readText(Output), nullptr, false);
  if (!Result.is_object()) {
    std::cout << "measure=policy policy=" << Policy << " rate=" << Rate
              << " seed=" << Seed << " failed=1" << std::endl;
    return;
  }
  const EngineTotals Engines = engineTotals(Deployment);
  std::cout << "measure=policy policy=" << Policy << " rate=" << Rate
            << " seed=" << Seed << " hold_ms=" << HoldMillis
            << " finished=" << Result["finished"]
            << " failed=" << Result["failed"]
            << " unfinished=" << Result["unfinished"]
            << " took_s=" << Result["took_s"]
            << " program_p50_ms=" << Result["program_ms"]["p50"]
            << " program_p95_ms=" << Result["program_ms"]["p95"]
            << " first_token_p95_ms=" << Result["first_token_ms"]["p95"]
            << " token_gap_p95_ms=" << Result["token_gap_ms"]["p95"]
            << " wasted_mb_s=" << Engines.WastedByteSeconds / 1e6
            << " reused_share="
            << Engines.ReusedBytes /
                   (Engines.ReusedBytes + Engines.ComputedBytes)
            << " refusals=" << Result["refusals"].dump() << std::endl;
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Argument = [&](int Index, const char *Default) {
    return std::string(Count > Index ? Arguments[Index] : Default);
  };
  const std::string Hold = Argument(4, DefaultHold);
  for (const std::string &Rate : splitList(Argument(2, DefaultRates))) {
    for (const std::string &Seed : splitList(Argument(3, DefaultSeeds))) {
      for (const std::string &Policy : splitList(Argument(1, DefaultPolicies)))
        runOnce(Policy, Rate, Seed, static_cast<unsigned>(std::stoul(Hold)));
    }
  }
  return 0;
}
