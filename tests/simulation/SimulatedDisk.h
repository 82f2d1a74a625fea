/// \file
/// A file system in memory that loses power.
#ifndef TANAGERLANDING_SIMULATION_SIMULATEDDISK_H
#define TANAGERLANDING_SIMULATION_SIMULATEDDISK_H

#include "tanagerlanding/journal/FileSystem.h"

#include <deque>
#include <map>
#include <optional>
#include <random>

namespace tanagerlanding {

/// Thrown out of a file operation at which the simulated process is killed or
/// loses power.
struct ProcessEnded {};

/// A file system with the guarantees of POSIX and no others. After a loss of
/// power a file holds what its last sync covered; each later write is present,
/// missing or torn, and each name that was created, renamed or removed since
/// its folder was synced is kept or lost by itself. What is left without a sync
/// may be lost by the next loss of power. A kill loses nothing.
///
/// The same seed and operations give the same result.
class SimulatedDisk : public FileSystem {
public:
  explicit SimulatedDisk(std::uint64_t Seed) : Random(Seed) {}

  /// Ends the process at the operation that follows the next Count ones.
  void endAfter(std::uint64_t Count) { this->LeftUntilEnd = Count; }
  /// Lets writes, syncs and other changes fail with this probability. A failed
  /// write may have written a part of its bytes.
  void failWith(double Probability) { this->FailureProbability = Probability; }
  /// Lets the next sync of a file fail. Its writes stay readable, and no later
  /// sync makes them durable.
  void failNextSync() { this->IsNextSyncFailing = true; }
  /// Lets the next Count changes of files fail.
  void failNextChanges(std::uint64_t Count) { this->FailingChanges = Count; }
  /// Lets all reads of a file fail with this errno value; 0 for none.
  void failReads(const std::string &Path, int ErrorNumber);
  /// Changes one byte of a file durably.
  void damage(const std::string &Path, std::uint64_t Offset);

  void kill();
  void losePower();

  std::vector<std::string> names() const;
  /// Returns whether a loss of power can't change any file or name.
  bool isDurable() const;

  Result<void, SystemError> createFolder(const std::string &Path) override;
  Result<std::vector<std::string>, SystemError>
  list(const std::string &Folder) const override;
  Result<std::string, SystemError> read(const std::string &Path) const override;
  Result<std::string, SystemError> readPart(const std::string &Path,
                                            std::uint64_t Offset,
                                            std::size_t Length) const override;
  Result<std::uint64_t, SystemError>
  size(const std::string &Path) const override;
  Result<FileHandle, SystemError>
  openForAppend(const std::string &Path) override;
  Result<std::size_t, SystemError> write(FileHandle File,
                                         std::string_view Bytes) override;
  Result<void, SystemError> truncate(FileHandle File,
                                     std::uint64_t Size) override;
  Result<void, SystemError> sync(FileHandle File) override;
  void close(FileHandle File) override;
  Result<void, SystemError> rename(const std::string &From,
                                   const std::string &To) override;
  Result<void, SystemError> remove(const std::string &Path) override;
  Result<void, SystemError> syncFolder(const std::string &Path) override;

private:
  using NodeId = std::size_t;

  /// A write, or a truncation if Bytes is absent.
  struct Change {
    std::uint64_t Offset = 0;
    std::optional<std::string> Bytes;
    /// Whether a sync of it has failed.
    bool IsDropped = false;
  };

  struct Node {
    std::string Durable;
    std::string Cached;
    std::vector<Change> Pending;
  };

  /// A change of the names: From is removed, To refers to Target. Either may be
  /// empty.
  struct NameChange {
    std::string From;
    std::string To;
    NodeId Target = 0;
  };

  using Names = std::map<std::string, NodeId>;

  static void apply(std::string &Contents, const Change &Each);
  static void apply(Names &Target, const NameChange &Each);
  void change(NodeId Target, Change Each);
  void changeName(NameChange Each);
  void loseChanges(Node &Target);
  void persistCreation(NodeId Target);
  /// Counts an operation; may end the process. Returns whether it fails.
  bool isFailing();
  double draw();
  std::uint64_t drawBelow(std::uint64_t End);
  Result<const Node *, SystemError> find(const std::string &Path) const;

  std::mt19937_64 Random;
  std::deque<Node> Nodes;
  Names CachedNames;
  Names DurableNames;
  std::vector<NameChange> PendingNames;
  std::map<int, NodeId> Open;
  int NextHandle = 1;
  std::optional<std::uint64_t> LeftUntilEnd;
  double FailureProbability = 0;
  bool IsNextSyncFailing = false;
  std::uint64_t FailingChanges = 0;
  std::map<std::string, int> FailingReads;
};

} // namespace tanagerlanding

#endif
