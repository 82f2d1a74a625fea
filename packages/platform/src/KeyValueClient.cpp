#include "tanagerlanding/platform/KeyValueClient.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr Milliseconds CallTimeout{2000};
constexpr std::uint16_t StatusOk = 200;
constexpr std::size_t QuantumChars = 4;
constexpr std::size_t QuantumBytes = 3;

/// Returns the first key behind all that begin with Prefix.
std::string prefixEnd(std::string Prefix) {
  ++Prefix.back();
  return Prefix;
}

/// Returns the answer's object, or a discarded value.
Json answerOf(const HttpOutcome &Outcome) {
  if (Outcome.Ended != HttpOutcome::Kind::Answered ||
      Outcome.Status != StatusOk)
    return Json(Json::value_t::discarded);
  return Json::parse(Outcome.Body, nullptr, false);
}

PlatformError errorOf(const HttpOutcome &Outcome) {
  return PlatformError{Outcome.Ended == HttpOutcome::Kind::Answered
                           ? PlatformError::Kind::BadAnswer
                           : PlatformError::Kind::Unreachable};
}

/// The gateway writes 64-bit numbers as texts.
std::int64_t numberOf(const Json &Object, const char *Field) {
  const std::string Text = Object.value(Field, "0");
  return std::atoll(Text.c_str());
}

std::vector<KeyValue> keyValuesOf(const Json &Range) {
  std::vector<KeyValue> Found;
  if (!Range.is_object() || !Range.contains("kvs"))
    return Found;
  for (const Json &Item : Range["kvs"]) {
    const auto Key = decodeBase64(Item.value("key", ""));
    const auto Value = decodeBase64(Item.value("value", ""));
    if (Key && Value)
      Found.push_back(
          KeyValue{*Key, *Value, Revision(numberOf(Item, "mod_revision"))});
  }
  return Found;
}

WriteAnswer writeAnswerOf(const Json &Object) {
  WriteAnswer Answer;
  Answer.Succeeded = Object.value("succeeded", false);
  if (Object.contains("header"))
    Answer.At = Revision(numberOf(Object["header"], "revision"));
  if (Answer.Succeeded || !Object.contains("responses"))
    return Answer;
  for (const Json &Each : Object["responses"]) {
    const auto Found =
        keyValuesOf(Each.value("response_range", Json::object()));
    if (!Found.empty())
      Answer.Present = Found.front();
  }
  return Answer;
}

} // namespace

std::string encodeBase64(const std::string &Bytes) {
  using namespace boost::archive::iterators;
  using Encoder =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string Text(Encoder(Bytes.begin()), Encoder(Bytes.end()));
  Text.append((QuantumBytes - Bytes.size() % QuantumBytes) % QuantumBytes, '=');
  return Text;
}

std::optional<std::string> decodeBase64(const std::string &Text) {
  using namespace boost::archive::iterators;
  using Decoder =
      transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  if (Text.size() % QuantumChars != 0)
    return std::nullopt;
  std::string Padded = Text;
  std::size_t Padding = 0;
  while (Padding < 2 && !Padded.empty() &&
         Padded[Padded.size() - 1 - Padding] == '=')
    ++Padding;
  std::fill(Padded.end() - static_cast<long>(Padding), Padded.end(), 'A');
  if (!std::all_of(Padded.begin(), Padded.end(), [](unsigned char Each) {
        return std::isalnum(Each) || Each == '+' || Each == '/';
      }))
    return std::nullopt;
  std::string Bytes(Decoder(Padded.begin()), Decoder(Padded.end()));
  Bytes.resize(Bytes.size() - Padding);
  return Bytes;
}

KeyValueClient::KeyValueClient(EventLoop &Loop, std::string Url)
    : Client(Loop), Url(std::move(Url)) {}

void KeyValueClient::call(const std::string &Path, const std::string &Body,
                          HttpClient::DoneCallback Done) {
  ++this->Calls;
  HttpRequest Request;
  Request.Method = "POST";
  Request.Url = this->Url + Path;
  Request.Body = Body;
  Request.Timeout = CallTimeout;
  Request.withHeader("Content-Type: application/json");
  this->Client.start(std::move(Request), {}, std::move(Done));
}

void KeyValueClient::readPrefix(const std::string &Prefix, ReadCallback Done) {
  const Json Body = {{"key", encodeBase64(Prefix)},
                     {"range_end", encodeBase64(prefixEnd(Prefix))}};
  this->call("/v3/kv/range", Body.dump(),
             [Done = std::move(Done)](const HttpOutcome &Outcome) {
               const Json Answer = answerOf(Outcome);
               if (Answer.is_object())
                 Done(keyValuesOf(Answer));
               else
                 Done(errorOf(Outcome));
             });
}

void KeyValueClient::writeIfUnchanged(const std::string &Key,
                                      const std::string &Value,
                                      Revision Expected, WriteCallback Done) {
  const std::string Name = encodeBase64(Key);
  const Json Body = {
      {"compare",
       {{{"key", Name},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(Expected.Value)}}}},
      {"success",
       {{{"request_put", {{"key", Name}, {"value", encodeBase64(Value)}}}}}},
      {"failure", {{{"request_range", {{"key", Name}}}}}}};
  this->call("/v3/kv/txn", Body.dump(),
             [Done = std::move(Done)](const HttpOutcome &Outcome) {
               const Json Answer = answerOf(Outcome);
               if (Answer.is_object())
                 Done(writeAnswerOf(Answer));
               else
                 Done(errorOf(Outcome));
             });
}

} // namespace tanagerlanding
