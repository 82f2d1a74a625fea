/// \file
/// Human-readable output.
#ifndef TANAGERLANDING_CTL_REPORT_H
#define TANAGERLANDING_CTL_REPORT_H

#include "tanagerlanding/basics.h"

#include <string>
#include <vector>

namespace tanagerlanding {

using TableRow = std::vector<std::string>;

/// Prints rows with aligned columns; the first row is the header.
void printTable(const std::vector<TableRow> &Rows);

/// Prints faults to standard error, one per line, or as JSON to standard
/// output.
void printFaults(const std::vector<SettingsFault> &Faults, bool AsJson);

/// Prints to standard error that the key-value service is unreachable or gave
/// no valid answer.
void printPlatformError(const PlatformError &Error);

} // namespace tanagerlanding

#endif
