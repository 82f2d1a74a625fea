#include "tanagerlanding/ctl/CommandLine.h"

#include "Commands.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <utility>

namespace tanagerlanding {

namespace {

/// Defines the commands and their options, and runs the chosen one.
class CommandLine {
public:
  explicit CommandLine(ConfigurationChecker Checker)
      : App("Operates a tanagerlanding deployment"),
        Checker(std::move(Checker)) {
    this->App.require_subcommand(1);
    this->addFileCommands();
    this->addCheckConfig();
    this->addPlatformCommands();
    this->addEntryCommands();
    this->addLoad();
  }

  int run(int Count, char **Arguments) {
    try {
      this->App.parse(Count, Arguments);
    } catch (const CLI::ParseError &Error) {
      const int Code = this->App.exit(Error);
      return Code == 0 ? 0 : static_cast<int>(ExitCode::InvalidInput);
    }
    return static_cast<int>(this->Chosen());
  }

private:
  CLI::App *add(const char *Name, const char *Help,
                std::function<ExitCode()> Run) {
    CLI::App *Command = this->App.add_subcommand(Name, Help);
    Command->callback([this, Run = std::move(Run)] { this->Chosen = Run; });
    return Command;
  }

  static void addPlatform(CLI::App *Command, PlatformOptions &Into) {
    Command->add_option("--platform", Into.Url, "URL of the key-value service")
        ->required();
    Command
        ->add_option("--prefix", Into.Prefix, "Prefix of the deployment's keys")
        ->capture_default_str();
  }

  static void addJson(CLI::App *Command, bool &Into) {
    Command->add_flag("--json", Into, "Print JSON");
  }

  void addFileCommands() {
    CLI::App *Command =
        this->add("check", "Validate settings and inventory files",
                  [this] { return runCheck(this->Check); });
    Command->add_option("files", this->Check.Files, "Files")->required();
    addJson(Command, this->Check.AsJson);

    Command = this->add("import", "Convert an asset register to an inventory",
                        [this] { return runImport(this->Import); });
    Command
        ->add_option("file", this->Import.File, "Asset register in CSV format")
        ->required();
    Command->add_option("--column", this->Import.Columns,
                        "FIELD=COLUMN, for a column whose name differs from "
                        "its field");

    Command = this->add("trace", "Show the spans of a trace",
                        [this] { return runTrace(this->Trace); });
    Command->add_option("id", this->Trace.TraceId, "Trace id")->required();
    Command->add_option("--spans", this->Trace.SpanFiles, "Span files")
        ->required();
    addJson(Command, this->Trace.AsJson);
  }

  void addCheckConfig() {
    CLI::App *Command =
        this->add("check-config", "Check a configuration of relays", [this] {
          return runCheckConfig(this->CheckConfig, this->Checker);
        });
    Command->add_option("file", this->CheckConfig.File, "Configuration")
        ->required();
    Command->add_option("--against", this->CheckConfig.Against,
                        "Show the differences from this version");
    Command->add_option("--targets", this->CheckConfig.Targets,
                        "Registered targets: an object of registrations by "
                        "target id");
    addJson(Command, this->CheckConfig.AsJson);
  }

  void addPlatformCommands() {
    CLI::App *Command =
        this->add("diff", "Show what applying a file would change",
                  [this] { return runDiff(this->Diff); });
    addPlatform(Command, this->Diff.Platform);
    Command->add_option("file", this->Diff.File, "Inventory")->required();
    addJson(Command, this->Diff.AsJson);

    Command = this->add("apply", "Make a file the accepted configuration",
                        [this] { return runApply(this->Apply); });
    addPlatform(Command, this->Apply.Platform);
    Command->add_option("file", this->Apply.File, "Inventory")->required();
    Command
        ->add_option("--base", this->Apply.Base,
                     "Version that the file was edited from, 0 for the first")
        ->required();

    Command = this->add("show", "Print the accepted configuration",
                        [this] { return runShow(this->Show); });
    addPlatform(Command, this->Show.Platform);
    Command->add_flag("--version-only", this->Show.IsVersionOnly,
                      "Print only its version");

    Command = this->add("drain", "Mark a host as drained: it gets no new work",
                        [this] { return runDrain(this->Drain); });
    addPlatform(Command, this->Drain.Platform);
    Command->add_option("host", this->Drain.Host, "Host")->required();
    Command->add_flag("--undo", this->Drain.ShouldUndo,
                      "Remove the drained mark");
  }

  void addEntryCommands() {
    CLI::App *Command =
        this->add("status", "Show hosts and shards as an entry sees them",
                  [this] { return runStatus(this->Status); });
    Command->add_option("--entry", this->Status.EntryUrl, "URL of an entry")
        ->required();
    addJson(Command, this->Status.AsJson);

    Command = this->add("programs", "Show the programs of an entry",
                        [this] { return runPrograms(this->Programs); });
    Command->add_option("--entry", this->Programs.EntryUrl, "URL of an entry")
        ->required();
    addJson(Command, this->Programs.AsJson);
  }

  void addLoad() {
    CLI::App *Command = this->add("load", "Generate load by running programs",
                                  [this] { return runLoad(this->Load); });
    Command->add_option("--entry", this->Load.EntryUrls, "URLs of entries")
        ->required();
    Command->add_option("workload", this->Load.Workload, "Workload file")
        ->required();
    Command->add_option("--seed", this->Load.Seed, "Seed")
        ->capture_default_str();
    addJson(Command, this->Load.AsJson);
  }

  CLI::App App;
  ConfigurationChecker Checker;
  std::function<ExitCode()> Chosen;
  CheckOptions Check;
  CheckConfigOptions CheckConfig;
  ImportOptions Import;
  TraceOptions Trace;
  DiffOptions Diff;
  ApplyOptions Apply;
  ShowOptions Show;
  DrainOptions Drain;
  EntryQuery Status;
  EntryQuery Programs;
  LoadOptions Load;
};

} // namespace

int runCommandLine(int Count, char **Arguments, ConfigurationChecker Checker) {
  return CommandLine(std::move(Checker)).run(Count, Arguments);
}

} // namespace tanagerlanding
