#include "Commands.h"

#include "ConfigurationBroadcast.h"
#include "InventoryDiff.h"
#include "Report.h"
#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/settings.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr int MaxDrainAttempts = 3;

std::string currentDocument(const AcceptedConfiguration &Present) {
  return Present.Stored ? Present.Stored->Document : std::string("{}");
}

/// Stores a validated document as the next version and broadcasts it to the
/// entries.
ExitCode applyDocument(ConfigurationClient &Client,
                       const AcceptedConfiguration &Base,
                       const Inventory &Checked) {
  const ConfigVersion Next(Base.version().Value + 1);
  switch (Client.change(Base, Checked.Document)) {
  case ChangeOutcome::Accepted: {
    const std::size_t NotifiedCount =
        broadcastConfiguration(Checked, ConfigOffer{Next, Checked.Document});
    std::cout << "accepted version " << Next << ", sent to " << NotifiedCount
              << " entries\n";
    return ExitCode::Success;
  }
  case ChangeOutcome::Conflict:
    return ExitCode::Conflict;
  case ChangeOutcome::Unknown:
    std::cerr << "the key-value service did not confirm whether the change "
                 "took effect; check with `show` before trying again\n";
    return ExitCode::OutcomeUnknown;
  }
  return ExitCode::Failure;
}

/// Reports that the configuration was changed concurrently, with the
/// differences between it and the document to apply.
ExitCode reportConflict(const AcceptedConfiguration &Present,
                        const std::string &Proposed) {
  std::cerr << "nothing was changed: the accepted configuration is now at "
               "version "
            << Present.version()
            << ". Applying the file would make these changes to it:\n";
  printChanges(compareInventories(currentDocument(Present), Proposed));
  return ExitCode::Conflict;
}

/// Returns the document with a host's drained mark set to Drained, or nothing
/// if it has no such host.
std::optional<std::string> withDrained(const std::string &Document,
                                       const std::string &Host, bool Drained) {
  Json Parsed = Json::parse(Document, nullptr, false, true);
  if (!Parsed.is_object() || !Parsed.contains("hosts"))
    return std::nullopt;
  for (Json &Each : Parsed["hosts"]) {
    if (Each.value("name", "") != Host)
      continue;
    Each["drained"] = Drained;
    return Parsed.dump(2) + "\n";
  }
  return std::nullopt;
}

} // namespace

ExitCode runCheck(const CheckOptions &Options) {
  std::vector<SettingsFault> Faults;
  for (const std::string &File : Options.Files) {
    std::ostringstream Text;
    Text << std::ifstream(File).rdbuf();
    const Json Parsed = Json::parse(Text.str(), nullptr, false, true);
    const bool IsInventory = Parsed.is_object() && Parsed.contains("hosts");
    std::vector<SettingsFault> Found;
    if (IsInventory) {
      if (const auto Read = readInventory(File); !Read)
        Found = Read.error();
    } else if (const auto Read = readNodeSettings(File); !Read) {
      Found = Read.error();
    }
    Faults.insert(Faults.end(), Found.begin(), Found.end());
  }
  if (Options.AsJson || !Faults.empty())
    printFaults(Faults, Options.AsJson);
  else
    std::cout << "no faults\n";
  return Faults.empty() ? ExitCode::Success : ExitCode::InvalidInput;
}

ExitCode runImport(const ImportOptions &Options) {
  ColumnMapping Columns;
  for (const std::string &Each : Options.Columns) {
    const std::size_t Equals = Each.find('=');
    if (Equals == std::string::npos) {
      std::cerr << "--column " << Each << ": expected FIELD=COLUMN\n";
      return ExitCode::InvalidInput;
    }
    Columns[Each.substr(0, Equals)] = Each.substr(Equals + 1);
  }
  std::ifstream File(Options.File);
  if (!File) {
    printFaults({{Options.File, Options.File, "a readable file"}}, false);
    return ExitCode::InvalidInput;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  const ImportedRegister Imported =
      importAssetRegister(Text.str(), Columns, Options.File);
  if (!Imported) {
    printFaults(Imported.error(), false);
    return ExitCode::InvalidInput;
  }
  const CheckedInventory Checked =
      parseInventory(Imported.value(), Options.File);
  if (!Checked) {
    printFaults(Checked.error(), false);
    return ExitCode::InvalidInput;
  }
  std::cout << Imported.value();
  return ExitCode::Success;
}

ExitCode runDiff(const DiffOptions &Options) {
  const CheckedInventory Proposed = readInventory(Options.File);
  if (!Proposed) {
    printFaults(Proposed.error(), Options.AsJson);
    return ExitCode::InvalidInput;
  }
  ConfigurationClient Client(Options.Platform.Url, Options.Platform.Prefix);
  const auto Present = Client.read();
  if (!Present) {
    printPlatformError(Present.error());
    return ExitCode::Failure;
  }
  const auto Changes = compareInventories(currentDocument(Present.value()),
                                          Proposed.value().Document);
  if (Options.AsJson)
    std::cout << toJson(Changes).dump(2) << '\n';
  else
    printChanges(Changes);
  return ExitCode::Success;
}

ExitCode runApply(const ApplyOptions &Options) {
  const CheckedInventory Proposed = readInventory(Options.File);
  if (!Proposed) {
    printFaults(Proposed.error(), false);
    return ExitCode::InvalidInput;
  }
  ConfigurationClient Client(Options.Platform.Url, Options.Platform.Prefix);
  auto Present = Client.read();
  if (!Present) {
    printPlatformError(Present.error());
    return ExitCode::Failure;
  }
  if (Present.value().version() != ConfigVersion(Options.Base))
    return reportConflict(Present.value(), Proposed.value().Document);
  const ExitCode Ended =
      applyDocument(Client, Present.value(), Proposed.value());
  if (Ended != ExitCode::Conflict)
    return Ended;
  Present = Client.read();
  if (!Present) {
    printPlatformError(Present.error());
    return ExitCode::Conflict;
  }
  return reportConflict(Present.value(), Proposed.value().Document);
}

ExitCode runShow(const ShowOptions &Options) {
  ConfigurationClient Client(Options.Platform.Url, Options.Platform.Prefix);
  const auto Present = Client.read();
  if (!Present) {
    printPlatformError(Present.error());
    return ExitCode::Failure;
  }
  if (Options.IsVersionOnly)
    std::cout << Present.value().version() << '\n';
  else
    std::cout << currentDocument(Present.value());
  return ExitCode::Success;
}

ExitCode runDrain(const DrainOptions &Options) {
  ConfigurationClient Client(Options.Platform.Url, Options.Platform.Prefix);
  for (int Try = 0; Try < MaxDrainAttempts; ++Try) {
    const auto Present = Client.read();
    if (!Present) {
      printPlatformError(Present.error());
      return ExitCode::Failure;
    }
    const auto Document = withDrained(currentDocument(Present.value()),
                                      Options.Host, !Options.ShouldUndo);
    if (!Document) {
      std::cerr << "the accepted configuration has no host " << Options.Host
                << '\n';
      return ExitCode::InvalidInput;
    }
    const CheckedInventory Checked = parseInventory(*Document, "accepted");
    if (!Checked) {
      printFaults(Checked.error(), false);
      return ExitCode::InvalidInput;
    }
    const ExitCode Ended =
        applyDocument(Client, Present.value(), Checked.value());
    if (Ended != ExitCode::Conflict)
      return Ended;
  }
  std::cerr << "the configuration was changed concurrently during each "
               "attempt; try again\n";
  return ExitCode::Conflict;
}

} // namespace tanagerlanding
