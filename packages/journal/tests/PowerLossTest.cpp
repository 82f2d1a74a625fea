/// Tests of segments and shard journals on a disk that loses power, and whose
/// writes fail.
#include "FolderLives.h"

#include "tanagerlanding/journal.h"

#include <catch2/catch.hpp>

#include <cerrno>

using namespace tanagerlanding;

namespace {

constexpr std::uint64_t Seeds = 300;
constexpr std::uint64_t SeedsByHand = 20000;
/// The result of lives without a violation.
const std::string None;
constexpr std::uint64_t SmallSegment = 300;

std::string contentsOf(const std::string &Item, std::size_t Bytes) {
  return Item + ":" + std::string(Bytes, Item.back());
}

bool acceptAll(const std::string &, BatchLocation) { return true; }

/// Returns the damage for which a folder does not open.
std::optional<FolderDamage> damageIn(SegmentFolder &Folder) {
  const auto Opened = Folder.open(acceptAll);
  if (Opened)
    return std::nullopt;
  return std::get<FolderDamage>(Opened.error());
}

/// Writes one payload to each of three segments. Returns the folder's id.
std::string writeThreeSegments(SimulatedDisk &Disk) {
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(acceptAll));
  for (const char *Payload : {"first", "second", "third"}) {
    REQUIRE(Folder.append(Payload));
    REQUIRE(Folder.rotate());
  }
  REQUIRE(Folder.sync());
  return Folder.holder().Value;
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
  {
    SegmentFolder Folder("data", SmallSegment, Disk);
    REQUIRE(Folder.open(acceptAll));
    REQUIRE(Folder.append("stored"));
    REQUIRE(Folder.sync());
    REQUIRE(Folder.append("not synced"));
  }
  Disk.kill();
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(acceptAll));
  CHECK(Disk.isDurable());
}

TEST_CASE("Segments: a sync reports frames that were lost as their segment was "
          "closed") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SimulatedDisk Disk(Seed);
    {
      SegmentFolder Folder("data", SmallSegment, Disk);
      REQUIRE(Folder.open(acceptAll));
      REQUIRE(Folder.append("stored"));
      REQUIRE(Folder.sync());
      REQUIRE(Folder.append(std::string(SmallSegment, 'x')));
      Disk.failNextSync();
      CHECK_FALSE(Folder.append("refused"));
      CHECK(Folder.append("later"));
      CHECK_FALSE(Folder.sync());
      CHECK(Folder.sync());
    }
    Disk.losePower();
    std::vector<std::string> Read;
    SegmentFolder Folder("data", SmallSegment, Disk);
    REQUIRE(Folder.open([&Read](const std::string &Payload, BatchLocation) {
      Read.push_back(Payload);
      return true;
    }));
    CHECK(Read == std::vector<std::string>{"stored", "later"});
  }
}

TEST_CASE("Segments: frames of a failed sync are cut before others follow") {
  const std::string Lost(GENERATE(std::size_t(20), std::size_t(SmallSegment)),
                         'x');
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SimulatedDisk Disk(Seed);
    {
      SegmentFolder Folder("data", SmallSegment, Disk);
      REQUIRE(Folder.open(acceptAll));
      REQUIRE(Folder.append("stored"));
      REQUIRE(Folder.sync());
      REQUIRE(Folder.append(Lost));
      Disk.failNextSync();
      CHECK_FALSE(Folder.sync());
      REQUIRE(Folder.append("later"));
      REQUIRE(Folder.sync());
    }
    Disk.losePower();
    std::vector<std::string> Read;
    SegmentFolder Folder("data", SmallSegment, Disk);
    CHECK(Folder.open([&Read](const std::string &Payload, BatchLocation) {
      Read.push_back(Payload);
      return true;
    }));
    CHECK(Read == std::vector<std::string>{"stored", "later"});
  }
}

TEST_CASE("Segments: frames whose sync failed at a start are not taken over by "
          "the next start") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SimulatedDisk Disk(Seed);
    {
      SegmentFolder Folder("data", SmallSegment, Disk);
      REQUIRE(Folder.open(acceptAll));
      REQUIRE(Folder.append("not synced"));
    }
    Disk.kill();
    Disk.failNextSync();
    {
      SegmentFolder Folder("data", SmallSegment, Disk);
      CHECK_FALSE(Folder.open(acceptAll));
    }
    Disk.kill();
    std::size_t Served = 0;
    {
      SegmentFolder Folder("data", SmallSegment, Disk);
      REQUIRE(Folder.open([&Served](const std::string &, BatchLocation) {
        ++Served;
        return true;
      }));
    }
    Disk.losePower();
    SegmentFolder Folder("data", SmallSegment, Disk);
    std::size_t Found = 0;
    CHECK(Folder.open([&Found](const std::string &, BatchLocation) {
      ++Found;
      return true;
    }));
    CHECK(Served <= Found);
  }
}

TEST_CASE("Segments: a folder without room opens, and its frames are durable") {
  SimulatedDisk Disk(1);
  {
    SegmentFolder Folder("data", SmallSegment, Disk);
    REQUIRE(Folder.open(acceptAll));
    REQUIRE(Folder.append("not synced"));
  }
  Disk.kill();
  // The first change is the creation of the new copy.
  Disk.failNextChanges(1);
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(acceptAll));
  CHECK(Disk.isDurable());
}

TEST_CASE("Segments: a damaged folder is set aside and starts empty with "
          "another id") {
  constexpr std::uint64_t MoreThanNeeded = 25;
  for (std::uint64_t Operations = 0; Operations <= MoreThanNeeded;
       ++Operations) {
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      SimulatedDisk Disk(Seed);
      const std::string Before = writeThreeSegments(Disk);
      Disk.damage("data/segment-2", 15);
      Disk.endAfter(Operations);
      try {
        SegmentFolder Folder("data", SmallSegment, Disk);
        const auto Damage = damageIn(Folder);
        REQUIRE(Damage);
        CHECK(Damage->File == "segment-2");
        CHECK(Damage->Offset == 0);
        CHECK(Damage->Reason == FolderDamage::Kind::Corrupt);
        const bool IsMoved = Folder.setAside(*Damage).has_value();
        CHECK(IsMoved);
      } catch (const ProcessEnded &) {
      }
      if (Seed % 2 == 0)
        Disk.kill();
      else
        Disk.losePower();
      SegmentFolder Folder("data", SmallSegment, Disk);
      if (const auto Again = damageIn(Folder))
        REQUIRE(Folder.setAside(*Again));
      std::vector<std::string> Read;
      REQUIRE(Folder.open([&Read](const std::string &Payload, BatchLocation) {
        Read.push_back(Payload);
        return true;
      }));
      CHECK(Read.empty());
      CHECK_FALSE(Folder.holder().Value == Before);
      for (const char *Name : {"1", "2", "3"})
        CHECK(Disk.read(std::string("data/damaged-segment-") + Name));
    }
  }
}

TEST_CASE("Segments: a frame that this version can't decode is not cut off") {
  SimulatedDisk Disk(1);
  {
    SegmentFolder Folder("data", SmallSegment, Disk);
    REQUIRE(Folder.open(acceptAll));
    REQUIRE(Folder.append("of another version"));
    REQUIRE(Folder.append("stored"));
    REQUIRE(Folder.sync());
  }
  const std::string Before = Disk.read("data/segment-1").value();
  SegmentFolder Folder("data", SmallSegment, Disk);
  const auto Opened =
      Folder.open([](const std::string &, BatchLocation) { return false; });
  REQUIRE_FALSE(Opened);
  CHECK(std::holds_alternative<SystemError>(Opened.error()));
  CHECK(Disk.read("data/segment-1").value() == Before);
}

TEST_CASE("Segments: a payload that changed on the disk is not returned") {
  SimulatedDisk Disk(1);
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(acceptAll));
  const auto At = Folder.append("stored");
  REQUIRE(At);
  REQUIRE(Folder.sync());
  CHECK(Folder.read(At.value()).value() == "stored");
  Disk.damage("data/segment-1", At.value().Offset);
  CHECK(Folder.read(At.value()).error().ErrorNumber == 0);
}

TEST_CASE("Segments: an id that can't be read is not replaced") {
  SimulatedDisk Disk(1);
  const std::string Before = writeThreeSegments(Disk);
  Disk.failReads("data/holder-id", EMFILE);
  {
    SegmentFolder Folder("data", SmallSegment, Disk);
    const auto Opened = Folder.open(acceptAll);
    REQUIRE_FALSE(Opened);
    CHECK(std::get<SystemError>(Opened.error()).ErrorNumber == EMFILE);
  }
  Disk.failReads("data/holder-id", 0);
  SegmentFolder Folder("data", SmallSegment, Disk);
  REQUIRE(Folder.open(acceptAll));
  CHECK(Folder.holder().Value == Before);
}

TEST_CASE("Segments: a file that the disk can't read counts as damaged") {
  SimulatedDisk Disk(1);
  writeThreeSegments(Disk);
  Disk.failReads("data/segment-2", EIO);
  SegmentFolder Folder("data", SmallSegment, Disk);
  const auto Damage = damageIn(Folder);
  REQUIRE(Damage);
  CHECK(Damage->Reason == FolderDamage::Kind::Unreadable);
  REQUIRE(Folder.setAside(*Damage));
  REQUIRE(Folder.open(acceptAll));
}

TEST_CASE("Journal: a damaged folder is replaced by an empty one with another "
          "holder id") {
  SimulatedDisk Disk(1);
  HolderId Before;
  for (std::uint64_t Index = 1; Index <= 2; ++Index) {
    JournalFolder Folder("data", Disk);
    Before = Folder.open().value().Self;
    REQUIRE(Folder.appendBatch(AppendRecords{
        ShardId(1), Epoch(5), Index, {ProgramEnded{ProgramId("p")}}}));
    REQUIRE(Folder.sync());
  }
  Disk.damage("data/segment-1", 20);
  JournalFolder Folder("data", Disk);
  const auto Opened = Folder.open();
  REQUIRE(Opened);
  CHECK_FALSE(Opened.value().Self == Before);
  CHECK(Opened.value().Shards.empty());
  CHECK(Folder.readEpoch(ShardId(1), Epoch(5)).value().empty());
  REQUIRE(Folder.damage());
  CHECK(Folder.damage()->File == "segment-1");
}

TEST_CASE("Segments: nothing stored or read is lost by kills and losses of "
          "power") {
  CHECK(firstViolation<Segments>(0) == None);
}

TEST_CASE("Segments: nothing stored is lost if writes fail as well") {
  CHECK(firstViolation<Segments>(0.1) == None);
}

TEST_CASE("Journal: a disk that can't be read ends the start with an error") {
  SimulatedDisk Disk(1);
  writeThreeSegments(Disk);
  Disk.failReads("data/holder-id", EIO);
  Disk.endAfter(500);
  JournalFolder Folder("data", Disk);
  bool HasTriedForEver = false;
  try {
    (void)Folder.open();
  } catch (const ProcessEnded &) {
    HasTriedForEver = true;
  }
  CHECK_FALSE(HasTriedForEver);
}

TEST_CASE("Journal: nothing stored or read is lost by kills and losses of "
          "power") {
  CHECK(firstViolation<Batches>(0) == None);
}

TEST_CASE("Journal: nothing stored is lost if writes fail as well") {
  CHECK(firstViolation<Batches>(0.1) == None);
}

TEST_CASE("Journal writer: reports a batch and sends a sealed log only once "
          "they are durable") {
  SimulatedDisk Disk(1);
  JournalFolder Folder("data", Disk);
  REQUIRE(Folder.open());
  std::uint64_t Index = 0;
  std::size_t Answers = 0;
  std::size_t Failures = 0;
  bool AreDurable = true;
  const auto Store = [&] {
    JournalWriter Writer(
        Folder,
        [&](const HolderEvent &Event) {
          if (std::holds_alternative<DataFolderFailed>(Event)) {
            ++Failures;
            return;
          }
          ++Answers;
          AreDurable = AreDurable && Disk.isDurable();
        },
        [&](const HostId &, const Message &) {
          ++Answers;
          AreDurable = AreDurable && Disk.isDurable();
        });
    Writer.submit(PersistBatch{
        HostId("h"),
        AppendRecords{
            ShardId(1), Epoch(5), ++Index, {ProgramEnded{ProgramId("p")}}},
        {}});
    Writer.submit(PersistFenceAndSend{
        HostId("h"), SealLog{ShardId(2), Epoch(5), Epoch(6)}, {}});
  };
  Store();
  CHECK(Answers == 2);
  CHECK(AreDurable);
  Disk.failNextSync();
  Store();
  CHECK(Answers == 2);
  CHECK(Failures > 0);
}

TEST_CASE("Segments and journal: the same with many seeds",
          "[.power-loss-by-hand]") {
  for (const double Failures : {0.0, 0.02, 0.1}) {
    CHECK(firstViolation<Segments>(Failures, SeedsByHand) == None);
    CHECK(firstViolation<Batches>(Failures, SeedsByHand) == None);
  }
}
