/// \file
/// The chat completions protocol of model engines.
#ifndef TANAGERLANDING_ENGINE_CHATPROTOCOL_H
#define TANAGERLANDING_ENGINE_CHATPROTOCOL_H

#include "tanagerlanding/basics.h"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerlanding {

/// What a chat request to an engine says.
struct ChatRequest {
  std::string Model;
  /// JSON message objects joined by commas.
  std::string Messages;
  TokenCount MaxTokens;
  bool Stream = false;
  /// The name under which the engine keeps the prefix.
  std::string PrefixName;
};

/// Returns a chat request's body.
std::string makeChatBody(const ChatRequest &Request);

/// A whole chat answer.
struct ChatAnswer {
  /// The answer as a chat completion object.
  std::string Body;
  /// The assistant's message as a JSON object.
  std::string Message;
  TokenCount Generated;
};

/// Reads an answer that came whole. Returns nothing if it is no chat
/// completion.
std::optional<ChatAnswer> readChatAnswer(const std::string &Body);

/// Gathers a streamed answer. Feed it with pieces as they come; pass on to
/// the caller what feed() returns.
class ChatStream {
public:
  ChatStream() = default;
  ChatStream(const ChatStream &) = delete;
  ChatStream &operator=(const ChatStream &) = delete;

  /// Returns the whole events in the stream so far that were not returned
  /// before, without the mark of the end.
  std::string feed(std::string_view Piece);

  /// Returns whether the mark of the end has come.
  bool isWhole() const { return this->HasEnd; }

  /// Returns the answer as it would have come whole.
  ChatAnswer answer() const;

private:
  void readEvent(const std::string &Data);

  std::string Buffer;
  std::string Content;
  std::string Model;
  std::uint64_t Pieces = 0;
  std::uint64_t Generated = 0;
  bool HasUsage = false;
  bool HasEnd = false;
};

/// Returns a whole chat answer as the events of a stream, without the mark of
/// the end.
std::string toStreamEvents(const std::string &ChatBody);

} // namespace tanagerlanding

#endif
