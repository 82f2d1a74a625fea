#include "FolderLives.h"

#include <algorithm>

namespace tanagerlanding {

namespace {

constexpr std::uint64_t MaxOperationsInLife = 60;
constexpr std::uint64_t MaxItemsInGroup = 4;
constexpr std::uint64_t MaxItemBytes = 90;

} // namespace

FolderLives::FolderLives(std::uint64_t Seed, Maker Make, Options Chosen)
    : Make(std::move(Make)), Chosen(Chosen), Random(Seed), Disk(Seed) {}

std::uint64_t FolderLives::drawBelow(std::uint64_t End) {
  return std::uniform_int_distribution<std::uint64_t>(0, End - 1)(this->Random);
}

std::string FolderLives::run() {
  for (std::size_t Life = 0;
       Life < this->Chosen.Lives && this->Violation.empty(); ++Life) {
    const bool IsCutShort = this->drawBelow(2) == 0;
    if (IsCutShort)
      this->Disk.endAfter(this->drawBelow(MaxOperationsInLife));
    try {
      this->live();
    } catch (const ProcessEnded &) {
    }
    this->endProcess();
  }
  return this->Violation;
}

void FolderLives::live() {
  const auto Folder = this->Make(this->Disk);
  this->HasFailed = false;
  this->openFolder(*Folder);
  this->Disk.failWith(this->Chosen.Failures);
  for (std::size_t Group = 0;
       Group < this->Chosen.GroupsInLife && this->Violation.empty(); ++Group) {
    if (this->HasFailed && !Folder->continuesAfterFailure())
      return;
    this->storeGroup(*Folder);
    std::set<std::string> Dropped;
    try {
      Folder->maintain(this->drawBelow(8), Dropped);
    } catch (const ProcessEnded &) {
      for (const std::string &Each : Dropped)
        this->Stored.erase(Each);
      throw;
    }
    for (const std::string &Each : Dropped)
      this->Stored.erase(Each);
  }
}

void FolderLives::openFolder(StoringFolder &Folder) {
  std::vector<std::string> Read;
  if (!Folder.open(Read)) {
    this->Violation = "the folder does not open";
    return;
  }
  const std::set<std::string> Found(Read.begin(), Read.end());
  for (const std::string &Each : this->Stored) {
    if (Found.count(Each) == 0)
      this->Violation = "stored, and not found: " + Each;
  }
  for (const std::string &Each : Found) {
    if (this->Written.count(Each) == 0)
      this->Violation = "found, and never written: " + Each;
  }
  // The process acts on what it has read.
  this->Stored.insert(Found.begin(), Found.end());
}

void FolderLives::storeGroup(StoringFolder &Folder) {
  std::vector<std::string> Group;
  const std::uint64_t Items = 1 + this->drawBelow(MaxItemsInGroup);
  for (std::uint64_t Item = 0; Item < Items; ++Item) {
    const std::string Name = "i" + std::to_string(this->Written.size());
    this->Written.insert(Name);
    if (Folder.append(Name, this->drawBelow(MaxItemBytes)))
      Group.push_back(Name);
    else
      this->HasFailed = true;
  }
  // The process may end between the last write and its sync.
  if (this->drawBelow(8) == 0)
    throw ProcessEnded();
  if (Folder.sync())
    this->Stored.insert(Group.begin(), Group.end());
  else
    this->HasFailed = true;
}

void FolderLives::endProcess() {
  this->Disk.failWith(0);
  if (this->drawBelow(2) == 0)
    this->Disk.kill();
  else
    this->Disk.losePower();
}

} // namespace tanagerlanding
