/// \file
/// The daemon: runs an entry or a sidecar, or, on the users' platform, a relay
/// or a ledger replica.
#include "tanagerlanding/daemon.h"
#include "tanagerlanding/platform.h"

#include <CLI/CLI.hpp>

#include <iostream>

using namespace tanagerlanding;

namespace {

/// Exit codes, as documented in docs/OPERATING.md.
enum ExitCode { Success = 0, SystemFailure = 1, SettingsInvalid = 2 };

void printFaults(const std::vector<SettingsFault> &Faults) {
  for (const SettingsFault &Fault : Faults)
    std::cerr << Fault.File << ": " << Fault.Path << ": expected "
              << Fault.Expected << '\n';
}

int report(const Result<void, SystemError> &Outcome) {
  if (Outcome)
    return Success;
  logEvent("start_failed",
           {{"operation", Outcome.error().Operation},
            {"errno", std::to_string(Outcome.error().ErrorNumber)}});
  return SystemFailure;
}

int runRole(const std::string &Path, HostRole Role) {
  const CheckedSettings Settings = readNodeSettings(Path);
  if (!Settings) {
    printFaults(Settings.error());
    return SettingsInvalid;
  }
  const NodeSettings &Read = Settings.value();
  if (Read.InitialInventory.Hosts.at(Read.Host).Role != Role) {
    printFaults({{Path, "/host", "a host with the requested role"}});
    return SettingsInvalid;
  }
  if (Role == HostRole::Entry)
    return report(EntryProcess(Read).run());
  return report(SidecarProcess(Read).run());
}

/// Options of the command line for a relay.
struct RelayArguments {
  double HedgeShare = 0;
  double HedgeMaxLoad = 0.7;
  bool IsLoadShared = false;
  bool AreBuffersLimited = false;
};

/// Largest share of extra sends that may be set.
constexpr double MaxHedgeShare = 0.2;
constexpr double MaxHedgeLoad = 10;

void addHedgeOptions(CLI::App &Relay, RelayArguments &Arguments) {
  Relay
      .add_option("--hedge-share", Arguments.HedgeShare,
                  "Second sends of slow idempotent calls, as a share of a "
                  "service's requests; 0 for none")
      ->check(CLI::Range(0.0, MaxHedgeShare))
      ->capture_default_str();
  Relay
      .add_option("--hedge-max-load", Arguments.HedgeMaxLoad,
                  "Requests per slot over a service above which no second "
                  "sends are made")
      ->check(CLI::Range(0.0, MaxHedgeLoad))
      ->capture_default_str();
}

int runRelay(const platform::BootSettings &Boot,
             const RelayArguments &Arguments) {
  DeploymentProtocols Protocols;
  Protocols.Relay = platform::makeRelayProtocol();
  Protocols.Directory = platform::makeDirectoryProtocol();
  Protocols.KeyValue = platform::makeStoreDialect();
  RelaySettings Settings = platform::makeRelaySettings(Boot);
  Settings.IsLoadShared = Arguments.IsLoadShared;
  if (!Arguments.AreBuffersLimited)
    Settings.BufferBytes.reset();
  Settings.HedgeShare = Arguments.HedgeShare;
  Settings.HedgeMaxLoad = Arguments.HedgeMaxLoad;
  return report(RelayProcess(Settings, std::move(Protocols)).run());
}

int runLedger(const platform::BootSettings &Boot) {
  return report(LedgerProcess(platform::makeLedgerSettings(Boot),
                              platform::makeDirectoryProtocol(),
                              platform::makeStoreDialect())
                    .run());
}

/// Runs a role with the settings file that the platform provides.
template <typename Action> int runOnPlatform(const Action &Role) {
  const auto Boot = platform::readBootSettings();
  if (Boot)
    return Role(Boot.value());
  printFaults(Boot.error());
  return SettingsInvalid;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Schedules agent programs: entry and sidecar processes");
  App.require_subcommand(1);
  std::string Path;
  CLI::App *Entry = App.add_subcommand("entry", "Serve callers");
  CLI::App *Sidecar = App.add_subcommand(
      "sidecar", "Run next to a target and forward calls to it");
  for (CLI::App *Role : {Entry, Sidecar})
    Role->add_option("--settings", Path, "Settings file")->required();
  CLI::App *Relay = App.add_subcommand(
      "relay", "Forward callers' requests on the users' platform");
  CLI::App *Ledger = App.add_subcommand(
      "ledger", "Store turns and budgets on the users' platform");
  RelayArguments RelayOptions;
  addHedgeOptions(*Relay, RelayOptions);
  Relay->add_flag("--share-load", RelayOptions.IsLoadShared,
                  "Share the loads and speeds of targets among relays");
  Relay->add_flag("--limit-buffers", RelayOptions.AreBuffersLimited,
                  "Limit all buffers to a third of the memory that the "
                  "settings file states");
  CLI11_PARSE(App, Count, Arguments);
  startLog(Arguments[0]);
  if (*Relay)
    return runOnPlatform([&](const platform::BootSettings &Boot) {
      return runRelay(Boot, RelayOptions);
    });
  if (*Ledger)
    return runOnPlatform(runLedger);
  return runRole(Path, *Entry ? HostRole::Entry : HostRole::Target);
}
