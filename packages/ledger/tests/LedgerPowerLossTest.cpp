/// Tests of the ledger folder on a disk that loses power, and whose writes
/// fail.
#include "FolderLives.h"

#include "tanagerlanding/ledger/LedgerFolder.h"

#include <catch2/catch.hpp>

#include <cerrno>

using namespace tanagerlanding;

namespace {

constexpr std::uint64_t Seeds = 300;
constexpr std::uint64_t SeedsByHand = 20000;
/// The result of lives without a violation.
const std::string None;

/// Each turn is an item. Other work writes views and indexes and deletes
/// segments.
class Turns : public StoringFolder {
public:
  explicit Turns(SimulatedDisk &Disk) : Folder("data", Disk) {}

  bool open(std::vector<std::string> &Read) override {
    std::vector<std::pair<std::string, BatchLocation>> Found;
    const auto Opened =
        this->Folder.open([&](const LedgerBatch &Batch, BatchLocation At) {
          Found.emplace_back(
              std::get<TurnRecord>(Batch.Records.at(0)).Turn.Value, At);
        });
    if (!Opened)
      return false;
    for (const auto &[Item, At] : Found) {
      const auto History = this->Folder.readHistory({{TurnId(Item), At}});
      if (!History || History.value() != "in-" + Item + "out-" + Item)
        return false;
      Read.push_back(Item);
      this->Items[At.Segment].insert(Item);
    }
    return true;
  }

  bool append(const std::string &Item, std::size_t Bytes) override {
    LedgerBatch Batch;
    Batch.Retention = Milliseconds(60000);
    Batch.Records = {TurnRecord{TurnId(Item), std::nullopt, "in-" + Item,
                                "out-" + Item,
                                TargetId(std::string(Bytes, 't'))}};
    const auto At = this->Folder.append(Batch);
    if (At)
      this->Items[At.value().Segment].insert(Item);
    return At.has_value();
  }

  bool sync() override { return this->Folder.sync().has_value(); }

  void maintain(std::uint64_t Choice, std::set<std::string> &Dropped) override {
    if (Choice < 2)
      (void)this->Folder.indexNext();
    if (Choice == 2)
      (void)this->Folder.writeView(LedgerView());
    if (Choice != 3 || this->Items.size() < 4)
      return;
    const auto Oldest = this->Items.begin();
    Dropped = Oldest->second;
    this->Folder.remove(Oldest->first);
    this->Items.erase(Oldest);
  }

private:
  LedgerFolder Folder;
  std::map<std::uint64_t, std::set<std::string>> Items;
};

std::string firstViolation(double Failures, std::uint64_t LastSeed = Seeds) {
  for (std::uint64_t Seed = 1; Seed <= LastSeed; ++Seed) {
    FolderLives::Options Options;
    Options.Failures = Failures;
    const std::string Found =
        FolderLives(
            Seed,
            [](SimulatedDisk &Disk) { return std::make_unique<Turns>(Disk); },
            Options)
            .run();
    if (!Found.empty())
      return "seed " + std::to_string(Seed) + ": " + Found;
  }
  return {};
}

} // namespace

TEST_CASE("Ledger folder: a view that can't be read is not taken for none") {
  SimulatedDisk Disk(1);
  {
    LedgerFolder Folder("data", Disk);
    REQUIRE(Folder.open([](const LedgerBatch &, BatchLocation) {}));
    LedgerView View;
    View.Version = ViewVersion(4);
    REQUIRE(Folder.writeView(View));
  }
  LedgerFolder Folder("data", Disk);
  const auto Open = [&Folder] {
    return Folder.open([](const LedgerBatch &, BatchLocation) {});
  };
  SECTION("for lack of descriptors") {
    Disk.failReads("data/view", EMFILE);
    const auto Opened = Open();
    REQUIRE_FALSE(Opened);
    CHECK(std::get<SystemError>(Opened.error()).ErrorNumber == EMFILE);
    Disk.failReads("data/view", 0);
    REQUIRE(Open());
    CHECK(Folder.view().Version == ViewVersion(4));
  }
  SECTION("as it is damaged") {
    Disk.damage("data/view", 0);
    const auto Opened = Open();
    REQUIRE_FALSE(Opened);
    const HolderId Before = Folder.holder();
    REQUIRE(Folder.setAside(std::get<FolderDamage>(Opened.error())));
    REQUIRE(Open());
    CHECK(Folder.view().Version == ViewVersion(0));
    CHECK_FALSE(Folder.holder() == Before);
  }
}

TEST_CASE("Ledger folder: nothing stored or read is lost by kills and losses "
          "of power") {
  CHECK(firstViolation(0) == None);
}

TEST_CASE("Ledger folder: nothing stored is lost if writes fail as well") {
  CHECK(firstViolation(0.1) == None);
}

TEST_CASE("Ledger folder: the same with many seeds", "[.power-loss-by-hand]") {
  for (const double Failures : {0.0, 0.02, 0.1})
    CHECK(firstViolation(Failures, SeedsByHand) == None);
}
