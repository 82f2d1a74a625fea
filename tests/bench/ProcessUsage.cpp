#include "ProcessUsage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace tanagerlanding::test {

namespace {

/// Numbers of /proc/PID/stat fields, counted from 1 after the program name.
constexpr int UserTimeField = 12;
constexpr int SystemTimeField = 13;
constexpr int ResidentField = 22;
constexpr double BytesPerMegabyte = 1024.0 * 1024.0;

} // namespace

ProcessUsage readUsage(pid_t Process) {
  std::ifstream File("/proc/" + std::to_string(Process) + "/stat");
  std::string Line;
  std::getline(File, Line);
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  ProcessUsage Usage;
  std::string Text;
  for (int Field = 1; Fields >> Text; ++Field) {
    if (Field == UserTimeField || Field == SystemTimeField)
      Usage.CpuSeconds +=
          std::stod(Text) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    if (Field == ResidentField)
      Usage.ResidentMegabytes = std::stod(Text) *
                                static_cast<double>(::sysconf(_SC_PAGESIZE)) /
                                BytesPerMegabyte;
  }
  return Usage;
}

} // namespace tanagerlanding::test
