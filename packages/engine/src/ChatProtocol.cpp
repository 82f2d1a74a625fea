#include "tanagerlanding/engine/ChatProtocol.h"

#include <nlohmann/json.hpp>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr const char *EventEnd = "\n\n";
constexpr const char *DataField = "data: ";
constexpr const char *EndMarker = "[DONE]";

/// Parses without exceptions; malformed text gives a discarded value.
Json parseNoThrow(std::string_view Text) {
  return Json::parse(Text, nullptr, /*allow_exceptions=*/false);
}

/// Returns the first choice, or null.
const Json *firstChoice(const Json &Object) {
  if (!Object.is_object())
    return nullptr;
  const auto Choices = Object.find("choices");
  if (Choices == Object.end() || !Choices->is_array() || Choices->empty() ||
      !(*Choices)[0].is_object())
    return nullptr;
  return &(*Choices)[0];
}

std::optional<std::uint64_t> completionTokens(const Json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  const auto Usage = Object.find("usage");
  if (Usage == Object.end() || !Usage->is_object())
    return std::nullopt;
  const auto Tokens = Usage->find("completion_tokens");
  if (Tokens == Usage->end() || !Tokens->is_number_unsigned())
    return std::nullopt;
  return Tokens->get<std::uint64_t>();
}

} // namespace

std::string makeChatBody(const ChatRequest &Request) {
  // The messages are already JSON text; only the rest is encoded.
  Json Rest = {{"model", Request.Model},
               {"max_tokens", Request.MaxTokens.Value},
               {"stream", Request.IsStreaming},
               {"user", Request.PrefixName}};
  if (Request.IsStreaming)
    Rest["stream_options"] = {{"include_usage", true}};
  std::string Body = Rest.dump();
  Body.pop_back();
  Body += ",\"messages\":[" + Request.Messages + "]}";
  return Body;
}

std::optional<ChatAnswer> readChatAnswer(const std::string &Body) {
  const Json Object = parseNoThrow(Body);
  const Json *Choice = firstChoice(Object);
  if (!Choice)
    return std::nullopt;
  const auto Message = Choice->find("message");
  if (Message == Choice->end() || !Message->is_object())
    return std::nullopt;
  return ChatAnswer{Body, Message->dump(),
                    TokenCount{completionTokens(Object).value_or(0)}};
}

std::string ChatStream::feed(std::string_view Piece) {
  this->Buffer.append(Piece);
  std::string CompleteEvents;
  for (;;) {
    const std::size_t End = this->Buffer.find(EventEnd);
    if (End == std::string::npos)
      return CompleteEvents;
    const std::string Event = this->Buffer.substr(0, End + 2);
    this->Buffer.erase(0, End + 2);
    const std::string Prefix(DataField);
    if (Event.compare(0, Prefix.size(), Prefix) != 0)
      continue;
    const std::string Data =
        Event.substr(Prefix.size(), Event.size() - Prefix.size() - 2);
    if (Data == EndMarker) {
      this->HasEnd = true;
      continue;
    }
    this->readEvent(Data);
    CompleteEvents += Event;
  }
}

void ChatStream::readEvent(const std::string &Data) {
  const Json Object = parseNoThrow(Data);
  if (!Object.is_object())
    return;
  if (Object.contains("model") && Object["model"].is_string())
    this->Model = Object["model"].get<std::string>();
  if (const auto Tokens = completionTokens(Object)) {
    this->Generated = *Tokens;
    this->HasUsage = true;
  }
  const Json *Choice = firstChoice(Object);
  if (!Choice || !Choice->contains("delta"))
    return;
  const Json &Delta = (*Choice)["delta"];
  if (!Delta.is_object() || !Delta.contains("content") ||
      !Delta["content"].is_string())
    return;
  this->Content += Delta["content"].get<std::string>();
  ++this->ContentChunks;
}

ChatAnswer ChatStream::answer() const {
  const std::uint64_t Tokens =
      this->HasUsage ? this->Generated : this->ContentChunks;
  const Json Message = {{"role", "assistant"}, {"content", this->Content}};
  const Json Body = {
      {"object", "chat.completion"},
      {"model", this->Model},
      {"choices",
       {{{"index", 0}, {"message", Message}, {"finish_reason", "stop"}}}},
      {"usage", {{"completion_tokens", Tokens}}}};
  return ChatAnswer{Body.dump(), Message.dump(), TokenCount{Tokens}};
}

std::string toStreamEvents(const std::string &ChatBody) {
  Json Object = parseNoThrow(ChatBody);
  const Json *Choice = firstChoice(Object);
  if (!Choice || !Choice->contains("message"))
    return std::string();
  const Json Delta = (*Choice)["message"];
  Object["object"] = "chat.completion.chunk";
  Object["choices"] = {
      {{"index", 0}, {"delta", Delta}, {"finish_reason", "stop"}}};
  return DataField + Object.dump() + EventEnd;
}

} // namespace tanagerlanding
