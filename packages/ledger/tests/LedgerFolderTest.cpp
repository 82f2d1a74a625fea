/// Tests of the recovery of a ledger folder after restarts, and of
/// LedgerWriter.
#include "tanagerlanding/ledger.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>

using namespace tanagerlanding;

namespace {

namespace fs = std::filesystem;

/// A folder that is deleted at the end of the test.
class TemporaryFolder {
public:
  TemporaryFolder()
      : Path(fs::temp_directory_path() /
             ("tanagerlanding-ledger-" + std::to_string(::getpid()))) {
    fs::remove_all(this->Path);
  }
  ~TemporaryFolder() { fs::remove_all(this->Path); }

  const fs::path Path;
};

LedgerBatch batchOf(const std::string &Turn) {
  LedgerBatch Batch;
  Batch.Retention = Milliseconds(60000);
  Batch.Records = {
      TurnRecord{TurnId(Turn), std::nullopt, "in-" + Turn, "out-" + Turn, {}}};
  return Batch;
}

/// Appends batches until the folder starts another segment. Each turn gets a
/// claim, its settlement together with the turn itself, and a claim that stays
/// open. Returns the number of turns.
std::size_t fillSegment(LedgerFolder &Folder) {
  const std::string Text(20000, 'x');
  const auto First = Folder.append(batchOf("begin")).value().Segment;
  for (std::size_t Number = 0;; ++Number) {
    const std::string Turn = "turn-" + std::to_string(Number);
    const Fingerprint Name = fingerprintOf(TurnId(Turn));
    LedgerBatch Opened = batchOf(Turn);
    Opened.Records = {TokenClaimRecord{ProgramId("p"), {Name, TokenCount{9}}}};
    LedgerBatch Closed = batchOf(Turn);
    std::get<TurnRecord>(Closed.Records[0]).Input = "in-" + Turn + Text;
    Closed.Records.push_back(
        TokenClaimRecord{ProgramId("p"), {Name, TokenCount{4}, true}});
    LedgerBatch Unsettled = Opened;
    std::get<TokenClaimRecord>(Unsettled.Records[0]).Program = ProgramId("q");
    for (const LedgerBatch &Each : {Opened, Closed, Unsettled})
      REQUIRE(Folder.append(Each));
    if (First < Folder.append(batchOf("after-" + Turn)).value().Segment)
      return Number + 1;
  }
}

/// The batches that are read from a folder at start-up.
struct Recovered {
  explicit Recovered(const fs::path &Path) {
    LedgerFolder Folder(Path.string());
    REQUIRE(Folder.open([this](LedgerBatch Batch, BatchLocation Place) {
      ++this->Batches;
      for (const LedgerRecord &Each : Batch.Records) {
        const auto *Kept = std::get_if<TurnRecord>(&Each);
        this->TextBytes += Kept ? Kept->Input.size() : 0;
      }
      reduce(this->State,
             LedgerBatchRecovered{Place, std::move(Batch), Milliseconds(0)});
    }));
  }

  std::size_t Batches = 0;
  std::size_t TextBytes = 0;
  LedgerState State;
};

std::vector<std::string> turnsIn(const fs::path &Path) {
  LedgerFolder Folder(Path.string());
  std::vector<std::string> Turns;
  REQUIRE(Folder.open([&](LedgerBatch Batch, BatchLocation) {
    Turns.push_back(std::get<TurnRecord>(Batch.Records.at(0)).Turn.Value);
  }));
  return Turns;
}

} // namespace

TEST_CASE(
    "Ledger folder: batches, view and directory persist across restarts") {
  TemporaryFolder Place;
  HolderId Holder;
  {
    LedgerFolder Folder(Place.Path.string());
    REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
    Holder = Folder.holder();
    const auto First = Folder.append(batchOf("t1"));
    const auto Second = Folder.append(batchOf("t2"));
    REQUIRE(First);
    REQUIRE(Second);
    REQUIRE(Folder.sync());
    CHECK(Folder
              .readHistory({{TurnId("t1"), First.value()},
                            {TurnId("t2"), Second.value()}})
              .value() == "in-t1out-t1in-t2out-t2");
    LedgerView View;
    View.Version = ViewVersion(4);
    REQUIRE(Folder.writeView(View));
    REQUIRE(Folder.writeDirectory(DirectoryChanges{
        {DirectoryItem{"k", "v", Revision(2), false}}, false}));
  }
  LedgerFolder Folder(Place.Path.string());
  REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
  CHECK(Folder.holder() == Holder);
  CHECK(Folder.view().Version == ViewVersion(4));
  CHECK(Folder.readDirectory().Items.at(0).Value == "v");
}

TEST_CASE(
    "Ledger folder: a torn end is truncated, the batches before it are kept") {
  TemporaryFolder Place;
  {
    LedgerFolder Folder(Place.Path.string());
    REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
    REQUIRE(Folder.append(batchOf("t1")));
    REQUIRE(Folder.append(batchOf("t2")));
    REQUIRE(Folder.sync());
  }
  const fs::path Segment = Place.Path / "segment-1";
  fs::resize_file(Segment, fs::file_size(Segment) - 3);
  CHECK(turnsIn(Place.Path) == std::vector<std::string>{"t1"});
  CHECK(turnsIn(Place.Path) == std::vector<std::string>{"t1"});
}

TEST_CASE("Ledger folder: a start reads the index of a closed segment") {
  TemporaryFolder Place;
  std::size_t Turns = 0;
  {
    LedgerFolder Folder(Place.Path.string());
    REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
    Turns = fillSegment(Folder);
    REQUIRE(Folder.sync());
  }
  const Recovered Whole(Place.Path);
  {
    LedgerFolder Folder(Place.Path.string());
    REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
    while (Folder.indexNext().value())
      continue;
  }
  const Recovered Indexed(Place.Path);
  CHECK(Indexed.TextBytes == 0);
  // Claims that are settled in the same segment are omitted.
  CHECK(Indexed.Batches == Whole.Batches - Turns);
  CHECK(Indexed.State.Turns.size() == Whole.State.Turns.size());
  REQUIRE(Indexed.State.Programs.size() == 2);
  for (const auto &[Program, Claims] : Whole.State.Programs) {
    const auto &Read = Indexed.State.Programs.at(Program).Claims;
    REQUIRE(Read.size() == Claims.Claims.size());
    for (const auto &[Turn, Entry] : Claims.Claims) {
      CHECK(Read.at(Turn).Claim.Tokens.Value == Entry.Claim.Tokens.Value);
      CHECK(Read.at(Turn).Claim.IsSettled == Entry.Claim.IsSettled);
    }
  }
  // The text can be read at the indexed locations.
  LedgerFolder Folder(Place.Path.string());
  REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
  const TurnIndexEntry &Kept = Indexed.State.Turns.at(TurnId("turn-0"));
  const BatchLocation At = Indexed.State.StoredBatches.at(Kept.Batch).Place;
  const std::string Text = Folder.readHistory({{TurnId("turn-0"), At}}).value();
  CHECK(Text.substr(0, 9) == "in-turn-0");
  CHECK(Kept.TextBytes == Text.size());
  HistoryReader Reader(Folder);
  const TurnId Turn("turn-0");
  const std::uint64_t InputBytes = Text.size() - 10;
  const auto Read = [&](std::uint64_t Offset, std::uint64_t Bytes) {
    return Reader.read({TurnPiece{Turn, At, Offset, Bytes}});
  };
  CHECK(Read(0, Text.size()).value() == Text);
  CHECK(Read(5, 100).value() == Text.substr(5, 100));
  CHECK(Read(InputBytes - 3, 7).value() == Text.substr(InputBytes - 3, 7));
  CHECK(Read(InputBytes + 2, 8).value() == Text.substr(InputBytes + 2, 8));
  CHECK_FALSE(Read(InputBytes + 2, 9));
  CHECK_FALSE(Reader.read({TurnPiece{TurnId("other"), At, 0, 1}}));
}

TEST_CASE(
    "Ledger folder: an index that does not match its segment is not used") {
  TemporaryFolder Place;
  SECTION("of one that had the same number") {
    {
      LedgerFolder Folder(Place.Path.string());
      REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
      REQUIRE(Folder.append(batchOf("old")));
      REQUIRE(Folder.sync());
    }
    {
      LedgerFolder Folder(Place.Path.string());
      REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
      REQUIRE(Folder.indexNext().value());
    }
    REQUIRE(fs::exists(Place.Path / "index-1"));
    fs::remove(Place.Path / "segment-1");
    fs::remove(Place.Path / "segment-2");
  }
  SECTION("damaged") {
    fs::create_directories(Place.Path);
    std::ofstream(Place.Path / "index-1") << "?";
  }
  {
    LedgerFolder Folder(Place.Path.string());
    REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
    REQUIRE(Folder.append(batchOf("new")));
    REQUIRE(Folder.sync());
  }
  // At the first start the segment is the last one, at the second it is closed.
  CHECK(turnsIn(Place.Path) == std::vector<std::string>{"new"});
  CHECK(turnsIn(Place.Path) == std::vector<std::string>{"new"});
}

TEST_CASE("Ledger folder: a segment's index is deleted with it") {
  TemporaryFolder Place;
  LedgerFolder Folder(Place.Path.string());
  REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
  fillSegment(Folder);
  while (Folder.indexNext().value())
    continue;
  REQUIRE(fs::exists(Place.Path / "index-1"));
  Folder.removeOthers({});
  CHECK_FALSE(fs::exists(Place.Path / "segment-1"));
  CHECK_FALSE(fs::exists(Place.Path / "index-1"));
}

TEST_CASE("Segments: none is deleted while the folder is being opened") {
  TemporaryFolder Place;
  constexpr std::uint64_t TinySegment = 1;
  constexpr int Payloads = 20;
  {
    SegmentFolder Folder(Place.Path.string(), TinySegment);
    REQUIRE(
        Folder.open([](const std::string &, BatchLocation) { return true; }));
    for (int Number = 0; Number < Payloads; ++Number)
      REQUIRE(Folder.append(std::to_string(Number)));
    REQUIRE(Folder.sync());
  }
  for (int Round = 0; Round < 2; ++Round) {
    SegmentFolder Folder(Place.Path.string(), TinySegment);
    std::vector<std::string> Read;
    REQUIRE(Folder.open([&](const std::string &Payload, BatchLocation At) {
      Read.push_back(Payload);
      Folder.remove(At.Segment);
      return true;
    }));
    CHECK(Read.size() == Payloads);
  }
}

TEST_CASE("Ledger folder: files that are not segments are ignored") {
  TemporaryFolder Place;
  fs::create_directories(Place.Path);
  std::ofstream(Place.Path / "segment-x") << "?";
  std::ofstream(Place.Path / "notes") << "?";
  CHECK(turnsIn(Place.Path).empty());
}

TEST_CASE("Ledger writer: each batch is reported once it is durable") {
  TemporaryFolder Place;
  LedgerFolder Folder(Place.Path.string());
  REQUIRE(Folder.open([](LedgerBatch, BatchLocation) {}));
  std::mutex Lock;
  std::condition_variable Changed;
  std::size_t Stored = 0;
  LedgerWriter Writer(Folder, [&](const std::vector<LedgerEvent> &Events) {
    const std::lock_guard<std::mutex> Guard(Lock);
    for (const LedgerEvent &Each : Events)
      Stored += std::holds_alternative<LedgerBatchStored>(Each) ? 1 : 0;
    Changed.notify_one();
  });
  for (std::uint64_t Ticket = 1; Ticket <= 20; ++Ticket)
    Writer.submit(PersistLedgerBatch{Ticket, batchOf(std::to_string(Ticket))});
  Writer.submitDirectory({});
  std::unique_lock<std::mutex> Guard(Lock);
  CHECK(Changed.wait_for(Guard, std::chrono::seconds(10),
                         [&] { return Stored == 20; }));
}
