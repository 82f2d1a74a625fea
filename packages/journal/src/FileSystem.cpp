#include "tanagerlanding/journal/FileSystem.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

namespace tanagerlanding {

namespace {

namespace fs = std::filesystem;

constexpr int FileMode = 0644;
constexpr std::size_t ReadBytes = 256 * 1024;

SystemError lastError(const std::string &Operation) {
  return SystemError{Operation, errno};
}

/// An open file or folder, closed at the end of the scope.
class OpenFile {
public:
  OpenFile(const std::string &Path, int Flags)
      : Value(::open(Path.c_str(), Flags | O_CLOEXEC)) {}
  ~OpenFile() {
    if (this->isOpen())
      ::close(this->Value);
  }
  OpenFile(const OpenFile &) = delete;
  OpenFile &operator=(const OpenFile &) = delete;

  bool isOpen() const { return this->Value >= 0; }

  const int Value;
};

/// Reads up to Length bytes from Offset on and appends them to Bytes. Returns
/// their number, which is 0 at the end of the file, or -1.
ssize_t readInto(std::string &Bytes, int File, std::uint64_t Offset,
                 std::size_t Length) {
  const std::size_t Before = Bytes.size();
  Bytes.resize(Before + Length);
  ssize_t Count = -1;
  do {
    Count = ::pread(File, Bytes.data() + Before, Length,
                    static_cast<off_t>(Offset));
  } while (Count < 0 && errno == EINTR);
  Bytes.resize(Before + static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
  return Count;
}

} // namespace

Result<void, SystemError>
PosixFileSystem::createFolder(const std::string &Path) {
  std::error_code Error;
  if (fs::create_directories(Path, Error))
    return this->syncFolder(fs::absolute(Path).parent_path().string());
  if (Error)
    return SystemError{"create " + Path, Error.value()};
  return success();
}

Result<std::vector<std::string>, SystemError>
PosixFileSystem::list(const std::string &Folder) const {
  std::vector<std::string> Names;
  std::error_code Error;
  for (fs::directory_iterator Each(Folder, Error), End; !Error && Each != End;
       Each.increment(Error))
    Names.push_back(Each->path().filename().string());
  if (Error)
    return SystemError{"list " + Folder, Error.value()};
  return Names;
}

Result<std::string, SystemError>
PosixFileSystem::read(const std::string &Path) const {
  const OpenFile File(Path, O_RDONLY);
  if (!File.isOpen())
    return lastError("open " + Path);
  std::string Bytes;
  for (;;) {
    const ssize_t Count = readInto(Bytes, File.Value, Bytes.size(), ReadBytes);
    if (Count < 0)
      return lastError("read " + Path);
    if (Count == 0)
      return Bytes;
  }
}

Result<std::string, SystemError>
PosixFileSystem::readPart(const std::string &Path, std::uint64_t Offset,
                          std::size_t Length) const {
  const OpenFile File(Path, O_RDONLY);
  if (!File.isOpen())
    return lastError("open " + Path);
  std::string Bytes;
  while (Bytes.size() < Length) {
    const ssize_t Count = readInto(Bytes, File.Value, Offset + Bytes.size(),
                                   Length - Bytes.size());
    if (Count < 0)
      return lastError("read " + Path);
    if (Count == 0)
      break;
  }
  return Bytes;
}

Result<std::uint64_t, SystemError>
PosixFileSystem::size(const std::string &Path) const {
  std::error_code Error;
  const std::uint64_t Size = fs::file_size(Path, Error);
  if (Error)
    return SystemError{"read " + Path, Error.value()};
  return Size;
}

Result<FileHandle, SystemError>
PosixFileSystem::openForAppend(const std::string &Path) {
  const int File =
      ::open(Path.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, FileMode);
  if (File < 0)
    return lastError("create " + Path);
  return FileHandle{File};
}

Result<std::size_t, SystemError>
PosixFileSystem::write(FileHandle File, std::string_view Bytes) {
  for (;;) {
    const ssize_t Count = ::write(File.Value, Bytes.data(), Bytes.size());
    if (Count > 0)
      return static_cast<std::size_t>(Count);
    if (Count < 0 && errno == EINTR)
      continue;
    return lastError("write file");
  }
}

Result<void, SystemError> PosixFileSystem::truncate(FileHandle File,
                                                    std::uint64_t Size) {
  if (::ftruncate(File.Value, static_cast<off_t>(Size)) != 0)
    return lastError("truncate file");
  return success();
}

Result<void, SystemError> PosixFileSystem::sync(FileHandle File) {
  if (::fdatasync(File.Value) != 0)
    return lastError("sync file");
  return success();
}

void PosixFileSystem::close(FileHandle File) { ::close(File.Value); }

Result<void, SystemError> PosixFileSystem::rename(const std::string &From,
                                                  const std::string &To) {
  if (::rename(From.c_str(), To.c_str()) != 0)
    return lastError("rename " + From);
  return success();
}

Result<void, SystemError> PosixFileSystem::remove(const std::string &Path) {
  if (::unlink(Path.c_str()) != 0)
    return lastError("remove " + Path);
  return success();
}

Result<void, SystemError> PosixFileSystem::syncFolder(const std::string &Path) {
  const OpenFile Folder(Path, O_RDONLY | O_DIRECTORY);
  if (!Folder.isOpen())
    return lastError("open " + Path);
  if (::fsync(Folder.Value) != 0)
    return lastError("sync " + Path);
  return success();
}

FileSystem &hostFileSystem() {
  static PosixFileSystem Host;
  return Host;
}

} // namespace tanagerlanding
