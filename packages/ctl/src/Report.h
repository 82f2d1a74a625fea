/// \file
/// Output for people.
#ifndef TANAGERLANDING_CTL_REPORT_H
#define TANAGERLANDING_CTL_REPORT_H

#include "tanagerlanding/basics.h"

#include <string>
#include <vector>

namespace tanagerlanding {

using TableRow = std::vector<std::string>;

/// Prints rows with their columns aligned, the first row as a heading.
void printTable(const std::vector<TableRow> &Rows);

/// Prints faults to standard error, a line each, or as JSON to standard
/// output.
void printFaults(const std::vector<SettingsFault> &Faults, bool AsJson);

/// Prints that the platform's service gave no usable answer.
void printPlatformError(const PlatformError &Error);

} // namespace tanagerlanding

#endif
