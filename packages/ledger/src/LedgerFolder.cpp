#include "tanagerlanding/ledger/LedgerFolder.h"

#include "tanagerlanding/decision/ledger/SegmentIndex.h"
#include "tanagerlanding/runtime/Log.h"
#include "tanagerlanding/wire.h"

#include <algorithm>
#include <chrono>

namespace tanagerlanding {

namespace {

/// Size at which a segment is closed. Small, because a segment is deleted only
/// once none of its records are needed, and because the last segment has no
/// index and is read as a whole at start-up.
constexpr std::uint64_t SegmentBytes = 2 * 1024 * 1024;
constexpr const char *ViewFile = "view";
constexpr const char *DirectoryFile = "directory";
constexpr const char *SuspectsFile = "suspects";
constexpr const char *IndexPrefix = "index-";

std::string indexName(std::uint64_t Segment) {
  return IndexPrefix + std::to_string(Segment);
}

std::optional<LedgerBatch> batchIn(const std::string &Payload) {
  auto Body = decodeMessage(Payload);
  if (!Body || !std::holds_alternative<LedgerBatch>(Body.value()))
    return std::nullopt;
  return std::move(std::get<LedgerBatch>(Body.value()));
}

} // namespace

LedgerFolder::LedgerFolder(const std::string &Path, FileSystem &Files)
    : Folder(Path, SegmentBytes, Files) {}

Result<void, OpenFailure> LedgerFolder::open(
    const std::function<void(LedgerBatch, BatchLocation)> &Visit) {
  this->Indexed.clear();
  const auto VisitPayload = [&](const std::string &Payload, BatchLocation At) {
    auto Batch = batchIn(Payload);
    if (Batch)
      Visit(std::move(*Batch), At);
    return Batch.has_value();
  };
  if (auto Opened = this->Folder.open(VisitPayload,
                                      [&](std::uint64_t Segment) {
                                        return this->readIndex(Segment, Visit);
                                      });
      !Opened)
    return Opened;
  return this->readView();
}

Result<void, SystemError> LedgerFolder::setAside(const FolderDamage &Damage) {
  return this->Folder.setAside(Damage);
}

bool LedgerFolder::readIndex(
    std::uint64_t Segment,
    const std::function<void(LedgerBatch, BatchLocation)> &Visit) {
  const auto Identity = this->Folder.identify(Segment);
  if (!Identity)
    return false;
  const auto Bytes = this->Folder.readFile(indexName(Segment));
  if (!Bytes)
    return false;
  const bool IsRead = decodeSegmentIndex(
      Bytes.value(), Segment, Identity.value(),
      [&](IndexedBatch Each) { Visit(std::move(Each.Batch), Each.Place); });
  if (IsRead)
    this->Indexed.insert(Segment);
  return IsRead;
}

std::optional<std::uint64_t> LedgerFolder::nextWithoutIndex() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const std::uint64_t Each : this->Folder.segments()) {
    if (Each < this->Folder.currentSegment() && this->Indexed.count(Each) == 0)
      return Each;
  }
  return std::nullopt;
}

Result<std::string, SystemError>
LedgerFolder::makeIndex(std::uint64_t Segment) {
  const auto Identity = this->Folder.identify(Segment);
  if (!Identity)
    return Identity.error();
  SegmentIndex Index;
  Index.Identity = Identity.value();
  const auto Read = this->Folder.visitSegment(
      Segment, [&](const std::string &Payload, BatchLocation At) {
        auto Batch = batchIn(Payload);
        if (Batch)
          Index.Batches.push_back({At, withoutText(std::move(*Batch))});
        return Batch.has_value();
      });
  if (!Read)
    return asSystemError(Read.error());
  Index.Batches = withoutSuperseded(std::move(Index.Batches));
  return encodeSegmentIndex(Index);
}

Result<bool, SystemError> LedgerFolder::indexNext() {
  const auto Segment = this->nextWithoutIndex();
  if (!Segment)
    return false;
  const auto Bytes = this->makeIndex(*Segment);
  Result<void, SystemError> Written = success();
  if (Bytes)
    Written = this->Folder.writeFile(indexName(*Segment), Bytes.value());
  const std::lock_guard<std::mutex> Guard(this->Lock);
  // A failed index is not retried; the segment is read as a whole at the next
  // start.
  this->Indexed.insert(*Segment);
  const bool IsGone = this->Folder.segments().count(*Segment) == 0;
  if (IsGone)
    this->removeSegment(*Segment);
  else if (!Bytes)
    return Bytes.error();
  else if (!Written)
    return Written.error();
  return true;
}

/// A replica must not take a view that it can't read for none: it might then
/// adopt and serve under an outdated one.
Result<void, OpenFailure> LedgerFolder::readView() {
  this->View = LedgerView();
  const auto Bytes = this->Folder.readFile(ViewFile);
  if (!Bytes)
    return Bytes.error();
  if (Bytes.value().empty())
    return success();
  const auto Body = decodeMessage(Bytes.value());
  const auto *Offer = Body ? std::get_if<ViewOffer>(&Body.value()) : nullptr;
  if (!Offer)
    return SystemError{std::string("decode ") + ViewFile, 0};
  this->View = Offer->View;
  return success();
}

Result<void, SystemError>
LedgerFolder::writeView(const LedgerView &View) const {
  return this->Folder.writeFile(ViewFile, encodeMessage(ViewOffer{View}));
}

/// Reads a file that others can provide again.
template <typename Content>
Content LedgerFolder::readCache(const std::string &Name) const {
  const auto Bytes = this->Folder.readFile(Name);
  if (Bytes && Bytes.value().empty())
    return Content();
  if (Bytes) {
    auto Body = decodeMessage(Bytes.value());
    auto *Read = Body ? std::get_if<Content>(&Body.value()) : nullptr;
    if (Read)
      return std::move(*Read);
  }
  logEvent("data_folder_file_ignored", {{"file", Name}});
  return Content();
}

DirectoryChanges LedgerFolder::readDirectory() const {
  return this->readCache<DirectoryChanges>(DirectoryFile);
}

Result<void, SystemError>
LedgerFolder::writeDirectory(const DirectoryChanges &Items) const {
  return this->Folder.writeFile(DirectoryFile, encodeMessage(Items));
}

SuspectList LedgerFolder::readSuspects() const {
  return this->readCache<SuspectList>(SuspectsFile);
}

Result<void, SystemError>
LedgerFolder::writeSuspects(const SuspectList &Suspects) const {
  return this->Folder.writeFile(SuspectsFile, encodeMessage(Suspects));
}

Result<BatchLocation, SystemError>
LedgerFolder::append(const LedgerBatch &Batch) {
  const std::string Payload = encodeMessage(Batch);
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Place = this->Folder.append(Payload);
  if (Place)
    ++this->Unreported[Place.value().Segment];
  return Place;
}

void LedgerFolder::release(BatchLocation Place) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Unreported.find(Place.Segment);
  if (Found != this->Unreported.end() && --Found->second == 0)
    this->Unreported.erase(Found);
}

Result<void, SystemError> LedgerFolder::sync() { return this->Folder.sync(); }

Result<LedgerBatch, SystemError>
LedgerFolder::readBatch(BatchLocation At) const {
  const auto Payload = this->Folder.read(At);
  if (!Payload)
    return Payload.error();
  auto Batch = batchIn(Payload.value());
  if (!Batch)
    return SystemError{"damaged segment " + std::to_string(At.Segment), 0};
  return std::move(*Batch);
}

Result<std::string, SystemError> LedgerFolder::readHistory(
    const std::vector<std::pair<TurnId, BatchLocation>> &Turns) const {
  std::string History;
  for (const auto &[Turn, Place] : Turns) {
    const auto Kept = this->readTurn(Turn, Place);
    if (!Kept)
      return Kept.error();
    History += Kept.value().Input.text();
    History += Kept.value().Output.text();
  }
  return History;
}

Result<TurnRecord, SystemError> LedgerFolder::readTurn(const TurnId &Turn,
                                                       BatchLocation At) const {
  auto Batch = this->readBatch(At);
  if (!Batch)
    return Batch.error();
  for (LedgerRecord &Each : Batch.value().Records) {
    auto *Kept = std::get_if<TurnRecord>(&Each);
    if (Kept && Kept->Turn == Turn)
      return std::move(*Kept);
  }
  return SystemError{"no such turn in segment " + std::to_string(At.Segment),
                     0};
}

void LedgerFolder::remove(std::uint64_t Segment) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Unreported.count(Segment) == 0)
    this->removeSegment(Segment);
}

/// Deletes the index first, since an index without its segment would never be
/// deleted.
void LedgerFolder::removeSegment(std::uint64_t Segment) {
  if (Segment == this->Folder.currentSegment())
    return;
  this->Folder.removeFile(indexName(Segment));
  this->Folder.remove(Segment);
  this->Indexed.erase(Segment);
}

void LedgerFolder::removeOthers(const std::set<std::uint64_t> &Needed) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const std::set<std::uint64_t> Present = this->Folder.segments();
  for (const std::uint64_t Each : Present) {
    if (Needed.count(Each) == 0)
      this->removeSegment(Each);
  }
}

std::int64_t wallClockMillis() {
  const auto Passed = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Passed).count();
}

} // namespace tanagerlanding
