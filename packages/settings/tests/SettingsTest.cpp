/// Tests the validation of inventories and the import of asset registers.
#include "tanagerlanding/settings.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace tanagerlanding;

namespace {

constexpr const char *ValidInventory = R"({
  // Two halls.
  "zones": ["hall-concord", "hall-keene"],
  "hosts": [
    {"name": "e1", "zone": "hall-concord", "role": "entry",
     "address": "127.0.0.1", "port": 7001, "data_folder": true},
    {"name": "t1", "zone": "hall-keene", "role": "target",
     "address": "127.0.0.1", "port": 7002, "service": "trail-llm",
     "kind": "engine", "capacity": 4}
  ],
  "rules": [{"service": "trail-llm", "zones": ["hall-keene"]}]
})";

std::set<std::string> pathsOf(const std::vector<SettingsFault> &Faults) {
  std::set<std::string> Paths;
  for (const SettingsFault &Each : Faults)
    Paths.insert(Each.Path);
  return Paths;
}

} // namespace

TEST_CASE("Inventory: accepts a valid document with comments") {
  const auto Read = parseInventory(ValidInventory, "good");
  REQUIRE(Read);
  CHECK(Read.value().Hosts.size() == 2);
  CHECK(Read.value().hasService(ServiceName("trail-llm")));
}

TEST_CASE("Inventory: reports all six faults of a document in one run") {
  const auto Read = parseInventory(R"({
    "zones": ["hall-concord", "empty-hall"],
    "hosts": [
      {"name": "e1", "zone": "hall-concord", "role": "entry",
       "address": "127.0.0.1", "port": 7001},
      {"name": "e1", "zone": "hall-concord", "role": "entry",
       "address": "127.0.0.1", "port": 7002, "colour": "red"},
      {"name": "t1", "zone": "hall-concord", "service": "trail-llm",
       "address": "127.0.0.1", "port": 7001, "capacity": "many"}
    ],
    "rules": [{"service": "no-such", "zones": ["hall-concord"]}]
  })",
                                   "faulty");
  REQUIRE_FALSE(Read);
  CHECK(pathsOf(Read.error()) ==
        std::set<std::string>{"/zones/1", "/hosts/1/name", "/hosts/1/colour",
                              "/hosts/2/port", "/hosts/2/capacity",
                              "/rules/0"});
}

TEST_CASE("Inventory: rejects or reads corrupted documents without crashing") {
  std::mt19937 Random(20261203);
  const std::string Document = ValidInventory;
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Damaged = Document;
    for (int Count = Random() % 4; Count >= 0; --Count)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    if (Random() % 4 == 0)
      Damaged.resize(Random() % Damaged.size());
    const auto Read = parseInventory(Damaged, "damaged");
    if (!Read)
      CHECK_FALSE(Read.error().empty());
  }
}

TEST_CASE("Register: imports old and new hardware as hosts") {
  const auto Imported = importAssetRegister(
      "asset,site,ip,port,app,model\n"
      "t1,hall-keene,127.0.0.1,7001,trail-llm,\"A100, 2021\"\n"
      "t2,hall-concord,127.0.0.1,7002,trail-llm,T4\n",
      {{"name", "asset"},
       {"zone", "site"},
       {"address", "ip"},
       {"service", "app"},
       {"note", "model"}},
      "register.csv");
  REQUIRE(Imported);
  const auto Read = parseInventory(Imported.value(), "imported");
  REQUIRE(Read);
  CHECK(Read.value().Hosts.at(HostId("t2")).Zone == ZoneId("hall-concord"));
}

TEST_CASE("Register: reports faults with their lines") {
  const auto Imported = importAssetRegister("name,zone,address,port\n"
                                            "t1,z,127.0.0.1,many\n"
                                            "t2,z,127.0.0.1\n",
                                            {}, "register.csv");
  REQUIRE_FALSE(Imported);
  CHECK(pathsOf(Imported.error()) ==
        std::set<std::string>{"line 2, port", "line 3"});
}
