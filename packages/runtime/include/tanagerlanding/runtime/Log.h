/// \file
/// Structured logging as lines of key=value pairs.
#ifndef TANAGERLANDING_RUNTIME_LOG_H
#define TANAGERLANDING_RUNTIME_LOG_H

#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Initializes logging to standard output. Program is the process's name.
void startLog(const char *Program);

/// Writes one line asynchronously: event=NAME and the fields. Values that are
/// empty or contain whitespace, quotes, equals signs or control characters are
/// quoted.
void logEvent(const std::string &Event, const LogFields &Fields = {});

/// Returns the line that logEvent() writes.
std::string formatLogLine(const std::string &Event, const LogFields &Fields);

} // namespace tanagerlanding

#endif
