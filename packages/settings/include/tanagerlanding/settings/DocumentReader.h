/// \file
/// Strict reader of JSON objects that collects all faults.
#ifndef TANAGERLANDING_SETTINGS_DOCUMENTREADER_H
#define TANAGERLANDING_SETTINGS_DOCUMENTREADER_H

#include "tanagerlanding/basics.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// The file being read and the faults found in it so far. A fault that does not
/// fit any more is dropped.
struct FaultList {
  static constexpr std::size_t MaxFaults = 200;

  std::string File;
  std::vector<SettingsFault> Faults;

  void add(const std::string &Path, const std::string &Expected) {
    if (!this->isFull())
      this->Faults.push_back(SettingsFault{this->File, Path, Expected});
  }
  bool isFull() const { return this->Faults.size() >= MaxFaults; }
};

/// Deeper documents are malformed: copying or writing a value takes a call for
/// each level.
constexpr int MaxDocumentDepth = 64;

/// Parses JSON with comments. If it is malformed or nested too deeply, returns
/// nothing and adds a fault.
std::optional<nlohmann::json> parseDocument(const std::string &Text,
                                            FaultList &Faults);

/// Returns a file's content. If it can't be opened, returns nothing and adds a
/// fault.
std::optional<std::string> readFile(const std::string &Path, FaultList &Faults);

/// Reads the fields of one JSON object. Call finish() after the last field to
/// report unknown fields.
class ObjectReader {
public:
  ObjectReader(const nlohmann::json &Value, std::string Path,
               FaultList &Faults);
  ObjectReader(const ObjectReader &) = delete;
  ObjectReader &operator=(const ObjectReader &) = delete;

  /// Returns a required, non-empty string.
  std::string requireText(const char *Field);
  /// Returns a string, or Default if the field is absent.
  std::string text(const char *Field, const std::string &Default);
  /// Returns a required integer from Least to Most (inclusive).
  std::int64_t requireInteger(const char *Field, std::int64_t Least,
                              std::int64_t Most);
  /// Returns an integer from Least to Most (inclusive), or Default if the field
  /// is absent.
  std::int64_t integer(const char *Field, std::int64_t Least, std::int64_t Most,
                       std::int64_t Default);
  /// Returns a Boolean, or Default if the field is absent.
  bool boolean(const char *Field, bool Default);
  /// Returns one of Choices; the first one if the field is absent.
  std::string choice(const char *Field,
                     const std::vector<std::string> &Choices);
  /// Returns an object, or null if the field is absent or of another type.
  const nlohmann::json *object(const char *Field);
  /// Returns an array, or null if the field is absent or of another type.
  const nlohmann::json *array(const char *Field);
  /// Adds a fault for every field that was not read.
  void finish();
  /// Returns a field's path as given in faults.
  std::string pathOf(const std::string &Field) const;

private:
  const nlohmann::json *find(const char *Field);

  const nlohmann::json &Value;
  std::string Path;
  FaultList &Faults;
  std::set<std::string> ReadFields;
};

} // namespace tanagerlanding

#endif
