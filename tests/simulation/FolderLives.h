/// \file
/// Random lives of a process that stores items in a data folder.
#ifndef TANAGERLANDING_SIMULATION_FOLDERLIVES_H
#define TANAGERLANDING_SIMULATION_FOLDERLIVES_H

#include "SimulatedDisk.h"

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// A data folder under test, open in one process.
class StoringFolder {
public:
  virtual ~StoringFolder() = default;
  /// Opens the folder. Fills Read with the items that it has, each with its
  /// intact contents. Returns whether that succeeded.
  virtual bool open(std::vector<std::string> &Read) = 0;
  /// Writes an item with Bytes bytes of contents. Returns whether that
  /// succeeded; the item is durable only after sync().
  virtual bool append(const std::string &Item, std::size_t Bytes) = 0;
  virtual bool sync() = 0;
  /// Performs one piece of other work, chosen by Choice, such as the deletion
  /// of a segment. Adds items that need not be there any more to Dropped.
  virtual void maintain(std::uint64_t Choice, std::set<std::string> &Dropped) {
    (void)Choice;
    (void)Dropped;
  }
  /// Returns whether items may be stored after a failure.
  virtual bool continuesAfterFailure() const { return true; }
};

/// Opens a folder many times, writes to it, and ends the process at any
/// operation by a kill or a loss of power. run() returns the first violation:
/// a folder that does not open, an item that was reported as stored or read at
/// a start and is missing later, or one that was never written.
class FolderLives {
public:
  using Maker = std::function<std::unique_ptr<StoringFolder>(SimulatedDisk &)>;

  struct Options {
    std::size_t Lives = 10;
    std::size_t GroupsInLife = 8;
    /// Probability that a change of the disk fails.
    double Failures = 0;
  };

  FolderLives(std::uint64_t Seed, Maker Make, Options Chosen);

  /// Returns a description of the first violation, or an empty string.
  std::string run();

private:
  void live();
  void openFolder(StoringFolder &Folder);
  void storeGroup(StoringFolder &Folder);
  void endProcess();
  std::uint64_t drawBelow(std::uint64_t End);

  const Maker Make;
  const Options Chosen;
  std::mt19937_64 Random;
  SimulatedDisk Disk;
  std::set<std::string> Written;
  /// Items that have to be there.
  std::set<std::string> Stored;
  bool HasFailed = false;
  std::string Violation;
};

} // namespace tanagerlanding

#endif
