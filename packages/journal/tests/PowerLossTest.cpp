/// Tests of segments and shard journals on a disk that loses power, and whose
/// writes fail.
#include "FolderLives.h"

#include "tanagerlanding/journal.h"

#include <catch2/catch.hpp>

using namespace tanagerlanding;

namespace {

constexpr std::uint64_t Seeds = 300;
constexpr std::uint64_t SeedsByHand = 20000;
constexpr std::uint64_t SmallSegment = 300;

std::string contentsOf(const std::string &Item, std::size_t Bytes) {
  return Item + ":" + std::string(Bytes, Item.back());
}

/// A SegmentFolder with small segments, each payload an item.
class Segments : public StoringFolder {
public:
  explicit Segments(SimulatedDisk &Disk) : Folder("data", SmallSegment, Disk) {}

  bool open(std::vector<std::string> &Read) override {
    const auto Opened =
        this->Folder.open([&](const std::string &Payload, BatchLocation At) {
          const std::string Item = Payload.substr(0, Payload.find(':'));
          Read.push_back(Item);
          this->Items[At.Segment].insert(Item);
          return true;
        });
    return Opened.has_value();
  }

  bool append(const std::string &Item, std::size_t Bytes) override {
    const auto At = this->Folder.append(contentsOf(Item, Bytes));
    if (At)
      this->Items[At.value().Segment].insert(Item);
    return At.has_value();
  }

  bool sync() override { return this->Folder.sync().has_value(); }

  void maintain(std::uint64_t Choice, std::set<std::string> &Dropped) override {
    if (Choice == 0)
      (void)this->Folder.rotate();
    const std::uint64_t Oldest = *this->Folder.segments().begin();
    if (Choice != 1 || Oldest == this->Folder.currentSegment())
      return;
    Dropped = this->Items[Oldest];
    this->Folder.remove(Oldest);
  }

private:
  SegmentFolder Folder;
  std::map<std::uint64_t, std::set<std::string>> Items;
};

/// A JournalFolder, each batch an item of one epoch.
class Batches : public StoringFolder {
public:
  explicit Batches(SimulatedDisk &Disk) : Folder("data", Disk) {}

  bool open(std::vector<std::string> &Read) override {
    const auto Opened = this->Folder.open();
    if (!Opened)
      return false;
    const auto Records = this->Folder.readEpoch(ShardId(1), Epoch(5));
    if (!Records)
      return false;
    for (const Record &Each : Records.value())
      Read.push_back(std::get<ProgramEnded>(Each).Program.Value);
    const auto Shard = Opened.value().Shards.find(ShardId(1));
    if (Shard != Opened.value().Shards.end())
      this->Next = Shard->second.NextIndex.at(Epoch(5));
    // Records of one epoch have to be complete.
    return this->Next == Read.size() + 1;
  }

  bool append(const std::string &Item, std::size_t) override {
    return this->Folder
        .appendBatch(AppendRecords{ShardId(1),
                                   Epoch(5),
                                   this->Next++,
                                   {ProgramEnded{ProgramId(Item)}}})
        .has_value();
  }

  bool sync() override { return this->Folder.sync().has_value(); }
  bool continuesAfterFailure() const override { return false; }

private:
  JournalFolder Folder;
  std::uint64_t Next = 1;
};

template <typename Folder>
std::string firstViolation(double Failures, std::uint64_t LastSeed = Seeds) {
  for (std::uint64_t Seed = 1; Seed <= LastSeed; ++Seed) {
    FolderLives::Options Options;
    Options.Failures = Failures;
    const std::string Found =
        FolderLives(
            Seed,
            [](SimulatedDisk &Disk) { return std::make_unique<Folder>(Disk); },
            Options)
            .run();
    if (!Found.empty())
      return "seed " + std::to_string(Seed) + ": " + Found;
  }
  return {};
}

} // namespace

TEST_CASE("Segments: frames of a killed process are durable before they are "
          "taken over") {
  SimulatedDisk Disk(1);
  const auto Ignore = [](const std::string &, BatchLocation) { return true; };
  {
    SegmentFolder Folder("data", SmallSegment, Disk);
    REQUIRE(Folder.open(Ignore));
    REQUIRE(Folder.append("stored"));
    REQUIRE(Folder.sync());
    REQUIRE(Folder.append("not synced"));
  }
  Disk.kill();
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(Ignore));
  CHECK(Disk.isDurable());
}

TEST_CASE("Segments: a later sync does not cover frames whose sync failed") {
  SimulatedDisk Disk(1);
  std::vector<std::string> Read;
  const auto Visit = [&Read](const std::string &Payload, BatchLocation) {
    Read.push_back(Payload);
    return true;
  };
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(Visit));
  REQUIRE(Folder.append("stored"));
  REQUIRE(Folder.sync());
  REQUIRE(Folder.append(std::string(SmallSegment, 'x')));
  SECTION("in the same segment") {
    Disk.failNextSync();
    CHECK_FALSE(Folder.sync());
    REQUIRE(Folder.append("later"));
    CHECK(Folder.sync());
  }
  SECTION("as the segment is closed within a group") {
    Disk.failNextSync();
    CHECK_FALSE(Folder.append("refused"));
    CHECK(Folder.append("later"));
    CHECK_FALSE(Folder.sync());
    CHECK(Folder.sync());
  }
  Disk.losePower();
  SegmentFolder Again("data", SmallSegment, Disk);
  REQUIRE(Again.open(Visit));
  CHECK(Read == std::vector<std::string>{"stored", "later"});
}

TEST_CASE("Segments: nothing stored or read is lost by kills and losses of "
          "power") {
  CHECK(firstViolation<Segments>(0) == "");
}

TEST_CASE("Segments: nothing stored is lost if writes fail as well") {
  CHECK(firstViolation<Segments>(0.1) == "");
}

TEST_CASE("Journal: nothing stored or read is lost by kills and losses of "
          "power") {
  CHECK(firstViolation<Batches>(0) == "");
}

TEST_CASE("Journal: nothing stored is lost if writes fail as well") {
  CHECK(firstViolation<Batches>(0.1) == "");
}

TEST_CASE("Segments and journal: the same with many seeds",
          "[.power-loss-by-hand]") {
  for (const double Failures : {0.0, 0.02, 0.1}) {
    CHECK(firstViolation<Segments>(Failures, SeedsByHand) == "");
    CHECK(firstViolation<Batches>(Failures, SeedsByHand) == "");
  }
}
