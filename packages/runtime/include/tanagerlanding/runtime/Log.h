/// \file
/// Log lines of key=value pairs.
#ifndef TANAGERLANDING_RUNTIME_LOG_H
#define TANAGERLANDING_RUNTIME_LOG_H

#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Sends log lines to standard output from now on.
void startLog(const char *Program);

/// Writes one line: event=NAME and the fields. Values with blanks, quotes or
/// control characters are quoted.
void logEvent(const std::string &Event, const LogFields &Fields = {});

/// Returns the line as logEvent() writes it.
std::string formatLogLine(const std::string &Event, const LogFields &Fields);

} // namespace tanagerlanding

#endif
