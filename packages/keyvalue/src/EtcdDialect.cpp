#include "tanagerlanding/keyvalue/KeyValueDialect.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t StatusOk = 200;
constexpr std::size_t Base64GroupChars = 4;
constexpr std::size_t Base64GroupBytes = 3;

/// Returns the exclusive upper bound of the keys that begin with Prefix.
std::string prefixEnd(std::string Prefix) {
  ++Prefix.back();
  return Prefix;
}

/// Returns the parsed body of a successful answer, or a discarded value.
Json parseAnswer(const HttpOutcome &Outcome) {
  if (Outcome.Ended != HttpOutcome::Kind::Answered ||
      Outcome.Status != StatusOk)
    return Json(Json::value_t::discarded);
  return Json::parse(Outcome.Body, nullptr, false);
}

PlatformError platformErrorFor(const HttpOutcome &Outcome) {
  return PlatformError{Outcome.Ended == HttpOutcome::Kind::Answered
                           ? PlatformError::Kind::BadAnswer
                           : PlatformError::Kind::Unreachable};
}

/// Returns a 64-bit number, which the gateway encodes as a string; 0 if it is
/// absent.
std::int64_t parseNumber(const Json &Object, const char *Field) {
  const std::string Text = Object.value(Field, "0");
  return std::atoll(Text.c_str());
}

std::vector<KeyValue> parseKeyValues(const Json &Range) {
  std::vector<KeyValue> Found;
  if (!Range.is_object() || !Range.contains("kvs"))
    return Found;
  for (const Json &Item : Range["kvs"]) {
    const auto Key = decodeBase64(Item.value("key", ""));
    const auto Value = decodeBase64(Item.value("value", ""));
    if (Key && Value)
      Found.push_back(
          KeyValue{*Key, *Value, Revision(parseNumber(Item, "mod_revision"))});
  }
  return Found;
}

WriteAnswer parseWriteAnswer(const Json &Object) {
  WriteAnswer Answer;
  Answer.HasSucceeded = Object.value("succeeded", false);
  if (Object.contains("header"))
    Answer.ServiceRevision =
        Revision(parseNumber(Object["header"], "revision"));
  if (Answer.HasSucceeded || !Object.contains("responses"))
    return Answer;
  for (const Json &Each : Object["responses"]) {
    const auto Found =
        parseKeyValues(Each.value("response_range", Json::object()));
    if (!Found.empty())
      Answer.ConflictingItem = Found.front();
  }
  return Answer;
}

/// Visitor that encodes an operation as an HTTP call.
struct EtcdEncoder {
  using Encoded = Result<KeyValueCall, PlatformError>;

  Encoded operator()(const ReadRange &Operation) const {
    const Json Body = {
        {"key", encodeBase64(Operation.Prefix)},
        {"range_end", encodeBase64(prefixEnd(Operation.Prefix))}};
    return KeyValueCall{"POST", "/v3/kv/range", Body.dump()};
  }

  Encoded operator()(const ConditionalWrite &Operation) const {
    Json Compare = Json::array();
    Json Failure = Json::array();
    for (const KeyCondition &Each : Operation.Conditions) {
      const std::string Name = encodeBase64(Each.Key);
      Compare.push_back(
          {{"key", Name},
           {"target", "MOD"},
           {"result", "EQUAL"},
           {"mod_revision", std::to_string(Each.Expected.Value)}});
      Failure.push_back({{"request_range", {{"key", Name}}}});
    }
    Json Success = Json::array();
    for (const KeyWrite &Each : Operation.Writes)
      Success.push_back({{"request_put",
                          {{"key", encodeBase64(Each.Key)},
                           {"value", encodeBase64(Each.Value)}}}});
    const Json Body = {
        {"compare", Compare}, {"success", Success}, {"failure", Failure}};
    return KeyValueCall{"POST", "/v3/kv/txn", Body.dump()};
  }

  // Not needed: entries poll, and nothing watches or uses leases through this
  // gateway.
  Encoded operator()(const WatchRange &) const {
    return PlatformError{PlatformError::Kind::Unsupported};
  }
  Encoded operator()(const GrantLease &) const {
    return PlatformError{PlatformError::Kind::Unsupported};
  }
  Encoded operator()(const RenewLease &) const {
    return PlatformError{PlatformError::Kind::Unsupported};
  }
};

/// Throws Json::exception if a field has the wrong type.
KeyValueReply parseReply(const KeyValueOperation &Operation,
                         const Json &Answer) {
  if (std::holds_alternative<ConditionalWrite>(Operation))
    return parseWriteAnswer(Answer);
  RangePage Page;
  Page.Items = parseKeyValues(Answer);
  return Page;
}

Result<KeyValueReply, PlatformError>
decodeEtcdReply(const KeyValueOperation &Operation,
                const HttpOutcome &Outcome) {
  const Json Answer = parseAnswer(Outcome);
  if (!Answer.is_object())
    return platformErrorFor(Outcome);
  try {
    return parseReply(Operation, Answer);
  } catch (const Json::exception &) {
    return PlatformError{PlatformError::Kind::BadAnswer};
  }
}

} // namespace

std::string encodeBase64(const std::string &Bytes) {
  using namespace boost::archive::iterators;
  using Encoder =
      base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
  std::string Text(Encoder(Bytes.begin()), Encoder(Bytes.end()));
  Text.append((Base64GroupBytes - Bytes.size() % Base64GroupBytes) %
                  Base64GroupBytes,
              '=');
  return Text;
}

std::optional<std::string> decodeBase64(const std::string &Text) {
  using namespace boost::archive::iterators;
  using Decoder =
      transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  if (Text.size() % Base64GroupChars != 0)
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

KeyValueDialect makeEtcdDialect() {
  KeyValueDialect Dialect;
  Dialect.Encode = [](const KeyValueOperation &Operation) {
    return std::visit(EtcdEncoder{}, Operation);
  };
  Dialect.Decode = decodeEtcdReply;
  return Dialect;
}

} // namespace tanagerlanding
