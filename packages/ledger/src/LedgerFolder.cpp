#include "tanagerlanding/ledger/LedgerFolder.h"

#include "tanagerlanding/wire.h"

#include <algorithm>
#include <chrono>

namespace tanagerlanding {

namespace {

/// Small, so that expired records free their space soon: a segment is deleted
/// once nothing in it is needed.
constexpr std::uint64_t SegmentBytes = 4 * 1024 * 1024;
/// The present segment, and the one before it, in which batches may lie that
/// are written but not yet reported.
constexpr std::uint64_t SegmentsKept = 2;
constexpr const char *ViewFile = "view";
constexpr const char *DirectoryFile = "directory";

} // namespace

LedgerFolder::LedgerFolder(const std::string &Path)
    : Folder(Path, SegmentBytes) {}

Result<void, SystemError>
LedgerFolder::open(const std::function<void(LedgerBatch, RecordPlace)> &Visit) {
  return this->Folder.open([&](const std::string &Payload, RecordPlace At) {
    auto Body = decodeMessage(Payload);
    if (!Body || !std::holds_alternative<LedgerBatch>(Body.value()))
      return false;
    Visit(std::move(std::get<LedgerBatch>(Body.value())), At);
    return true;
  });
}

LedgerView LedgerFolder::readView() const {
  const auto Body = decodeMessage(this->Folder.readFile(ViewFile));
  const auto *Offer = Body ? std::get_if<ViewOffer>(&Body.value()) : nullptr;
  return Offer ? Offer->View : LedgerView();
}

Result<void, SystemError>
LedgerFolder::writeView(const LedgerView &View) const {
  return this->Folder.writeFile(ViewFile, encodeMessage(ViewOffer{View}));
}

DirectoryChanges LedgerFolder::readDirectory() const {
  const auto Body = decodeMessage(this->Folder.readFile(DirectoryFile));
  const auto *Items =
      Body ? std::get_if<DirectoryChanges>(&Body.value()) : nullptr;
  return Items ? *Items : DirectoryChanges();
}

Result<void, SystemError>
LedgerFolder::writeDirectory(const DirectoryChanges &Items) const {
  return this->Folder.writeFile(DirectoryFile, encodeMessage(Items));
}

Result<RecordPlace, SystemError>
LedgerFolder::append(const LedgerBatch &Batch) {
  const std::string Payload = encodeMessage(Batch);
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Folder.append(Payload);
}

Result<void, SystemError> LedgerFolder::sync() { return this->Folder.sync(); }

Result<LedgerBatch, SystemError> LedgerFolder::readBatch(RecordPlace At) const {
  const auto Payload = this->Folder.read(At);
  if (!Payload)
    return Payload.error();
  auto Body = decodeMessage(Payload.value());
  if (!Body || !std::holds_alternative<LedgerBatch>(Body.value()))
    return SystemError{"damaged segment " + std::to_string(At.Segment), 0};
  return std::move(std::get<LedgerBatch>(Body.value()));
}

Result<std::string, SystemError> LedgerFolder::readHistory(
    const std::vector<std::pair<TurnId, RecordPlace>> &Turns) const {
  std::string History;
  for (const auto &[Turn, Place] : Turns) {
    const auto Batch = this->readBatch(Place);
    if (!Batch)
      return Batch.error();
    for (const LedgerRecord &Each : Batch.value().Records) {
      const auto *Kept = std::get_if<TurnKept>(&Each);
      if (Kept && Kept->Turn == Turn)
        History += Kept->Input + Kept->Output;
    }
  }
  return History;
}

void LedgerFolder::remove(std::uint64_t Segment) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (Segment + SegmentsKept <= this->Folder.currentSegment())
    this->Folder.remove(Segment);
}

void LedgerFolder::removeOthers(const std::set<std::uint64_t> &Needed) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const std::set<std::uint64_t> Present = this->Folder.segments();
  for (const std::uint64_t Each : Present) {
    if (Needed.count(Each) == 0)
      this->Folder.remove(Each);
  }
}

std::int64_t wallClockMillis() {
  const auto Passed = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Passed).count();
}

} // namespace tanagerlanding
