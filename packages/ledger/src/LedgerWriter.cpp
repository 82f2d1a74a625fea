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
      Worker([this] { this->work(); }) {}

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

std::vector<PersistLedgerBatch> LedgerWriter::takeQueued() {
  std::unique_lock<std::mutex> Guard(this->Lock);
  this->HasWork.wait(
      Guard, [this] { return this->IsStopping || !this->Queued.empty(); });
  std::vector<PersistLedgerBatch> Taken;
  Taken.swap(this->Queued);
  return Taken;
}

std::vector<LedgerEvent>
LedgerWriter::writeGroup(std::vector<PersistLedgerBatch> Group) {
  std::vector<LedgerEvent> Events;
  for (PersistLedgerBatch &Each : Group) {
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
  Events.clear();
  for (const PersistLedgerBatch &Each : Group)
    Events.push_back(LedgerBatchFailed{Each.Ticket});
  return Events;
}

void LedgerWriter::work() {
  for (;;) {
    std::vector<PersistLedgerBatch> Group = this->takeQueued();
    if (Group.empty())
      return;
    this->Report(this->writeGroup(std::move(Group)));
  }
}

} // namespace tanagerlanding
