#include "tanagerlanding/settings/AssetRegister.h"

#include "tanagerlanding/settings/DocumentReader.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/tokenizer.hpp>

#include <algorithm>
#include <sstream>

namespace tanagerlanding {

namespace {

using CsvLine = std::vector<std::string>;

/// Fields of a host with integer values.
const std::set<std::string> NumberFields = {"port", "capacity"};
/// Fields of a host with Boolean values.
const std::set<std::string> FlagFields = {"data_folder", "drained"};
/// All fields that a host may have.
const std::vector<std::string> HostFields = {
    "name", "zone",     "role",    "address",     "port", "service",
    "kind", "capacity", "drained", "data_folder", "note"};

/// Splits one line into its values. Returns nothing if quotes or escapes are
/// malformed.
std::optional<CsvLine> splitLine(const std::string &Line) {
  try {
    const boost::tokenizer<boost::escaped_list_separator<char>> Cells(Line);
    CsvLine Values;
    for (const std::string &Cell : Cells)
      Values.push_back(boost::algorithm::trim_copy(Cell));
    return Values;
  } catch (const boost::escaped_list_error &) {
    return std::nullopt;
  }
}

/// Converts the lines of a register into hosts of an inventory.
class RegisterImporter {
public:
  RegisterImporter(const ColumnMapping &Columns, FaultList &Faults)
      : Columns(Columns), Faults(Faults) {}

  nlohmann::json run(const std::string &Csv) {
    std::istringstream Lines(Csv);
    std::string Line;
    for (unsigned Number = 1; std::getline(Lines, Line); ++Number) {
      boost::algorithm::trim(Line);
      if (Line.empty())
        continue;
      const auto Values = splitLine(Line);
      if (!Values)
        this->fault(Number, "", "well-formed quotes and escapes");
      else if (this->Header.empty())
        this->readHeader(Number, *Values);
      else
        this->readHost(Number, *Values);
    }
    return this->document();
  }

private:
  void fault(unsigned Line, const std::string &Field,
             const std::string &Expected) {
    std::string Path = "line " + std::to_string(Line);
    if (!Field.empty())
      Path += ", " + Field;
    this->Faults.add(Path, Expected);
  }

  std::string columnOf(const std::string &Field) const {
    const auto Mapped = this->Columns.find(Field);
    return Mapped == this->Columns.end() ? Field : Mapped->second;
  }

  void readHeader(unsigned Line, const CsvLine &Values) {
    this->Header = Values;
    for (const char *Needed : {"name", "zone", "address", "port"}) {
      const std::string Column = this->columnOf(Needed);
      if (std::find(Values.begin(), Values.end(), Column) == Values.end())
        this->fault(Line, Needed, "a column " + Column);
    }
  }

  void readHost(unsigned Line, const CsvLine &Values) {
    if (Values.size() != this->Header.size()) {
      this->fault(Line, "",
                  std::to_string(this->Header.size()) + " values, not " +
                      std::to_string(Values.size()));
      return;
    }
    nlohmann::json Host = nlohmann::json::object();
    for (const std::string &Field : HostFields) {
      const auto Column = std::find(this->Header.begin(), this->Header.end(),
                                    this->columnOf(Field));
      if (Column == this->Header.end())
        continue;
      const auto Index =
          static_cast<std::size_t>(Column - this->Header.begin());
      this->setField(Host, Line, Field, Values[Index]);
    }
    this->Zones.insert(Host.value("zone", ""));
    this->Hosts.push_back(Host);
  }

  void setField(nlohmann::json &Host, unsigned Line, const std::string &Field,
                const std::string &Value) {
    if (Value.empty())
      return;
    if (NumberFields.count(Field) > 0) {
      if (!std::all_of(Value.begin(), Value.end(), ::isdigit) ||
          Value.size() > 9) {
        this->fault(Line, Field,
                    "a non-negative integer of at most 9 digits, not " + Value);
        return;
      }
      Host[Field] = std::stol(Value);
    } else if (FlagFields.count(Field) > 0) {
      if (Value != "true" && Value != "false") {
        this->fault(Line, Field, "true or false, not " + Value);
        return;
      }
      Host[Field] = Value == "true";
    } else {
      Host[Field] = Value;
    }
  }

  nlohmann::json document() const {
    nlohmann::json Document = {{"zones", nlohmann::json::array()},
                               {"hosts", this->Hosts},
                               {"rules", nlohmann::json::array()}};
    for (const std::string &Zone : this->Zones)
      Document["zones"].push_back(Zone);
    return Document;
  }

  const ColumnMapping &Columns;
  FaultList &Faults;
  CsvLine Header;
  std::set<std::string> Zones;
  nlohmann::json Hosts = nlohmann::json::array();
};

} // namespace

ImportedRegister importAssetRegister(const std::string &Csv,
                                     const ColumnMapping &Columns,
                                     const std::string &Name) {
  FaultList Faults{Name, {}};
  const nlohmann::json Document = RegisterImporter(Columns, Faults).run(Csv);
  if (!Faults.Faults.empty())
    return Faults.Faults;
  return Document.dump(2) + "\n";
}

} // namespace tanagerlanding
