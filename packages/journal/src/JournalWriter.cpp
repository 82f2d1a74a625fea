#include "tanagerlanding/journal/JournalWriter.h"

#include "tanagerlanding/wire.h"

namespace tanagerlanding {

namespace {

/// Number of bytes of records after which a part of a sealed log ends.
constexpr std::size_t SealedPartBytes = 1024 * 1024;

} // namespace

/// Performs the effects of one group with a single sync.
class JournalWriter::GroupCommit {
public:
  explicit GroupCommit(JournalWriter &Writer) : Writer(Writer) {}

  void operator()(const PersistBatch &Effect) {
    this->check(this->Writer.Folder.appendBatch(Effect.Batch));
    this->Persisted.push_back(BatchPersisted{Effect.Peer, Effect.Notice});
  }

  void operator()(const PersistFenceAndSend &Effect) {
    this->check(this->Writer.Folder.appendFence(Effect.RequestedSeal.Shard,
                                                Effect.RequestedSeal.NewEpoch));
    this->Seals.push_back(Effect);
  }

  void operator()(const DropEpochs &Effect) {
    this->Writer.Folder.dropEpochs(Effect.Shard, Effect.Below);
  }

  void operator()(const SendFromHolder &) {}

  /// Makes the group durable and reports its effects, or reports
  /// DataFolderFailed if any step failed.
  void finish() {
    this->check(this->Writer.Folder.sync());
    if (this->HasFailed) {
      this->Writer.Events(DataFolderFailed{});
      return;
    }
    for (const BatchPersisted &Each : this->Persisted)
      this->Writer.Events(Each);
    for (const PersistFenceAndSend &Each : this->Seals)
      this->sendSealed(Each);
  }

private:
  void check(const Result<void, SystemError> &Step) {
    this->HasFailed = this->HasFailed || !Step;
  }

  void sendSealed(const PersistFenceAndSend &Effect) {
    LogSealed Answer = Effect.Head;
    const auto Records = this->Writer.Folder.readEpoch(
        Effect.RequestedSeal.Shard, Effect.RequestedSeal.SourceEpoch);
    Answer.IsKnown = Answer.IsKnown && Records;
    std::size_t PartBytes = 0;
    Answer.IsLast = false;
    for (std::size_t Index = 0;
         Answer.IsKnown && Index < Records.value().size(); ++Index) {
      const Record &Content = Records.value()[Index];
      PartBytes += encodeRecord(Content).size();
      Answer.Records.push_back(Content);
      if (PartBytes < SealedPartBytes)
        continue;
      this->Writer.Messages(Effect.Peer, Answer);
      Answer.Records.clear();
      ++Answer.Part;
      PartBytes = 0;
    }
    Answer.IsLast = true;
    this->Writer.Messages(Effect.Peer, std::move(Answer));
  }

  JournalWriter &Writer;
  bool HasFailed = false;
  std::vector<BatchPersisted> Persisted;
  std::vector<PersistFenceAndSend> Seals;
};

JournalWriter::JournalWriter(JournalFolder &Folder, EventSink Events,
                             MessageSink Messages)
    : Folder(Folder), Events(std::move(Events)), Messages(std::move(Messages)),
      Worker([this] { this->run(); }) {}

JournalWriter::~JournalWriter() {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->IsStopping = true;
  }
  this->HasWork.notify_one();
  this->Worker.join();
}

void JournalWriter::submit(HolderEffect Effect) {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Queued.push_back(std::move(Effect));
  }
  this->HasWork.notify_one();
}

std::vector<HolderEffect> JournalWriter::takeQueued() {
  std::unique_lock<std::mutex> Guard(this->Lock);
  this->HasWork.wait(
      Guard, [this] { return this->IsStopping || !this->Queued.empty(); });
  std::vector<HolderEffect> Taken;
  Taken.swap(this->Queued);
  return Taken;
}

void JournalWriter::run() {
  for (;;) {
    const std::vector<HolderEffect> Group = this->takeQueued();
    if (Group.empty())
      return;
    GroupCommit Commit(*this);
    for (const HolderEffect &Effect : Group)
      std::visit(Commit, Effect);
    Commit.finish();
  }
}

} // namespace tanagerlanding
