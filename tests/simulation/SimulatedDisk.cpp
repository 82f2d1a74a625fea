#include "SimulatedDisk.h"

#include <algorithm>
#include <cerrno>

namespace tanagerlanding {

namespace {

SystemError noSpace(const std::string &Operation) {
  return SystemError{Operation, ENOSPC};
}

} // namespace

double SimulatedDisk::draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->Random);
}

std::uint64_t SimulatedDisk::drawBelow(std::uint64_t End) {
  return std::uniform_int_distribution<std::uint64_t>(0, End - 1)(this->Random);
}

bool SimulatedDisk::isFailing() {
  if (this->LeftUntilEnd && *this->LeftUntilEnd == 0) {
    this->LeftUntilEnd.reset();
    throw ProcessEnded();
  }
  if (this->LeftUntilEnd)
    --*this->LeftUntilEnd;
  if (this->FailingChanges > 0) {
    --this->FailingChanges;
    return true;
  }
  return this->FailureProbability > 0 &&
         this->draw() < this->FailureProbability;
}

void SimulatedDisk::failReads(const std::string &Path, int ErrorNumber) {
  this->FailingReads[Path] = ErrorNumber;
}

void SimulatedDisk::damage(const std::string &Path, std::uint64_t Offset) {
  Node &Damaged = this->Nodes.at(this->CachedNames.at(Path));
  for (std::string *Bytes : {&Damaged.Durable, &Damaged.Cached})
    Bytes->at(Offset) = static_cast<char>(Bytes->at(Offset) ^ 0x55);
}

void SimulatedDisk::apply(std::string &Contents, const Change &Each) {
  if (!Each.Bytes) {
    Contents.resize(Each.Offset);
    return;
  }
  Contents.resize(
      std::max<std::size_t>(Contents.size(), Each.Offset + Each.Bytes->size()));
  Contents.replace(Each.Offset, Each.Bytes->size(), *Each.Bytes);
}

void SimulatedDisk::apply(Names &Target, const NameChange &Each) {
  if (!Each.From.empty())
    Target.erase(Each.From);
  if (!Each.To.empty())
    Target[Each.To] = Each.Target;
}

void SimulatedDisk::change(NodeId Target, Change Each) {
  Node &Changed = this->Nodes[Target];
  apply(Changed.Cached, Each);
  Changed.Pending.push_back(std::move(Each));
}

void SimulatedDisk::changeName(NameChange Each) {
  apply(this->CachedNames, Each);
  this->PendingNames.push_back(std::move(Each));
}

void SimulatedDisk::kill() {
  this->Open.clear();
  this->LeftUntilEnd.reset();
}

/// Keeps, tears or drops the changes that no sync covers. Those that are left
/// are still not covered.
void SimulatedDisk::loseChanges(Node &Target) {
  std::vector<Change> Left;
  const bool AreAllGone = this->draw() < 0.25;
  for (Change &Each : Target.Pending) {
    const double Fate = this->draw();
    if (AreAllGone || Fate < 0.3)
      continue;
    if (Each.Bytes && Fate < 0.6)
      Each.Bytes->resize(this->drawBelow(Each.Bytes->size() + 1));
    Left.push_back(std::move(Each));
  }
  Target.Pending = std::move(Left);
  Target.Cached = Target.Durable;
  for (const Change &Each : Target.Pending)
    apply(Target.Cached, Each);
}

void SimulatedDisk::losePower() {
  this->kill();
  for (Node &Each : this->Nodes)
    this->loseChanges(Each);
  std::vector<NameChange> Left;
  this->CachedNames = this->DurableNames;
  for (NameChange &Each : this->PendingNames) {
    if (this->draw() < 0.5)
      continue;
    apply(this->CachedNames, Each);
    Left.push_back(std::move(Each));
  }
  this->PendingNames = std::move(Left);
}

std::vector<std::string> SimulatedDisk::names() const {
  std::vector<std::string> All;
  for (const auto &[Name, Target] : this->CachedNames)
    All.push_back(Name);
  return All;
}

bool SimulatedDisk::isDurable() const {
  return this->PendingNames.empty() &&
         std::all_of(this->CachedNames.begin(), this->CachedNames.end(),
                     [this](const auto &Entry) {
                       return this->Nodes.at(Entry.second).Pending.empty();
                     });
}

Result<const SimulatedDisk::Node *, SystemError>
SimulatedDisk::find(const std::string &Path) const {
  const auto Failing = this->FailingReads.find(Path);
  if (Failing != this->FailingReads.end() && Failing->second != 0)
    return SystemError{"read " + Path, Failing->second};
  const auto Found = this->CachedNames.find(Path);
  if (Found == this->CachedNames.end())
    return SystemError{"open " + Path, ENOENT};
  return &this->Nodes.at(Found->second);
}

Result<void, SystemError> SimulatedDisk::createFolder(const std::string &) {
  return success();
}

Result<std::vector<std::string>, SystemError>
SimulatedDisk::list(const std::string &Folder) const {
  std::vector<std::string> Found;
  for (const std::string &Each : this->names()) {
    if (Each.compare(0, Folder.size() + 1, Folder + "/") == 0)
      Found.push_back(Each.substr(Folder.size() + 1));
  }
  return Found;
}

Result<std::string, SystemError>
SimulatedDisk::read(const std::string &Path) const {
  const auto Found = this->find(Path);
  if (!Found)
    return Found.error();
  return Found.value()->Cached;
}

Result<std::string, SystemError>
SimulatedDisk::readPart(const std::string &Path, std::uint64_t Offset,
                        std::size_t Length) const {
  const auto Found = this->find(Path);
  if (!Found)
    return Found.error();
  const std::string &Bytes = Found.value()->Cached;
  return Offset < Bytes.size() ? Bytes.substr(Offset, Length) : std::string();
}

Result<std::uint64_t, SystemError>
SimulatedDisk::size(const std::string &Path) const {
  const auto Found = this->find(Path);
  if (!Found)
    return Found.error();
  return Found.value()->Cached.size();
}

Result<FileHandle, SystemError>
SimulatedDisk::openForAppend(const std::string &Path) {
  if (this->isFailing())
    return noSpace("create " + Path);
  auto Found = this->CachedNames.find(Path);
  if (Found == this->CachedNames.end()) {
    this->Nodes.emplace_back();
    this->changeName({"", Path, this->Nodes.size() - 1});
    Found = this->CachedNames.find(Path);
  }
  const FileHandle Handle{this->NextHandle++};
  this->Open[Handle.Value] = Found->second;
  return Handle;
}

Result<std::size_t, SystemError> SimulatedDisk::write(FileHandle File,
                                                      std::string_view Bytes) {
  const NodeId Target = this->Open.at(File.Value);
  const std::uint64_t End = this->Nodes[Target].Cached.size();
  const bool IsPartial = this->draw() < 0.1;
  const std::size_t Part =
      IsPartial ? 1 + this->drawBelow(Bytes.size()) : Bytes.size();
  bool HasFailed = false;
  try {
    HasFailed = this->isFailing();
  } catch (const ProcessEnded &) {
    this->change(Target, Change{End, std::string(Bytes.substr(0, Part))});
    throw;
  }
  if (HasFailed && !IsPartial)
    return noSpace("write file");
  this->change(Target, Change{End, std::string(Bytes.substr(0, Part))});
  return Part;
}

Result<void, SystemError> SimulatedDisk::truncate(FileHandle File,
                                                  std::uint64_t Size) {
  const NodeId Target = this->Open.at(File.Value);
  if (this->isFailing())
    return noSpace("truncate file");
  this->change(Target, Change{Size, std::nullopt});
  return success();
}

Result<void, SystemError> SimulatedDisk::sync(FileHandle File) {
  const NodeId Target = this->Open.at(File.Value);
  Node &Synced = this->Nodes[Target];
  if (this->isFailing())
    return SystemError{"sync file", EIO};
  if (this->IsNextSyncFailing) {
    this->IsNextSyncFailing = false;
    for (Change &Each : Synced.Pending)
      Each.IsDropped = true;
    return SystemError{"sync file", EIO};
  }
  std::vector<Change> Left;
  for (Change &Each : Synced.Pending) {
    if (Each.IsDropped) {
      Left.push_back(std::move(Each));
      continue;
    }
    apply(Synced.Durable, Each);
    // A truncation that is durable also ends writes behind it.
    if (!Each.Bytes)
      Left.erase(std::remove_if(Left.begin(), Left.end(),
                                [&](const Change &Other) {
                                  return Each.Offset <= Other.Offset;
                                }),
                 Left.end());
  }
  Synced.Pending = std::move(Left);
  this->persistCreation(Target);
  return success();
}

/// A new file persists after its own sync, whatever becomes of earlier changes
/// of its name.
void SimulatedDisk::persistCreation(NodeId Target) {
  const auto Creation =
      std::find_if(this->PendingNames.begin(), this->PendingNames.end(),
                   [Target](const NameChange &Each) {
                     return Each.From.empty() && Each.Target == Target;
                   });
  if (Creation == this->PendingNames.end())
    return;
  apply(this->DurableNames, *Creation);
  for (auto Earlier = this->PendingNames.begin(); Earlier != Creation;
       ++Earlier) {
    if (Earlier->From == Creation->To)
      Earlier->From.clear();
    if (Earlier->To == Creation->To)
      Earlier->To.clear();
  }
  this->PendingNames.erase(Creation);
}

void SimulatedDisk::close(FileHandle File) { this->Open.erase(File.Value); }

Result<void, SystemError> SimulatedDisk::rename(const std::string &From,
                                                const std::string &To) {
  if (this->isFailing())
    return noSpace("rename " + From);
  const auto Found = this->CachedNames.find(From);
  if (Found == this->CachedNames.end())
    return SystemError{"rename " + From, ENOENT};
  this->changeName({From, To, Found->second});
  return success();
}

Result<void, SystemError> SimulatedDisk::remove(const std::string &Path) {
  if (this->isFailing())
    return SystemError{"remove " + Path, EIO};
  if (this->CachedNames.count(Path) == 0)
    return SystemError{"remove " + Path, ENOENT};
  this->changeName({Path, "", 0});
  return success();
}

Result<void, SystemError> SimulatedDisk::syncFolder(const std::string &Path) {
  if (this->isFailing())
    return SystemError{"sync " + Path, EIO};
  for (const NameChange &Each : this->PendingNames)
    apply(this->DurableNames, Each);
  this->PendingNames.clear();
  return success();
}

} // namespace tanagerlanding
