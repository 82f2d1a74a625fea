#include "Workload.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

constexpr std::int64_t MostPrograms = 100000;
constexpr std::int64_t MostMillis = 600000;
constexpr double PercentScale = 100.0;
constexpr double TenthScale = 10.0;

double percent(ObjectReader &Reader, const char *Field, double Default) {
  return static_cast<double>(Reader.integer(
             Field, 0, 100, std::lround(Default * PercentScale))) /
         PercentScale;
}

Workload readFields(ObjectReader &Reader) {
  Workload Load;
  Load.Model = Reader.requireText("model");
  Load.Service = Reader.requireText("service");
  const auto Count = [&](const char *Field, std::int64_t Most,
                         std::uint32_t Default) {
    return static_cast<std::uint32_t>(Reader.integer(Field, 1, Most, Default));
  };
  const auto Tenths = [&](const char *Field, double Default) {
    return static_cast<double>(Reader.integer(
               Field, 1, 1000000, std::lround(Default * TenthScale))) /
           TenthScale;
  };
  Load.Programs = Count("programs", MostPrograms, Load.Programs);
  Load.ArrivalsPerSecond = Tenths("arrivals_per_10_s", Load.ArrivalsPerSecond);
  Load.TurnsShape = Tenths("turns_shape_tenths", Load.TurnsShape);
  Load.MostTurns = Count("most_turns", 300, Load.MostTurns);
  Load.PauseMeanMillis = static_cast<double>(Reader.integer(
      "pause_mean_ms", 0, MostMillis, std::lround(Load.PauseMeanMillis)));
  Load.TokensMean = Count("tokens_mean", 100000, Load.TokensMean);
  Load.MostTokens = Count("most_tokens", 100000, Load.MostTokens);
  Load.MessageBytes = Count("message_bytes", 1000000, Load.MessageBytes);
  Load.ServiceShare = percent(Reader, "service_percent", Load.ServiceShare);
  Load.NonIdempotentShare =
      percent(Reader, "non_idempotent_percent", Load.NonIdempotentShare);
  Load.SubAgentShare = percent(Reader, "sub_agent_percent", Load.SubAgentShare);
  Load.ProgramDeadline = Milliseconds(Reader.integer(
      "program_deadline_ms", 1, MostMillis, Load.ProgramDeadline.count()));
  Load.Limit = Milliseconds(
      Reader.integer("limit_ms", 1, MostMillis, Load.Limit.count()));
  return Load;
}

/// Generates random programs.
class Planner {
public:
  Planner(const Workload &Load, std::uint64_t Seed)
      : Load(Load), Random(Seed) {}

  std::vector<PlannedProgram> plan() {
    std::vector<PlannedProgram> Programs;
    std::exponential_distribution<double> Gap(this->Load.ArrivalsPerSecond);
    double Seconds = 0;
    for (std::uint32_t Number = 0; Number < this->Load.Programs; ++Number) {
      Seconds += Gap(this->Random);
      PlannedProgram Fresh;
      Fresh.ArrivesAt = Milliseconds(static_cast<std::int64_t>(Seconds * 1000));
      const std::uint32_t Turns = this->turns();
      for (std::uint32_t Turn = 0; Turn < Turns; ++Turn)
        Fresh.Calls.push_back(this->call(Turn == 0));
      Programs.push_back(Fresh);
    }
    return Programs;
  }

private:
  std::uint32_t turns() {
    const double Drawn =
        1.0 / std::pow(this->share(), 1.0 / this->Load.TurnsShape);
    return std::min<std::uint32_t>(this->Load.MostTurns,
                                   static_cast<std::uint32_t>(Drawn));
  }

  PlannedCall call(bool IsFirst) {
    PlannedCall Fresh;
    Fresh.IsService = this->share() < this->Load.ServiceShare;
    Fresh.IsIdempotent =
        !Fresh.IsService || this->share() >= this->Load.NonIdempotentShare;
    Fresh.IsSubAgent = this->share() < this->Load.SubAgentShare;
    std::exponential_distribution<double> Tokens(1.0 / this->Load.TokensMean);
    Fresh.Tokens = std::clamp<std::uint32_t>(
        static_cast<std::uint32_t>(Tokens(this->Random)), 1,
        this->Load.MostTokens);
    if (!IsFirst && this->Load.PauseMeanMillis > 0) {
      std::exponential_distribution<double> Pause(1.0 /
                                                  this->Load.PauseMeanMillis);
      Fresh.PauseBefore =
          Milliseconds(static_cast<std::int64_t>(Pause(this->Random)));
    }
    return Fresh;
  }

  double share() {
    // Excludes zero, which would give a program with infinitely many turns.
    constexpr double Least = 1e-9;
    return std::uniform_real_distribution<double>(Least, 1.0)(this->Random);
  }

  const Workload &Load;
  std::mt19937_64 Random;
};

} // namespace

Result<Workload, std::vector<SettingsFault>>
readWorkload(const std::string &Path) {
  FaultList Faults{Path, {}};
  const auto Text = readFile(Path, Faults);
  if (!Text)
    return Faults.Faults;
  const auto Json = parseDocument(*Text, Faults);
  if (!Json)
    return Faults.Faults;
  ObjectReader Reader(*Json, "", Faults);
  const Workload Load = readFields(Reader);
  Reader.finish();
  if (!Faults.Faults.empty())
    return Faults.Faults;
  return Load;
}

std::vector<PlannedProgram> planPrograms(const Workload &Load,
                                         std::uint64_t Seed) {
  return Planner(Load, Seed).plan();
}

} // namespace tanagerlanding
