/// \file
/// The commands of the command line. Each takes its checked options and
/// returns its exit code.
#ifndef TANAGERLANDING_CTL_COMMANDS_H
#define TANAGERLANDING_CTL_COMMANDS_H

#include "tanagerlanding/ctl/CommandLine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerlanding {

/// Where the configuration is kept.
struct PlatformOptions {
  std::string Url;
  std::string Prefix = "/tanagerlanding/";
};

struct CheckOptions {
  std::vector<std::string> Files;
  bool AsJson = false;
};
/// Checks settings and inventory files.
ExitCode runCheck(const CheckOptions &Options);

struct ImportOptions {
  std::string File;
  /// Each is FIELD=COLUMN.
  std::vector<std::string> Columns;
};
/// Turns an asset register into an inventory document on standard output.
ExitCode runImport(const ImportOptions &Options);

struct DiffOptions {
  PlatformOptions Platform;
  std::string File;
  bool AsJson = false;
};
/// Shows what applying a file would change.
ExitCode runDiff(const DiffOptions &Options);

struct ApplyOptions {
  PlatformOptions Platform;
  std::string File;
  /// The version that the file was edited from.
  std::uint64_t Base = 0;
};
/// Makes a file the accepted configuration.
ExitCode runApply(const ApplyOptions &Options);

struct ShowOptions {
  PlatformOptions Platform;
  bool OnlyVersion = false;
};
/// Shows the accepted configuration.
ExitCode runShow(const ShowOptions &Options);

struct DrainOptions {
  PlatformOptions Platform;
  std::string Host;
  bool Undo = false;
};
/// Marks a host as drained, or as in use again.
ExitCode runDrain(const DrainOptions &Options);

struct EntryQuery {
  std::string EntryUrl;
  bool AsJson = false;
};
/// Shows hosts and shards as one entry sees them.
ExitCode runStatus(const EntryQuery &Options);
/// Shows the programs of one entry.
ExitCode runPrograms(const EntryQuery &Options);

struct TraceOptions {
  std::string TraceId;
  std::vector<std::string> SpanFiles;
  bool AsJson = false;
};
/// Shows the spans of one trace, in order.
ExitCode runTrace(const TraceOptions &Options);

struct LoadOptions {
  std::vector<std::string> EntryUrls;
  std::string Workload;
  std::uint64_t Seed = 1;
  bool AsJson = false;
};
/// Drives programs through entries and reports what came of it.
ExitCode runLoad(const LoadOptions &Options);

} // namespace tanagerlanding

#endif
