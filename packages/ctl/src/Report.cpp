#include "Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace tanagerlanding {

void printTable(const std::vector<TableRow> &Rows) {
  std::vector<std::size_t> Widths;
  for (const TableRow &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  for (const TableRow &Row : Rows) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      std::cout << std::left << std::setw(static_cast<int>(Widths[Column]) + 2)
                << Row[Column];
    std::cout << '\n';
  }
}

void printFaults(const std::vector<SettingsFault> &Faults, bool AsJson) {
  if (!AsJson) {
    for (const SettingsFault &Fault : Faults)
      std::cerr << Fault.File << ": " << Fault.Path << ": expected "
                << Fault.Expected << '\n';
    return;
  }
  nlohmann::json List = nlohmann::json::array();
  for (const SettingsFault &Fault : Faults)
    List.push_back({{"file", Fault.File},
                    {"path", Fault.Path},
                    {"expected", Fault.Expected}});
  std::cout << List.dump(2) << '\n';
}

void printPlatformError(const PlatformError &Error) {
  const bool IsUnreachable = Error.Reason == PlatformError::Kind::Unreachable;
  std::cerr << "the key-value service "
            << (IsUnreachable ? "is unreachable" : "gave no valid answer")
            << '\n';
}

} // namespace tanagerlanding
