/// \file
/// The daemon: an entry or a sidecar.
#include "tanagerlanding/daemon.h"

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

int report(const Result<void, SystemError> &Ended) {
  if (Ended)
    return Success;
  logEvent("start_failed",
           {{"operation", Ended.error().Operation},
            {"errno", std::to_string(Ended.error().ErrorNumber)}});
  return SystemFailure;
}

int runRole(const std::string &Path, HostRole Role) {
  const CheckedSettings Settings = readNodeSettings(Path);
  if (!Settings) {
    printFaults(Settings.error());
    return SettingsInvalid;
  }
  const NodeSettings &Read = Settings.value();
  if (Read.Initial.Hosts.at(Read.Host).Role != Role) {
    printFaults({{Path, "/host", "a host with the role that was asked for"}});
    return SettingsInvalid;
  }
  if (Role == HostRole::Entry)
    return report(EntryProcess(Read).run());
  return report(SidecarProcess(Read).run());
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Schedules agent programs: entry and sidecar processes");
  App.require_subcommand(1);
  std::string Path;
  CLI::App *Entry = App.add_subcommand("entry", "Serve callers");
  CLI::App *Sidecar = App.add_subcommand("sidecar", "Stand beside a target");
  for (CLI::App *Role : {Entry, Sidecar})
    Role->add_option("--settings", Path, "Settings file")->required();
  CLI11_PARSE(App, Count, Arguments);
  startLog(Arguments[0]);
  return runRole(Path, *Entry ? HostRole::Entry : HostRole::Target);
}
