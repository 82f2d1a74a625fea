#include "tanagerlanding/settings/DocumentReader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

/// Ends parsing at the first level that is too deep. The parser's callback
/// would do too, but takes quadratic time for long lists.
class DepthCheck : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool /*Value*/) override { return true; }
  bool number_integer(number_integer_t /*Value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*Value*/) override { return true; }
  bool number_float(number_float_t /*Value*/,
                    const string_t & /*Text*/) override {
    return true;
  }
  bool string(string_t & /*Value*/) override { return true; }
  bool binary(binary_t & /*Value*/) override { return true; }
  bool key(string_t & /*Name*/) override { return true; }
  bool start_object(std::size_t /*Elements*/) override { return this->enter(); }
  bool end_object() override { return this->leave(); }
  bool start_array(std::size_t /*Elements*/) override { return this->enter(); }
  bool end_array() override { return this->leave(); }
  /// Left to the parser that follows, which tells the kind of error.
  bool parse_error(std::size_t /*Position*/, const std::string & /*Token*/,
                   const Json::exception & /*Error*/) override {
    return false;
  }

  bool isTooDeep() const { return this->Depth > MaxDocumentDepth; }

private:
  bool enter() {
    ++this->Depth;
    return !this->isTooDeep();
  }
  bool leave() {
    --this->Depth;
    return true;
  }

  int Depth = 0;
};

bool isTooDeep(const std::string &Text) {
  const auto Opened = std::count_if(Text.begin(), Text.end(), [](char Each) {
    return Each == '[' || Each == '{';
  });
  if (Opened <= MaxDocumentDepth)
    return false;
  DepthCheck Check;
  Json::sax_parse(Text, &Check, Json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
  return Check.isTooDeep();
}

} // namespace

std::optional<nlohmann::json> parseDocument(const std::string &Text,
                                            FaultList &Faults) {
  if (isTooDeep(Text)) {
    Faults.add("", "at most " + std::to_string(MaxDocumentDepth) +
                       " levels of nesting");
    return std::nullopt;
  }
  try {
    return Json::parse(Text, nullptr, /*allow_exceptions=*/true,
                       /*ignore_comments=*/true);
  } catch (const Json::parse_error &Error) {
    Faults.add("byte " + std::to_string(Error.byte), "well-formed JSON");
    return std::nullopt;
  } catch (const Json::out_of_range &) {
    Faults.add("", "numbers in the range of double");
    return std::nullopt;
  }
}

std::optional<std::string> readFile(const std::string &Path,
                                    FaultList &Faults) {
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    Faults.add(Path, "a readable file");
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

ObjectReader::ObjectReader(const nlohmann::json &Value, std::string Path,
                           FaultList &Faults)
    : Value(Value), Path(std::move(Path)), Faults(Faults) {
  if (!Value.is_object())
    Faults.add(this->Path.empty() ? "/" : this->Path, "an object");
}

std::string ObjectReader::pathOf(const std::string &Field) const {
  return this->Path + "/" + Field;
}

const nlohmann::json *ObjectReader::find(const char *Field) {
  this->ReadFields.insert(Field);
  if (!this->Value.is_object())
    return nullptr;
  const auto Found = this->Value.find(Field);
  return Found == this->Value.end() ? nullptr : &*Found;
}

std::string ObjectReader::requireText(const char *Field) {
  const nlohmann::json *Found = this->find(Field);
  if (Found && Found->is_string() && !Found->get<std::string>().empty())
    return Found->get<std::string>();
  this->Faults.add(this->pathOf(Field), "a non-empty string");
  return std::string();
}

std::string ObjectReader::text(const char *Field, const std::string &Default) {
  const nlohmann::json *Found = this->find(Field);
  if (!Found)
    return Default;
  if (Found->is_string())
    return Found->get<std::string>();
  this->Faults.add(this->pathOf(Field), "a string");
  return Default;
}

std::int64_t ObjectReader::requireInteger(const char *Field, std::int64_t Least,
                                          std::int64_t Most) {
  if (!this->find(Field)) {
    this->Faults.add(this->pathOf(Field), "an integer from " +
                                              std::to_string(Least) + " to " +
                                              std::to_string(Most));
    return Least;
  }
  return this->integer(Field, Least, Most, Least);
}

std::int64_t ObjectReader::integer(const char *Field, std::int64_t Least,
                                   std::int64_t Most, std::int64_t Default) {
  const nlohmann::json *Found = this->find(Field);
  if (!Found)
    return Default;
  if (Found->is_number_integer()) {
    const auto Number = Found->get<std::int64_t>();
    if (Number >= Least && Number <= Most)
      return Number;
  }
  this->Faults.add(this->pathOf(Field), "an integer from " +
                                            std::to_string(Least) + " to " +
                                            std::to_string(Most));
  return Default;
}

bool ObjectReader::boolean(const char *Field, bool Default) {
  const nlohmann::json *Found = this->find(Field);
  if (!Found)
    return Default;
  if (Found->is_boolean())
    return Found->get<bool>();
  this->Faults.add(this->pathOf(Field), "true or false");
  return Default;
}

std::string ObjectReader::choice(const char *Field,
                                 const std::vector<std::string> &Choices) {
  const std::string Chosen = this->text(Field, Choices.front());
  if (std::find(Choices.begin(), Choices.end(), Chosen) != Choices.end())
    return Chosen;
  std::string Expected = "one of";
  for (const std::string &Each : Choices)
    Expected += " " + Each;
  this->Faults.add(this->pathOf(Field), Expected);
  return Choices.front();
}

const nlohmann::json *ObjectReader::object(const char *Field) {
  const nlohmann::json *Found = this->find(Field);
  if (!Found || Found->is_object())
    return Found;
  this->Faults.add(this->pathOf(Field), "an object");
  return nullptr;
}

const nlohmann::json *ObjectReader::array(const char *Field) {
  const nlohmann::json *Found = this->find(Field);
  if (!Found || Found->is_array())
    return Found;
  this->Faults.add(this->pathOf(Field), "an array");
  return nullptr;
}

void ObjectReader::finish() {
  if (!this->Value.is_object())
    return;
  for (const auto &[Field, Ignored] : this->Value.items()) {
    if (this->ReadFields.count(Field) == 0)
      this->Faults.add(this->pathOf(Field), "no such field");
  }
}

} // namespace tanagerlanding
