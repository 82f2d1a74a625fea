/// \file
/// The chat completions protocol of model engines.
#ifndef TANAGERLANDING_ENGINE_CHATPROTOCOL_H
#define TANAGERLANDING_ENGINE_CHATPROTOCOL_H

#include "tanagerlanding/basics.h"

#include <optional>
#include <string>
#include <string_view>

namespace tanagerlanding {

/// The fields of a chat request to an engine.
struct ChatRequest {
  std::string Model;
  /// JSON message objects joined by commas.
  std::string Messages;
  TokenCount MaxTokens;
  bool IsStreaming = false;
  /// The name under which the engine caches the prompt prefix.
  std::string PrefixName;
};

/// Returns the JSON body of a chat request.
std::string makeChatBody(const ChatRequest &Request);

/// A complete chat answer.
struct ChatAnswer {
  /// The answer as a chat completion object.
  std::string Body;
  /// The assistant's message as a JSON object.
  std::string Message;
  TokenCount Generated;
};

/// Parses an answer that was not streamed. Returns nothing if it is not a chat
/// completion.
std::optional<ChatAnswer> readChatAnswer(const std::string &Body);

/// Assembles a streamed answer. Pass each received piece to feed() and forward
/// the events that it returns to the caller.
class ChatStream {
public:
  ChatStream() = default;
  ChatStream(const ChatStream &) = delete;
  ChatStream &operator=(const ChatStream &) = delete;

  /// Adds a piece and returns the complete events that have not been returned
  /// yet, without the end marker "[DONE]".
  std::string feed(std::string_view Piece);

  /// Returns whether the end marker has been received.
  bool isComplete() const { return this->HasEnd; }

  /// Returns the answer in the form that it has when not streamed.
  ChatAnswer answer() const;

private:
  void readEvent(const std::string &Data);

  std::string Buffer;
  std::string Content;
  std::string Model;
  std::uint64_t ContentChunks = 0;
  std::uint64_t Generated = 0;
  bool HasUsage = false;
  bool HasEnd = false;
};

/// Converts a complete chat answer to the events of a stream, without the end
/// marker.
std::string toStreamEvents(const std::string &ChatBody);

} // namespace tanagerlanding

#endif
