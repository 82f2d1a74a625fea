/// Tests of segments on disk: recovery, torn ends, fences, and deletion.
#include "tanagerlanding/journal.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

using namespace tanagerlanding;

namespace {

namespace fs = std::filesystem;

/// A folder that is deleted at the end of the test.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Pattern =
        (fs::temp_directory_path() / "tanagerlanding-journal-XXXXXX").string();
    REQUIRE(::mkdtemp(Pattern.data()));
    this->Path = Pattern;
  }
  ~TemporaryFolder() { fs::remove_all(this->Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  /// Returns the segment with the most bytes.
  fs::path largestSegment() const {
    fs::path Largest;
    for (const auto &Each : fs::directory_iterator(this->Path)) {
      if (Largest.empty() || fs::file_size(Each) > fs::file_size(Largest))
        Largest = Each.path();
    }
    return Largest;
  }

  std::string Path;
};

AppendRecords batch(std::uint64_t Index, const std::string &Program) {
  return AppendRecords{
      ShardId(1), Epoch(5), Index, {ProgramEnded{ProgramId(Program)}}};
}

std::vector<std::string> programsOf(const JournalFolder &Folder) {
  const auto Records = Folder.readEpoch(ShardId(1), Epoch(5));
  REQUIRE(Records);
  std::vector<std::string> Names;
  for (const Record &Each : Records.value())
    Names.push_back(std::get<ProgramEnded>(Each).Program.Value);
  return Names;
}

void writeThree(const std::string &Path) {
  JournalFolder Folder(Path);
  REQUIRE(Folder.open());
  for (std::uint64_t Index = 1; Index <= 3; ++Index)
    REQUIRE(Folder.appendBatch(batch(Index, "p" + std::to_string(Index))));
  REQUIRE(Folder.sync());
}

} // namespace

TEST_CASE(
    "Journal: records, epochs and the holder's id persist across restarts") {
  TemporaryFolder Place;
  writeThree(Place.Path);
  JournalFolder Folder(Place.Path);
  const auto First = Folder.open();
  REQUIRE(First);
  CHECK(programsOf(Folder) == std::vector<std::string>{"p1", "p2", "p3"});
  const HeldShard &Shard = First.value().Shards.at(ShardId(1));
  CHECK(Shard.Fence == Epoch(5));
  CHECK(Shard.NextIndex.at(Epoch(5)) == 4);
  JournalFolder Again(Place.Path);
  CHECK(Again.open().value().Self == First.value().Self);
}

TEST_CASE("Journal: a torn end is truncated at any byte, the rest is kept") {
  TemporaryFolder Whole;
  writeThree(Whole.Path);
  const auto Bytes = fs::file_size(Whole.largestSegment());
  for (std::uintmax_t Length = 0; Length <= Bytes; ++Length) {
    TemporaryFolder Place;
    writeThree(Place.Path);
    fs::resize_file(Place.largestSegment(), Length);
    JournalFolder Folder(Place.Path);
    const auto Opened = Folder.open();
    REQUIRE(Opened);
    const auto Names = programsOf(Folder);
    const std::vector<std::string> All = {"p1", "p2", "p3"};
    CHECK(std::equal(Names.begin(), Names.end(), All.begin()));
    // New batches follow the ones that were kept.
    const std::uint64_t Next = Names.size() + 1;
    REQUIRE(Folder.appendBatch(batch(Next, "next")));
    REQUIRE(Folder.sync());
    JournalFolder Again(Place.Path);
    REQUIRE(Again.open());
    CHECK(programsOf(Again).size() == Names.size() + 1);
    CHECK(programsOf(Again).back() == "next");
  }
}

TEST_CASE(
    "Journal: damage before the last segment is detected, and no record of the "
    "folder is served") {
  TemporaryFolder Place;
  writeThree(Place.Path);
  const fs::path Segment = Place.largestSegment();
  // Starts a later segment, so that this one is no longer the last.
  const HolderId Before = JournalFolder(Place.Path).open().value().Self;
  std::fstream File(Segment, std::ios::in | std::ios::out | std::ios::binary);
  File.seekp(20);
  File.put('\x55');
  File.close();
  JournalFolder Folder(Place.Path);
  const auto Opened = Folder.open();
  REQUIRE(Opened);
  REQUIRE(Folder.damage());
  CHECK(Folder.damage()->File == Segment.filename().string());
  CHECK(Opened.value().Shards.empty());
  CHECK(programsOf(Folder).empty());
  CHECK_FALSE(Opened.value().Self == Before);
}

TEST_CASE(
    "Journal: a fence persists after a restart and the drop of older epochs") {
  TemporaryFolder Place;
  {
    JournalFolder Folder(Place.Path);
    REQUIRE(Folder.open());
    REQUIRE(Folder.appendBatch(batch(1, "p1")));
    REQUIRE(Folder.appendFence(ShardId(1), Epoch(8)));
    REQUIRE(Folder.sync());
    Folder.dropEpochs(ShardId(1), Epoch(8));
  }
  JournalFolder Folder(Place.Path);
  const auto Opened = Folder.open();
  REQUIRE(Opened);
  CHECK(Opened.value().Shards.at(ShardId(1)).Fence == Epoch(8));
}

TEST_CASE("Journal: segments without needed batches are deleted") {
  TemporaryFolder Place;
  writeThree(Place.Path);
  JournalFolder Folder(Place.Path);
  REQUIRE(Folder.open());
  REQUIRE(Folder.segmentCount() == 2);
  Folder.dropEpochs(ShardId(1), Epoch(6));
  CHECK(Folder.segmentCount() == 1);
}

TEST_CASE("Journal: a folder that can't be created is reported as an error") {
  JournalFolder Folder("/dev/full/journal");
  CHECK_FALSE(Folder.open());
}
