#include "Processes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <thread>
#include <utility>

extern char **environ;

namespace tanagerlanding::test {

namespace {

constexpr std::chrono::milliseconds PollInterval{5};

} // namespace

ChildProcess::ChildProcess(const std::string &Program,
                           const std::vector<std::string> &Arguments,
                           const std::string &LogFile) {
  const std::string Path = std::string(TANAGERLANDING_BIN) + "/" + Program;
  std::vector<char *> Pointers = {const_cast<char *>(Path.c_str())};
  for (const std::string &Each : Arguments)
    Pointers.push_back(const_cast<char *>(Each.c_str()));
  Pointers.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&this->Pid, Path.c_str(), &Actions, nullptr, Pointers.data(),
                  environ) != 0)
    this->Pid = -1;
  posix_spawn_file_actions_destroy(&Actions);
}

ChildProcess::~ChildProcess() { this->kill(); }

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)) {}

ChildProcess &ChildProcess::operator=(ChildProcess &&Other) noexcept {
  if (this != &Other) {
    this->kill();
    this->Pid = std::exchange(Other.Pid, -1);
  }
  return *this;
}

void ChildProcess::signal(int Number) const {
  if (this->Pid > 0)
    ::kill(this->Pid, Number);
}

void ChildProcess::kill() {
  if (this->Pid <= 0)
    return;
  ::kill(this->Pid, SIGKILL);
  ::waitpid(this->Pid, nullptr, 0);
  this->Pid = -1;
}

int ChildProcess::awaitExit(std::chrono::milliseconds Limit) {
  int Status = 0;
  const bool HasEnded = waitFor(
      [&] { return ::waitpid(this->Pid, &Status, WNOHANG) == this->Pid; },
      Limit);
  if (!HasEnded)
    return -1;
  this->Pid = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
}

long peakKilobytes(pid_t Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Name;
  long Value = 0;
  while (Status >> Name) {
    if (Name == "VmHWM:" && Status >> Value)
      return Value;
  }
  return 0;
}

long openDescriptors(pid_t Pid) {
  std::error_code Ignored;
  const std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(Pid) + "/fd", Ignored);
  return std::distance(begin(Entries), end(Entries));
}

ScopedDescriptorLimit::ScopedDescriptorLimit(unsigned Descriptors) {
  ::getrlimit(RLIMIT_NOFILE, &this->Before);
  if (Descriptors == 0)
    return;
  rlimit Lowered = this->Before;
  Lowered.rlim_cur = Descriptors;
  ::setrlimit(RLIMIT_NOFILE, &Lowered);
}

ScopedDescriptorLimit::~ScopedDescriptorLimit() {
  ::setrlimit(RLIMIT_NOFILE, &this->Before);
}

std::uint16_t freePort() {
  // Below the system's ephemeral port range: an outgoing connection could
  // otherwise take the port before it is used.
  static std::uniform_int_distribution<std::uint16_t> Ports(10000, 32000);
  static std::random_device Device;
  static std::set<std::uint16_t> UsedPorts;
  for (;;) {
    const std::uint16_t Port = Ports(Device);
    const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool IsFree = ::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                               sizeof(Address)) == 0;
    ::close(Socket);
    if (IsFree && UsedPorts.insert(Port).second)
      return Port;
  }
}

bool waitFor(const std::function<bool()> &Condition,
             std::chrono::milliseconds Limit) {
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace tanagerlanding::test
