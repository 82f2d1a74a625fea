/// \file
/// The file operations of a data folder.
#ifndef TANAGERLANDING_JOURNAL_FILESYSTEM_H
#define TANAGERLANDING_JOURNAL_FILESYSTEM_H

#include "tanagerlanding/basics.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlanding {

/// A file that is open for writing.
struct FileHandle {
  int Value = -1;
};

/// Performs the file operations of SegmentFolder, which decides when data is
/// durable.
///
/// PosixFileSystem performs them on the host's file system; tests replace it by
/// one that loses power. All functions are thread-safe as far as they concern
/// different files. A failure has the errno value of the system call.
class FileSystem {
public:
  virtual ~FileSystem() = default;

  /// Creates a folder durably if it doesn't exist.
  virtual Result<void, SystemError> createFolder(const std::string &Path) = 0;
  /// Returns the names of the files in a folder, in no particular order.
  virtual Result<std::vector<std::string>, SystemError>
  list(const std::string &Folder) const = 0;

  /// Returns the whole contents of a file.
  virtual Result<std::string, SystemError>
  read(const std::string &Path) const = 0;
  /// Returns Length bytes of a file from Offset on, or fewer at its end.
  virtual Result<std::string, SystemError>
  readPart(const std::string &Path, std::uint64_t Offset,
           std::size_t Length) const = 0;
  virtual Result<std::uint64_t, SystemError>
  size(const std::string &Path) const = 0;

  /// Opens a file for writing at its end. Creates it if it doesn't exist.
  virtual Result<FileHandle, SystemError>
  openForAppend(const std::string &Path) = 0;
  /// Returns how many of the bytes were written, at least one.
  virtual Result<std::size_t, SystemError> write(FileHandle File,
                                                 std::string_view Bytes) = 0;
  virtual Result<void, SystemError> truncate(FileHandle File,
                                             std::uint64_t Size) = 0;
  /// Makes the contents of a file durable.
  virtual Result<void, SystemError> sync(FileHandle File) = 0;
  virtual void close(FileHandle File) = 0;

  /// Renames a file, replacing a file with the new name.
  virtual Result<void, SystemError> rename(const std::string &From,
                                           const std::string &To) = 0;
  virtual Result<void, SystemError> remove(const std::string &Path) = 0;
  /// Makes the names of the files in a folder durable.
  virtual Result<void, SystemError> syncFolder(const std::string &Path) = 0;
};

/// The file system of the host.
class PosixFileSystem : public FileSystem {
public:
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
};

/// Returns the file system of the host.
FileSystem &hostFileSystem();

} // namespace tanagerlanding

#endif
