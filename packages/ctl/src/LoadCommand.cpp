#include "Commands.h"

#include "LoadRunner.h"
#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

/// Returns the quantile of Values at Share (0 to 1), or 0 if Values is empty.
double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1) + 0.5);
  return Values[Index];
}

Json quantiles(const std::vector<double> &Values) {
  return {{"count", Values.size()},
          {"p50", quantile(Values, 0.50)},
          {"p95", quantile(Values, 0.95)},
          {"p99", quantile(Values, 0.99)}};
}

Json toJson(const LoadResult &Result) {
  return {{"finished", Result.Finished},
          {"failed", Result.Failed},
          {"unfinished", Result.Unfinished},
          {"took_s", Result.TookSeconds},
          {"program_ms", quantiles(Result.ProgramMillis)},
          {"first_token_ms", quantiles(Result.FirstTokenMillis)},
          {"token_gap_ms", quantiles(Result.TokenGapMillis)},
          {"refusals", Result.Refusals}};
}

TableRow rowOf(const char *Name, const std::vector<double> &Values) {
  return {Name, std::to_string(Values.size()),
          std::to_string(quantile(Values, 0.50)),
          std::to_string(quantile(Values, 0.95)),
          std::to_string(quantile(Values, 0.99))};
}

void printResult(const LoadResult &Result) {
  printTable({{"MEASURE", "COUNT", "P50 MS", "P95 MS", "P99 MS"},
              rowOf("program latency", Result.ProgramMillis),
              rowOf("first token", Result.FirstTokenMillis),
              rowOf("gap between tokens", Result.TokenGapMillis)});
  std::cout << "\nfinished " << Result.Finished << ", failed " << Result.Failed
            << ", unfinished " << Result.Unfinished << " in "
            << Result.TookSeconds << " s\n";
  for (const auto &[Cause, Count] : Result.Refusals)
    std::cout << "refused " << Cause << ": " << Count << '\n';
}

} // namespace

ExitCode runLoad(const LoadOptions &Options) {
  const auto Load = readWorkload(Options.Workload);
  if (!Load) {
    printFaults(Load.error(), false);
    return ExitCode::InvalidInput;
  }
  const LoadResult Result =
      LoadRunner(Load.value(), Options.EntryUrls, Options.Seed).run();
  if (Options.AsJson)
    std::cout << toJson(Result).dump(2) << '\n';
  else
    printResult(Result);
  return ExitCode::Success;
}

} // namespace tanagerlanding
