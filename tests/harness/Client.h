/// \file
/// A caller.
#ifndef TANAGERLANDING_TESTS_CLIENT_H
#define TANAGERLANDING_TESTS_CLIENT_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerlanding::test {

/// What a caller got. Status 0 means that no whole response came.
struct Response {
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Returns error.code of a refusal, or an empty text.
  std::string errorCode() const;
  /// Returns error.ran of a refusal, or an empty text.
  std::string errorRan() const;
  /// Returns the assistant's content of a chat answer.
  std::string content() const;
  /// Returns the content of a streamed chat answer.
  std::string streamedContent() const;
  /// Returns whether a streamed answer came to its end.
  bool isWholeStream() const;
};

/// A request by blocking libcurl.
struct Request {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{20000};
  /// Closes the connection after this many body bytes; 0 means never.
  std::size_t VanishAfterBytes = 0;
};

/// Sends a request and waits for its end. May be called by several threads.
Response send(const Request &Asked);

/// Who calls for which program.
struct Program {
  std::string Id;
  std::string Team = "team-a";
  std::uint64_t Tokens = 100000;
  unsigned Calls = 1000;
};

/// Makes the request of a chat turn.
Request chatRequest(std::uint16_t Port, const Program &Of,
                    const std::string &Content, const std::string &Key,
                    bool Stream = false);

/// Makes the request of a call to a plain service.
Request serviceRequest(std::uint16_t Port, const Program &Of,
                       const std::string &Path, const std::string &Body,
                       const std::string &Key);

/// Sends a request again until it is not refused as "come back later"; gives
/// up after Limit. Keeps every refusal on the way in Refusals, if given.
Response
sendUntilTaken(const Request &Asked, std::vector<Response> *Refusals = nullptr,
               std::chrono::milliseconds Limit = std::chrono::seconds(30));

} // namespace tanagerlanding::test

#endif
