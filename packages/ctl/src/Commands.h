/// \file
/// The commands of the command-line tool. Each takes its parsed options and
/// returns its exit code.
#ifndef TANAGERLANDING_CTL_COMMANDS_H
#define TANAGERLANDING_CTL_COMMANDS_H

#include "tanagerlanding/ctl/CommandLine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Location of the configuration in the key-value service.
struct PlatformOptions {
  std::string Url;
  std::string Prefix = "/tanagerlanding/";
};

struct CheckOptions {
  std::vector<std::string> Files;
  bool AsJson = false;
};
/// Validates settings and inventory files.
ExitCode runCheck(const CheckOptions &Options);

struct CheckConfigOptions {
  std::string File;
  /// The version to compare with; empty for none.
  std::string Against;
  /// The registered targets; empty if they are not known.
  std::string Targets;
  bool AsJson = false;
};
/// Checks a configuration of relays. Fails if there are findings; differences
/// from the other version are none.
ExitCode runCheckConfig(const CheckConfigOptions &Options,
                        const ConfigurationChecker &Checker);

struct ImportOptions {
  std::string File;
  /// Each is FIELD=COLUMN.
  std::vector<std::string> Columns;
};
/// Converts an asset register to an inventory document and prints it.
ExitCode runImport(const ImportOptions &Options);

struct DiffOptions {
  PlatformOptions Platform;
  std::string File;
  bool AsJson = false;
};
/// Prints the differences between the accepted configuration and a file.
ExitCode runDiff(const DiffOptions &Options);

struct ApplyOptions {
  PlatformOptions Platform;
  std::string File;
  /// The version that the file is based on; 0 if it is the first one.
  std::uint64_t Base = 0;
};
/// Makes a file the accepted configuration.
ExitCode runApply(const ApplyOptions &Options);

struct ShowOptions {
  PlatformOptions Platform;
  bool IsVersionOnly = false;
};
/// Prints the accepted configuration.
ExitCode runShow(const ShowOptions &Options);

struct DrainOptions {
  PlatformOptions Platform;
  std::string Host;
  bool ShouldUndo = false;
};
/// Sets or removes the drained mark of a host.
ExitCode runDrain(const DrainOptions &Options);

struct EntryQuery {
  std::string EntryUrl;
  bool AsJson = false;
};
/// Prints the state of hosts and shards as reported by one entry.
ExitCode runStatus(const EntryQuery &Options);
/// Prints the programs of one entry.
ExitCode runPrograms(const EntryQuery &Options);

struct TraceOptions {
  std::string TraceId;
  std::vector<std::string> SpanFiles;
  bool AsJson = false;
};
/// Prints the spans of one trace, ordered by start time.
ExitCode runTrace(const TraceOptions &Options);

struct LoadOptions {
  std::vector<std::string> EntryUrls;
  std::string Workload;
  std::uint64_t Seed = 1;
  bool AsJson = false;
};
/// Generates load by running programs through entries and prints the measured
/// latencies and refusals.
ExitCode runLoad(const LoadOptions &Options);

} // namespace tanagerlanding

#endif
