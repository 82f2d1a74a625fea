#include "tanagerlanding/runtime/TraceWriter.h"

#include "tanagerlanding/runtime/Identity.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <sstream>

namespace tanagerlanding {

namespace {

constexpr std::size_t TraceParentLength = 55;
constexpr std::size_t TraceIdStart = 3;
constexpr std::size_t TraceIdLength = 32;
constexpr std::size_t ParentIdStart = 36;
constexpr std::size_t ParentIdLength = 16;

std::string hexNumber(std::uint64_t Value) {
  std::ostringstream Text;
  Text << std::hex << std::setw(16) << std::setfill('0') << Value;
  return Text.str();
}

} // namespace

std::string makeTraceParent() {
  return "00-" + hexNumber(makeSeed()) + hexNumber(makeSeed()) + "-" +
         hexNumber(makeSeed()) + "-01";
}

bool isTraceParent(const std::string &Text) {
  if (Text.size() != TraceParentLength)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Each) {
    return Each == '-' || std::isxdigit(Each);
  });
}

TraceWriter::TraceWriter(const std::string &Path, std::string Host)
    : Host(std::move(Host)) {
  if (!Path.empty())
    this->File.open(Path, std::ios::app);
}

void TraceWriter::write(
    const std::string &TraceParent, const std::string &Name,
    Milliseconds Duration,
    const std::vector<std::pair<std::string, std::string>> &Values) {
  if (!this->File.is_open() || !isTraceParent(TraceParent))
    return;
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto EndNanos =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Now).count();
  const auto TookNanos =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Duration).count();
  nlohmann::json Span = {
      {"traceId", TraceParent.substr(TraceIdStart, TraceIdLength)},
      {"parentSpanId", TraceParent.substr(ParentIdStart, ParentIdLength)},
      {"spanId", hexNumber(makeSeed())},
      {"name", Name},
      {"host", this->Host},
      {"startTimeUnixNano", std::to_string(EndNanos - TookNanos)},
      {"endTimeUnixNano", std::to_string(EndNanos)}};
  for (const auto &[Key, Value] : Values)
    Span["attributes"][Key] = Value;
  this->File << Span.dump() << std::endl;
}

} // namespace tanagerlanding
