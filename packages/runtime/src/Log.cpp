#include "tanagerlanding/runtime/Log.h"

#include <glog/logging.h>

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <sstream>

namespace tanagerlanding {

namespace {

bool needsQuotes(const std::string &Value) {
  return Value.empty() ||
         std::any_of(Value.begin(), Value.end(), [](unsigned char Each) {
           return std::isspace(Each) || std::iscntrl(Each) || Each == '"' ||
                  Each == '=';
         });
}

} // namespace

void startLog(const char *Program) {
  FLAGS_logtostdout = true;
  google::InitGoogleLogging(Program);
}

std::string formatLogLine(const std::string &Event, const LogFields &Fields) {
  std::ostringstream Line;
  Line << "event=" << Event;
  for (const auto &[Key, Value] : Fields) {
    Line << ' ' << Key << '=';
    if (!needsQuotes(Value)) {
      Line << Value;
      continue;
    }
    std::string Flat = Value;
    std::replace_if(
        Flat.begin(), Flat.end(),
        [](unsigned char Each) { return std::iscntrl(Each); }, ' ');
    Line << std::quoted(Flat);
  }
  return Line.str();
}

void logEvent(const std::string &Event, const LogFields &Fields) {
  LOG(INFO) << formatLogLine(Event, Fields);
}

} // namespace tanagerlanding
