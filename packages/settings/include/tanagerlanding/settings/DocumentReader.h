/// \file
/// Strict reading of JSON objects, gathering all faults.
#ifndef TANAGERLANDING_SETTINGS_DOCUMENTREADER_H
#define TANAGERLANDING_SETTINGS_DOCUMENTREADER_H

#include "tanagerlanding/basics.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// The file that is read and the faults found in it so far.
struct FaultList {
  std::string File;
  std::vector<SettingsFault> Faults;

  void add(const std::string &Path, const std::string &Expected) {
    this->Faults.push_back(SettingsFault{this->File, Path, Expected});
  }
};

/// Parses JSON with comments. Returns null and notes the fault if it is
/// malformed.
std::optional<nlohmann::json> parseDocument(const std::string &Text,
                                            FaultList &Faults);

/// Returns a file's bytes, or nothing and notes the fault.
std::optional<std::string> readFile(const std::string &Path, FaultList &Faults);

/// Reads the fields of one JSON object; call finish() after the last one to
/// find fields that nobody asked for.
class ObjectReader {
public:
  ObjectReader(const nlohmann::json &Value, std::string Path,
               FaultList &Faults);
  ObjectReader(const ObjectReader &) = delete;
  ObjectReader &operator=(const ObjectReader &) = delete;

  /// Returns a text that must be there and not be empty.
  std::string requireText(const char *Field);
  /// Returns a text, or Default where the field is absent.
  std::string text(const char *Field, const std::string &Default);
  /// Returns a number from Least to Most that must be there.
  std::int64_t requireInteger(const char *Field, std::int64_t Least,
                              std::int64_t Most);
  /// Returns a number from Least to Most, or Default where it is absent.
  std::int64_t integer(const char *Field, std::int64_t Least, std::int64_t Most,
                       std::int64_t Default);
  bool boolean(const char *Field, bool Default);
  /// Returns one of the choices, or the first where the field is absent.
  std::string choice(const char *Field,
                     const std::vector<std::string> &Choices);
  /// Returns an object or array, or null where the field is absent.
  const nlohmann::json *object(const char *Field);
  const nlohmann::json *array(const char *Field);
  /// Notes every field that was not asked for.
  void finish();
  /// Returns the path of a field for faults.
  std::string pathOf(const std::string &Field) const;

private:
  const nlohmann::json *find(const char *Field);

  const nlohmann::json &Value;
  std::string Path;
  FaultList &Faults;
  std::set<std::string> Asked;
};

} // namespace tanagerlanding

#endif
