/// \file
/// HTTP client with which tests act as callers.
#ifndef TANAGERLANDING_TESTS_CLIENT_H
#define TANAGERLANDING_TESTS_CLIENT_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerlanding::test {

/// A response as the caller received it. Status 0 means that no complete
/// response arrived.
struct Response {
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Returns error.code of a refusal, or an empty string.
  std::string errorCode() const;
  /// Returns error.ran of a refusal, or an empty string.
  std::string errorRan() const;
  /// Returns the assistant's content of an unstreamed chat response.
  std::string content() const;
  /// Returns the concatenated content of a streamed chat response.
  std::string streamedContent() const;
  /// Returns whether a streamed response has status 200 and its end marker.
  bool isCompleteStream() const;
};

/// A request, sent with the blocking interface of libcurl.
struct Request {
  std::string Method = "GET";
  std::string Url;
  std::vector<std::string> Headers;
  std::string Body;
  std::chrono::milliseconds Timeout{20000};
  /// Closes the connection after this many response body bytes; 0 means never.
  std::size_t DisconnectAfterBytes = 0;
};

/// Sends a request and waits for its response. Thread-safe.
Response send(const Request &Call);

/// The program on whose behalf a request is sent, with its team and budget.
struct Program {
  std::string Id;
  std::string Team = "team-a";
  std::uint64_t Tokens = 100000;
  unsigned Calls = 1000;
};

/// Returns the request of a chat turn.
Request chatRequest(std::uint16_t Port, const Program &Sender,
                    const std::string &Content, const std::string &Key,
                    bool Stream = false);

/// Returns the request of a call to the service cache-app.
Request serviceRequest(std::uint16_t Port, const Program &Sender,
                       const std::string &Path, const std::string &Body,
                       const std::string &Key);

/// Sends a request and retries it while no response arrives or the response
/// carries Retry-After. Returns the last response after Limit. Appends the
/// responses of failed attempts to Refusals, if given.
Response
sendWithRetry(const Request &Call, std::vector<Response> *Refusals = nullptr,
              std::chrono::milliseconds Limit = std::chrono::seconds(30));

} // namespace tanagerlanding::test

#endif
