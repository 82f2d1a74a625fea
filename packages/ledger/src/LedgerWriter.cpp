#include "tanagerlanding/ledger/LedgerWriter.h"

#include "tanagerlanding/runtime/Log.h"

namespace tanagerlanding {

namespace {

void logFailure(const SystemError &Error) {
  logEvent("ledger_write_failed",
           {{"operation", Error.Operation},
            {"errno", std::to_string(Error.ErrorNumber)}});
}

} // namespace

LedgerWriter::LedgerWriter(LedgerFolder &Folder, Sink Report)
    : Folder(Folder), Report(std::move(Report)),
      Worker([this] { this->run(); }) {}

LedgerWriter::~LedgerWriter() {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->IsStopping = true;
  }
  this->HasWork.notify_one();
  this->Worker.join();
}

void LedgerWriter::submit(PersistLedgerBatch Batch) {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Queued.push_back(std::move(Batch));
  }
  this->HasWork.notify_one();
}

void LedgerWriter::submitDirectory(DirectoryChanges Items) {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->QueuedDirectory = std::move(Items);
  }
  this->HasWork.notify_one();
}

void LedgerWriter::submitSuspects(SuspectList Suspects) {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->QueuedSuspects = std::move(Suspects);
  }
  this->HasWork.notify_one();
}

bool LedgerWriter::takeQueued() {
  std::unique_lock<std::mutex> Guard(this->Lock);
  this->HasWork.wait(Guard, [this] {
    return this->IsStopping || !this->Queued.empty() || this->QueuedDirectory ||
           this->QueuedSuspects;
  });
  this->Group.swap(this->Queued);
  this->Directory.swap(this->QueuedDirectory);
  this->Suspects.swap(this->QueuedSuspects);
  return !this->Group.empty() || this->Directory || this->Suspects;
}

void LedgerWriter::writeDirectory() {
  const auto Written = this->Folder.writeDirectory(*this->Directory);
  if (!Written)
    logFailure(Written.error());
  this->Directory.reset();
}

void LedgerWriter::writeSuspects() {
  this->Suspects->WrittenAtMillis = wallClockMillis();
  const auto Written = this->Folder.writeSuspects(*this->Suspects);
  if (!Written)
    logFailure(Written.error());
  this->Suspects.reset();
}

std::vector<LedgerEvent> LedgerWriter::writeGroup() {
  std::vector<LedgerEvent> Events;
  for (PersistLedgerBatch &Each : this->Group) {
    Each.Batch.WrittenAtMillis = wallClockMillis();
    const auto Place = this->Folder.append(Each.Batch);
    if (Place) {
      Events.push_back(LedgerBatchStored{Each.Ticket, Place.value()});
      continue;
    }
    logFailure(Place.error());
    Events.push_back(LedgerBatchFailed{Each.Ticket});
  }
  const auto Synced = this->Folder.sync();
  if (Synced)
    return Events;
  logFailure(Synced.error());
  for (const LedgerEvent &Each : Events) {
    if (const auto *Lost = std::get_if<LedgerBatchStored>(&Each))
      this->Folder.release(Lost->Place);
  }
  Events.clear();
  for (const PersistLedgerBatch &Each : this->Group)
    Events.push_back(LedgerBatchFailed{Each.Ticket});
  return Events;
}

void LedgerWriter::run() {
  while (this->takeQueued()) {
    if (!this->Group.empty())
      this->Report(this->writeGroup());
    this->Group.clear();
    if (this->Directory)
      this->writeDirectory();
    if (this->Suspects)
      this->writeSuspects();
    if (const auto Written = this->Folder.indexNext(); !Written)
      logFailure(Written.error());
  }
}

} // namespace tanagerlanding
