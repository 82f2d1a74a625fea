/// \file
/// What a check of the operators' configuration finds.
#ifndef TANAGERLANDING_SETTINGS_CONFIGURATIONREPORT_H
#define TANAGERLANDING_SETTINGS_CONFIGURATIONREPORT_H

#include "tanagerlanding/basics.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlanding {

enum class FindingKind {
  /// A field that relays reject; they keep the version before it.
  Invalid,
  /// A route behind another with the same host and prefix.
  ShadowedRoute,
  /// A route whose prefix begins no path.
  UnmatchablePrefix,
  UnknownService,
  ServiceWithoutRoute,
  ZeroWeight,
  /// A route or service with the name of another.
  RepeatedName,
  TimeoutBelowObjective,
  TeamWithoutKeys,
  RepeatedKey,
  /// More attempts than the route's services have targets.
  ExcessAttempts,
  BurstBelowOneRequest,
  /// A burst without a rate, which limits nothing.
  BurstWithoutRate,
};

/// A fault or a contradiction in a configuration.
struct ConfigurationFinding {
  FindingKind Kind = FindingKind::Invalid;
  /// The source's file.
  std::string File;
  /// JSON pointer; empty for the whole document.
  std::string Location;
  /// Contains no key.
  std::string Detail;
};

/// A field's value in two versions; absent where a version has no such entry.
struct FieldChange {
  std::string Field;
  std::optional<std::string> Before;
  std::optional<std::string> After;
};

/// An entry that differs from the other version.
struct EntryChange {
  enum class Kind { Added, Removed, Changed };
  Kind ChangeKind = Kind::Changed;
  /// "route", "service", "team" or "limits".
  std::string Section;
  std::string Name;
  std::vector<FieldChange> Fields;
  std::size_t KeysAdded = 0;
  std::size_t KeysRemoved = 0;
};

struct ConfigurationReport {
  std::vector<ConfigurationFinding> Findings;
  std::vector<EntryChange> Changes;
};

struct SourceText {
  std::string File;
  std::string Text;
};

/// A configuration and what it is checked by.
struct ConfigurationSources {
  SourceText Checked;
  /// The version to compare with.
  std::optional<SourceText> Against;
  /// The registered targets: an object of registrations by target id.
  std::optional<SourceText> Targets;
};

/// Returns faults if a source is no JSON object, or if relays would reject the
/// version to compare with.
using ConfigurationChecker =
    std::function<Result<ConfigurationReport, std::vector<SettingsFault>>(
        const ConfigurationSources &)>;

} // namespace tanagerlanding

#endif
