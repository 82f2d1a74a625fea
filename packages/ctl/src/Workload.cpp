#include "Workload.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

constexpr std::int64_t MaxPrograms = 100000;
constexpr std::int64_t MaxMillis = 600000;
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
  Load.Programs = Count("programs", MaxPrograms, Load.Programs);
  Load.ArrivalsPerSecond = Tenths("arrivals_per_10_s", Load.ArrivalsPerSecond);
  Load.TurnsShape = Tenths("turns_shape_tenths", Load.TurnsShape);
  Load.MaxTurns = Count("most_turns", 300, Load.MaxTurns);
  Load.MeanPauseMillis = static_cast<double>(Reader.integer(
      "pause_mean_ms", 0, MaxMillis, std::lround(Load.MeanPauseMillis)));
  Load.MeanTokens = Count("tokens_mean", 100000, Load.MeanTokens);
  Load.MaxTokens = Count("most_tokens", 100000, Load.MaxTokens);
  Load.MessageBytes = Count("message_bytes", 1000000, Load.MessageBytes);
  Load.ServiceShare = percent(Reader, "service_percent", Load.ServiceShare);
  Load.NonIdempotentShare =
      percent(Reader, "non_idempotent_percent", Load.NonIdempotentShare);
  Load.SubAgentShare = percent(Reader, "sub_agent_percent", Load.SubAgentShare);
  Load.ProgramDeadline = Milliseconds(Reader.integer(
      "program_deadline_ms", 1, MaxMillis, Load.ProgramDeadline.count()));
  Load.RunTimeout = Milliseconds(
      Reader.integer("limit_ms", 1, MaxMillis, Load.RunTimeout.count()));
  return Load;
}

/// Generates random programs.
class ProgramGenerator {
public:
  ProgramGenerator(const Workload &Load, std::uint64_t Seed)
      : Load(Load), Random(Seed) {}

  std::vector<PlannedProgram> plan() {
    std::vector<PlannedProgram> Programs;
    std::exponential_distribution<double> Gap(this->Load.ArrivalsPerSecond);
    double Seconds = 0;
    for (std::uint32_t Number = 0; Number < this->Load.Programs; ++Number) {
      Seconds += Gap(this->Random);
      PlannedProgram Fresh;
      Fresh.ArrivesAt = Milliseconds(static_cast<std::int64_t>(Seconds * 1000));
      const std::uint32_t Turns = this->drawTurns();
      for (std::uint32_t Turn = 0; Turn < Turns; ++Turn)
        Fresh.Calls.push_back(this->drawCall(Turn == 0));
      Programs.push_back(Fresh);
    }
    return Programs;
  }

private:
  std::uint32_t drawTurns() {
    const double Drawn =
        1.0 / std::pow(this->uniformShare(), 1.0 / this->Load.TurnsShape);
    return std::min<std::uint32_t>(this->Load.MaxTurns,
                                   static_cast<std::uint32_t>(Drawn));
  }

  PlannedCall drawCall(bool IsFirst) {
    PlannedCall Fresh;
    Fresh.IsService = this->uniformShare() < this->Load.ServiceShare;
    Fresh.IsIdempotent = !Fresh.IsService ||
                         this->uniformShare() >= this->Load.NonIdempotentShare;
    Fresh.IsSubAgent = this->uniformShare() < this->Load.SubAgentShare;
    std::exponential_distribution<double> Tokens(1.0 / this->Load.MeanTokens);
    Fresh.Tokens = std::clamp<std::uint32_t>(
        static_cast<std::uint32_t>(Tokens(this->Random)), 1,
        this->Load.MaxTokens);
    if (!IsFirst && this->Load.MeanPauseMillis > 0) {
      std::exponential_distribution<double> Pause(1.0 /
                                                  this->Load.MeanPauseMillis);
      Fresh.PauseBefore =
          Milliseconds(static_cast<std::int64_t>(Pause(this->Random)));
    }
    return Fresh;
  }

  double uniformShare() {
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
  return ProgramGenerator(Load, Seed).plan();
}

} // namespace tanagerlanding
