#include "Commands.h"
#include "Report.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <utility>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

const char *nameOf(FindingKind Kind) {
  switch (Kind) {
  case FindingKind::Invalid:
    return "invalid";
  case FindingKind::ShadowedRoute:
    return "shadowed_route";
  case FindingKind::UnmatchablePrefix:
    return "unmatchable_prefix";
  case FindingKind::UnknownService:
    return "unknown_service";
  case FindingKind::ServiceWithoutRoute:
    return "service_without_route";
  case FindingKind::ZeroWeight:
    return "zero_weight";
  case FindingKind::RepeatedName:
    return "repeated_name";
  case FindingKind::TimeoutBelowObjective:
    return "timeout_below_objective";
  case FindingKind::TeamWithoutKeys:
    return "team_without_keys";
  case FindingKind::RepeatedKey:
    return "repeated_key";
  case FindingKind::ExcessAttempts:
    return "excess_attempts";
  case FindingKind::BurstBelowOneRequest:
    return "burst_below_one_request";
  case FindingKind::BurstWithoutRate:
    return "burst_without_rate";
  }
  return "invalid";
}

const char *nameOf(EntryChange::Kind Kind) {
  switch (Kind) {
  case EntryChange::Kind::Added:
    return "added";
  case EntryChange::Kind::Removed:
    return "removed";
  case EntryChange::Kind::Changed:
    return "changed";
  }
  return "changed";
}

void printChange(const EntryChange &Change) {
  std::cout << nameOf(Change.ChangeKind) << ' ' << Change.Section;
  if (!Change.Name.empty())
    std::cout << ' ' << Change.Name;
  std::cout << '\n';
  for (const FieldChange &Each : Change.Fields) {
    if (Each.Before)
      std::cout << "  - " << Each.Field << ": " << *Each.Before << '\n';
    if (Each.After)
      std::cout << "  + " << Each.Field << ": " << *Each.After << '\n';
  }
  if (Change.KeysAdded > 0)
    std::cout << "  keys added: " << Change.KeysAdded << '\n';
  if (Change.KeysRemoved > 0)
    std::cout << "  keys removed: " << Change.KeysRemoved << '\n';
}

void printReport(const ConfigurationReport &Report) {
  for (const ConfigurationFinding &Each : Report.Findings)
    std::cout << Each.File << ": " << Each.Location << ": " << nameOf(Each.Kind)
              << ": " << Each.Detail << '\n';
  for (const EntryChange &Each : Report.Changes)
    printChange(Each);
  if (Report.Findings.empty())
    std::cout << "no findings\n";
}

Json toJson(const std::optional<std::string> &Value) {
  return Value ? Json(*Value) : Json();
}

Json toJson(const EntryChange &Change) {
  Json Fields = Json::array();
  for (const FieldChange &Each : Change.Fields)
    Fields.push_back({{"field", Each.Field},
                      {"before", toJson(Each.Before)},
                      {"after", toJson(Each.After)}});
  return {{"change", nameOf(Change.ChangeKind)},
          {"section", Change.Section},
          {"name", Change.Name},
          {"fields", std::move(Fields)},
          {"keys_added", Change.KeysAdded},
          {"keys_removed", Change.KeysRemoved}};
}

Json toJson(const ConfigurationReport &Report) {
  Json Findings = Json::array();
  for (const ConfigurationFinding &Each : Report.Findings)
    Findings.push_back({{"kind", nameOf(Each.Kind)},
                        {"file", Each.File},
                        {"location", Each.Location},
                        {"detail", Each.Detail}});
  Json Changes = Json::array();
  for (const EntryChange &Each : Report.Changes)
    Changes.push_back(toJson(Each));
  return {{"findings", std::move(Findings)}, {"changes", std::move(Changes)}};
}

/// Returns a file's text; nothing if no file is named or it can't be read.
std::optional<SourceText> readSource(const std::string &File,
                                     FaultList &Faults) {
  if (File.empty())
    return std::nullopt;
  auto Text = readFile(File, Faults);
  if (!Text)
    return std::nullopt;
  return SourceText{File, std::move(*Text)};
}

} // namespace

ExitCode runCheckConfig(const CheckConfigOptions &Options,
                        const ConfigurationChecker &Checker) {
  FaultList Faults{Options.File, {}};
  ConfigurationSources Sources;
  Sources.Checked =
      readSource(Options.File, Faults).value_or(SourceText{Options.File, {}});
  Sources.Against = readSource(Options.Against, Faults);
  Sources.Targets = readSource(Options.Targets, Faults);
  if (!Faults.Faults.empty()) {
    printFaults(Faults.Faults, Options.AsJson);
    return ExitCode::InvalidInput;
  }
  const auto Report = Checker(Sources);
  if (!Report) {
    printFaults(Report.error(), Options.AsJson);
    return ExitCode::InvalidInput;
  }
  if (Options.AsJson)
    std::cout << toJson(Report.value()).dump(2) << '\n';
  else
    printReport(Report.value());
  return Report.value().Findings.empty() ? ExitCode::Success
                                         : ExitCode::Failure;
}

} // namespace tanagerlanding
