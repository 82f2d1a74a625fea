/// Tests of the output and exit codes of check-config.
#include "Commands.h"
#include "tanagerlanding/platform/ConfigurationCheck.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include <unistd.h>

using namespace tanagerlanding;

namespace {

/// A file that is removed at the end of its scope.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Text) {
    static int Count = 0;
    this->Path = "/tmp/check-config-test-" + std::to_string(::getpid()) + "-" +
                 std::to_string(++Count);
    std::ofstream(this->Path) << Text;
  }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  ~TemporaryFile() { std::remove(this->Path.c_str()); }

  std::string Path;
};

struct CommandRun {
  ExitCode Code;
  std::string Output;
};

CommandRun run(const CheckConfigOptions &Options) {
  std::ostringstream Output;
  std::streambuf *Former = std::cout.rdbuf(Output.rdbuf());
  const ExitCode Code = runCheckConfig(Options, platform::checkConfiguration);
  std::cout.rdbuf(Former);
  return {Code, Output.str()};
}

std::string withKeys(const std::string &Keys, int Rate) {
  return R"({"version": 1, "routes": [], "services": [], "tenants": [
    {"name": "x", "burst": 5, "ratePerS": )" +
         std::to_string(Rate) + R"(, "apiKeys": [)" + Keys + "]}]}";
}

} // namespace

TEST_CASE("check-config: the exit code tells findings from unreadable files") {
  const TemporaryFile Fine(withKeys(R"("key-1")", 5));
  const TemporaryFile Faulty(withKeys("", 5));
  const TemporaryFile Malformed("{");
  const TemporaryFile List("[]");
  CHECK(run({Fine.Path, "", "", false}).Code == ExitCode::Success);
  CHECK(run({Faulty.Path, "", "", false}).Code == ExitCode::Failure);
  CHECK(run({Malformed.Path, "", "", false}).Code == ExitCode::InvalidInput);
  CHECK(run({List.Path, "", "", false}).Code == ExitCode::InvalidInput);
  CHECK(run({"/tmp/none/such", "", "", false}).Code == ExitCode::InvalidInput);
  CHECK(run({Fine.Path, "/tmp/none/such", "", false}).Code ==
        ExitCode::InvalidInput);
  CHECK(run({Fine.Path, "", Malformed.Path, false}).Code ==
        ExitCode::InvalidInput);
}

TEST_CASE("check-config: findings have their kind and location in both "
          "formats") {
  const TemporaryFile Faulty(withKeys("", 5));
  CHECK(run({Faulty.Path, "", "", false}).Output ==
        Faulty.Path + ": /tenants/0: team_without_keys: no request can be of "
                      "this team\n");
  const auto Report =
      nlohmann::json::parse(run({Faulty.Path, "", "", true}).Output);
  REQUIRE(Report["findings"].size() == 1);
  CHECK(Report["findings"][0]["kind"] == "team_without_keys");
  CHECK(Report["findings"][0]["location"] == "/tenants/0");
  CHECK(Report["changes"].empty());
}

TEST_CASE("check-config: differences count keys and print none, and are no "
          "findings") {
  const TemporaryFile Before(withKeys(R"("key-1", "key-2")", 5));
  const TemporaryFile After(withKeys(R"("key-2", "key-3", "key-4")", 6));
  const CommandRun Text = run({After.Path, Before.Path, "", false});
  CHECK(Text.Code == ExitCode::Success);
  CHECK(Text.Output == "changed team x\n  - ratePerS: 5.0\n  + ratePerS: "
                       "6.0\n  keys added: 2\n  keys removed: 1\n"
                       "no findings\n");
  const CommandRun AsJson = run({After.Path, Before.Path, "", true});
  CHECK(AsJson.Output.find("key-") == std::string::npos);
  const auto Change = nlohmann::json::parse(AsJson.Output)["changes"].at(0);
  CHECK(Change["keys_added"] == 2);
  CHECK(Change["keys_removed"] == 1);
  CHECK(Change["fields"].at(0)["before"] == "5.0");
}
