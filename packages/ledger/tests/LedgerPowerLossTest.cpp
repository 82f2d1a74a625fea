/// Tests of the ledger folder on a disk that loses power, and whose writes
/// fail.
#include "FolderLives.h"

#include "tanagerlanding/ledger/LedgerWriter.h"

#include <catch2/catch.hpp>

#include <cerrno>
#include <future>

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

protected:
  LedgerFolder Folder;

private:
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

/// The last version of a small file that was written durably or read.
struct KnownVersion {
  std::uint64_t Durable = 0;
  std::uint64_t Written = 0;

  /// Returns whether a start may find this version.
  bool read(std::uint64_t Version) {
    const bool IsAllowed = this->Durable <= Version && Version <= this->Written;
    this->Durable = Version;
    return IsAllowed;
  }
};

/// What has to be found again of the small files, over all lives of a folder.
struct KnownFiles {
  KnownVersion View;
  KnownVersion Directory;
  KnownVersion Suspects;
  std::string Holder;
};

/// Writes the view, the directory and the suspects, besides turns.
class SmallFiles : public Turns {
public:
  SmallFiles(SimulatedDisk &Disk, KnownFiles &Known)
      : Turns(Disk), Known(Known) {}

  bool open(std::vector<std::string> &Read) override {
    if (!Turns::open(Read))
      return false;
    const std::string Holder = this->Folder.holder().Value;
    const bool IsSameHolder =
        this->Known.Holder.empty() || this->Known.Holder == Holder;
    this->Known.Holder = Holder;
    const DirectoryChanges Directory = this->Folder.readDirectory();
    return IsSameHolder &&
           this->Known.View.read(this->Folder.view().Version.Value) &&
           this->Known.Directory.read(
               Directory.Items.empty()
                   ? 0
                   : Directory.Items[0].ModRevision.Value) &&
           this->Known.Suspects.read(static_cast<std::uint64_t>(
               this->Folder.readSuspects().WrittenAtMillis));
  }

  void maintain(std::uint64_t Choice, std::set<std::string> &Dropped) override {
    if (Choice < 2 || Choice == 3)
      Turns::maintain(Choice, Dropped);
    if (Choice == 2) {
      LedgerView View;
      View.Version = ViewVersion(++this->Known.View.Written);
      if (this->Folder.writeView(View))
        this->Known.View.Durable = this->Known.View.Written;
    }
    if (Choice == 4) {
      DirectoryChanges Items;
      Items.Items.push_back(DirectoryItem{
          "key", std::string(200, 'v'),
          Revision(static_cast<std::int64_t>(++this->Known.Directory.Written)),
          false});
      if (this->Folder.writeDirectory(Items))
        this->Known.Directory.Durable = this->Known.Directory.Written;
    }
    if (Choice == 5) {
      SuspectList Suspects;
      Suspects.WrittenAtMillis =
          static_cast<std::int64_t>(++this->Known.Suspects.Written);
      if (this->Folder.writeSuspects(Suspects))
        this->Known.Suspects.Durable = this->Known.Suspects.Written;
    }
  }

private:
  KnownFiles &Known;
};

std::string firstViolationOfSmallFiles(double Failures) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    FolderLives::Options Options;
    Options.Failures = Failures;
    KnownFiles Known;
    const std::string Found =
        FolderLives(
            Seed,
            [&Known](SimulatedDisk &Disk) {
              return std::make_unique<SmallFiles>(Disk, Known);
            },
            Options)
            .run();
    if (!Found.empty())
      return "seed " + std::to_string(Seed) + ": " + Found;
  }
  return {};
}

} // namespace

TEST_CASE("Ledger folder: no view, directory, suspects or id that were written "
          "or read are lost") {
  CHECK(firstViolationOfSmallFiles(0) == None);
  CHECK(firstViolationOfSmallFiles(0.1) == None);
}

TEST_CASE("Ledger writer: reports a batch as stored only once it is durable") {
  SimulatedDisk Disk(1);
  LedgerFolder Folder("data", Disk);
  REQUIRE(Folder.open([](const LedgerBatch &, BatchLocation) {}));
  const auto Store = [&] {
    std::promise<std::pair<bool, bool>> Reported;
    {
      LedgerWriter Writer(Folder, [&](const std::vector<LedgerEvent> &Events) {
        Reported.set_value(
            {std::holds_alternative<LedgerBatchStored>(Events.at(0)),
             Disk.isDurable()});
      });
      LedgerBatch Batch;
      Batch.Records = {TurnRecord{TurnId("t"), std::nullopt, "in", "out", {}}};
      Writer.submit(PersistLedgerBatch{1, std::move(Batch)});
    }
    return Reported.get_future().get();
  };
  const auto [IsStored, IsDurable] = Store();
  CHECK(IsStored);
  CHECK(IsDurable);
  SECTION("sync fails") { Disk.failNextSync(); }
  SECTION("write fails") { Disk.failNextChanges(2); }
  CHECK_FALSE(Store().first);
}

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
  SECTION("as this version can't decode it") {
    Disk.damage("data/view", 0);
    const std::string Before = Disk.read("data/view").value();
    const auto Opened = Open();
    REQUIRE_FALSE(Opened);
    CHECK(std::holds_alternative<SystemError>(Opened.error()));
    CHECK(Disk.read("data/view").value() == Before);
  }
}

TEST_CASE("Ledger folder: a segment with batches that are not reported yet is "
          "not deleted") {
  SimulatedDisk Disk(1);
  const auto BatchOf = [](const std::string &Turn, std::size_t Bytes) {
    LedgerBatch Batch;
    Batch.Retention = Milliseconds(60000);
    Batch.Records = {TurnRecord{
        TurnId(Turn), std::nullopt, std::string(Bytes, 'x'), "", {}}};
    return Batch;
  };
  constexpr std::size_t MoreThanSegment = 3 * 1024 * 1024;
  std::set<std::string> Found;
  {
    LedgerFolder Folder("data", Disk);
    REQUIRE(Folder.open([](const LedgerBatch &, BatchLocation) {}));
    REQUIRE(Folder.append(BatchOf("expired", 10)));
    REQUIRE(Folder.sync());
    // One group of the writer. Meanwhile the event loop drops the segment,
    // whose reported batches have expired.
    const auto First = Folder.append(BatchOf("t1", 10));
    REQUIRE(First);
    REQUIRE(Folder.append(BatchOf("t2", MoreThanSegment)));
    REQUIRE(Folder.append(BatchOf("t3", MoreThanSegment)));
    REQUIRE(Folder.append(BatchOf("t4", 10)));
    Folder.remove(First.value().Segment);
    REQUIRE(Folder.sync());
  }
  LedgerFolder Folder("data", Disk);
  REQUIRE(Folder.open([&Found](const LedgerBatch &Batch, BatchLocation) {
    Found.insert(std::get<TurnRecord>(Batch.Records.at(0)).Turn.Value);
  }));
  for (const char *Turn : {"t1", "t2", "t3", "t4"})
    CHECK(Found.count(Turn) == 1);
}

TEST_CASE("Ledger folder: damage of an indexed segment is found at a start",
          "[.indexed-damage]") {
  SimulatedDisk Disk(1);
  const auto Visit = [](const LedgerBatch &, BatchLocation) {};
  for (const char *Turn : {"t1", "t2"}) {
    LedgerFolder Folder("data", Disk);
    REQUIRE(Folder.open(Visit));
    LedgerBatch Batch;
    Batch.Records = {TurnRecord{
        TurnId(Turn), std::nullopt, "in", std::string(200, 'x'), {}}};
    REQUIRE(Folder.append(Batch));
    REQUIRE(Folder.append(Batch));
    REQUIRE(Folder.sync());
    REQUIRE(Folder.indexNext());
  }
  LedgerFolder Folder("data", Disk);
  REQUIRE(Folder.open(Visit));
  Disk.damage("data/segment-1", Disk.size("data/segment-1").value() - 40);
  LedgerFolder Again("data", Disk);
  CHECK_FALSE(Again.open(Visit));
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
