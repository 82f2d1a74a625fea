#include "Client.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace tanagerlanding::test {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds RetryInterval{100};

struct TransferState {
  Response Result;
  std::size_t DisconnectAfterBytes = 0;
  /// Whether the empty line that ends the last head has been received.
  bool HasWholeHead = false;
};

std::size_t onBody(char *Bytes, std::size_t Size, std::size_t Count,
                   void *Owner) {
  auto *State = static_cast<TransferState *>(Owner);
  State->Result.Body.append(Bytes, Size * Count);
  const bool Disconnects =
      State->DisconnectAfterBytes > 0 &&
      State->Result.Body.size() >= State->DisconnectAfterBytes;
  return Disconnects ? 0 : Size * Count;
}

std::size_t onHeader(char *Bytes, std::size_t Size, std::size_t Count,
                     void *Owner) {
  const std::string Line(Bytes, Size * Count);
  auto *State = static_cast<TransferState *>(Owner);
  if (Line.rfind("HTTP/", 0) == 0)
    State->HasWholeHead = false;
  else if (Line == "\r\n" || Line == "\n")
    State->HasWholeHead = true;
  const std::size_t Colon = Line.find(": ");
  if (Colon != std::string::npos) {
    std::string Value = Line.substr(Colon + 2);
    Value.erase(Value.find_last_not_of("\r\n") + 1);
    State->Result.Headers[Line.substr(0, Colon)] = Value;
  }
  return Size * Count;
}

std::string errorField(const std::string &Body, const char *Field) {
  const Json Object = Json::parse(Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("error"))
    return std::string();
  return Object["error"].value(Field, "");
}

std::vector<std::string> requestHeaders(const Program &Sender,
                                        const std::string &Key) {
  std::vector<std::string> Headers = {
      "Content-Type: application/json", "Tanager-Program: " + Sender.Id,
      "Tanager-Team: " + Sender.Team,
      "Tanager-Budget-Tokens: " + std::to_string(Sender.Tokens),
      "Tanager-Budget-Calls: " + std::to_string(Sender.Calls)};
  if (!Key.empty())
    Headers.push_back("Idempotency-Key: " + Key);
  return Headers;
}

std::string loopbackUrl(std::uint16_t Port, const std::string &Path) {
  return "http://127.0.0.1:" + std::to_string(Port) + Path;
}

} // namespace

std::string Response::errorCode() const {
  return errorField(this->Body, "code");
}

std::string Response::errorRan() const { return errorField(this->Body, "ran"); }

std::string Response::content() const {
  const Json Object = Json::parse(this->Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("choices"))
    return std::string();
  return Object["choices"][0]["message"].value("content", "");
}

std::string Response::streamedContent() const {
  std::string Content;
  std::size_t Start = 0;
  for (;;) {
    const std::size_t End = this->Body.find("\n\n", Start);
    if (End == std::string::npos)
      return Content;
    const std::string Event = this->Body.substr(Start, End - Start);
    Start = End + 2;
    const Json Object = Json::parse(
        Event.substr(std::min<std::size_t>(6, Event.size())), nullptr, false);
    if (!Object.is_object() || !Object.contains("choices") ||
        Object["choices"].empty())
      continue;
    Content += Object["choices"][0]["delta"].value("content", "");
  }
}

bool Response::isCompleteStream() const {
  return this->Status == 200 &&
         this->Body.find("data: [DONE]\n\n") != std::string::npos;
}

Response send(const Request &Call) {
  TransferState State;
  State.DisconnectAfterBytes = Call.DisconnectAfterBytes;
  CURL *Handle = curl_easy_init();
  curl_slist *Headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string &Each : Call.Headers)
    Headers = curl_slist_append(Headers, Each.c_str());
  curl_easy_setopt(Handle, CURLOPT_URL, Call.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Call.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Call.Timeout.count()));
  if (!Call.Body.empty()) {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Call.Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Call.Body.size()));
  }
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &State);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, &State);
  // libcurl reports a response whose head was cut off as complete.
  if (curl_easy_perform(Handle) == CURLE_OK && State.HasWholeHead) {
    long Status = 0;
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Status);
    State.Result.Status = static_cast<int>(Status);
  }
  curl_slist_free_all(Headers);
  curl_easy_cleanup(Handle);
  return State.Result;
}

Request chatRequest(std::uint16_t Port, const Program &Sender,
                    const std::string &Content, const std::string &Key,
                    bool Stream) {
  Request Call;
  Call.Method = "POST";
  Call.Url = loopbackUrl(Port, "/v1/chat/completions");
  Call.Headers = requestHeaders(Sender, Key);
  Call.Body = Json({{"model", "trail-llm"},
                    {"messages", {{{"role", "user"}, {"content", Content}}}},
                    {"max_tokens", 64},
                    {"stream", Stream}})
                  .dump();
  return Call;
}

Request serviceRequest(std::uint16_t Port, const Program &Sender,
                       const std::string &Path, const std::string &Body,
                       const std::string &Key) {
  Request Call;
  Call.Method = "POST";
  Call.Url = loopbackUrl(Port, "/v1/services/cache-app" + Path);
  Call.Headers = requestHeaders(Sender, Key);
  Call.Body = Body;
  return Call;
}

Response sendWithRetry(const Request &Call, std::vector<Response> *Refusals,
                       std::chrono::milliseconds Limit) {
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  for (;;) {
    const Response Result = send(Call);
    const bool IsRetryable =
        Result.Status == 0 || Result.Headers.count("Retry-After") > 0;
    if (!IsRetryable || std::chrono::steady_clock::now() >= Deadline)
      return Result;
    if (Refusals)
      Refusals->push_back(Result);
    std::this_thread::sleep_for(RetryInterval);
  }
}

} // namespace tanagerlanding::test
