#include "Client.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace tanagerlanding::test {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds RetryPause{100};

struct Receiver {
  Response Got;
  std::size_t VanishAfterBytes = 0;
};

std::size_t onBody(char *Bytes, std::size_t Size, std::size_t Count,
                   void *Owner) {
  auto *Into = static_cast<Receiver *>(Owner);
  Into->Got.Body.append(Bytes, Size * Count);
  const bool Vanishes = Into->VanishAfterBytes > 0 &&
                        Into->Got.Body.size() >= Into->VanishAfterBytes;
  return Vanishes ? 0 : Size * Count;
}

std::size_t onHeader(char *Bytes, std::size_t Size, std::size_t Count,
                     void *Owner) {
  const std::string Line(Bytes, Size * Count);
  const std::size_t Colon = Line.find(": ");
  if (Colon != std::string::npos) {
    std::string Value = Line.substr(Colon + 2);
    Value.erase(Value.find_last_not_of("\r\n") + 1);
    static_cast<Receiver *>(Owner)->Got.Headers[Line.substr(0, Colon)] = Value;
  }
  return Size * Count;
}

std::string errorField(const std::string &Body, const char *Field) {
  const Json Object = Json::parse(Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("error"))
    return std::string();
  return Object["error"].value(Field, "");
}

std::vector<std::string> headersOf(const Program &Of, const std::string &Key) {
  std::vector<std::string> Headers = {
      "Content-Type: application/json", "Tanager-Program: " + Of.Id,
      "Tanager-Team: " + Of.Team,
      "Tanager-Budget-Tokens: " + std::to_string(Of.Tokens),
      "Tanager-Budget-Calls: " + std::to_string(Of.Calls)};
  if (!Key.empty())
    Headers.push_back("Idempotency-Key: " + Key);
  return Headers;
}

std::string urlOf(std::uint16_t Port, const std::string &Path) {
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

bool Response::isWholeStream() const {
  return this->Status == 200 &&
         this->Body.find("data: [DONE]\n\n") != std::string::npos;
}

Response send(const Request &Asked) {
  Receiver Into;
  Into.VanishAfterBytes = Asked.VanishAfterBytes;
  CURL *Easy = curl_easy_init();
  curl_slist *Headers = curl_slist_append(nullptr, "Expect:");
  for (const std::string &Each : Asked.Headers)
    Headers = curl_slist_append(Headers, Each.c_str());
  curl_easy_setopt(Easy, CURLOPT_URL, Asked.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Asked.Method.c_str());
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Headers);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Asked.Timeout.count()));
  if (!Asked.Body.empty()) {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Asked.Body.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Asked.Body.size()));
  }
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Into);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, onHeader);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &Into);
  if (curl_easy_perform(Easy) == CURLE_OK) {
    long Status = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
    Into.Got.Status = static_cast<int>(Status);
  }
  curl_slist_free_all(Headers);
  curl_easy_cleanup(Easy);
  return Into.Got;
}

Request chatRequest(std::uint16_t Port, const Program &Of,
                    const std::string &Content, const std::string &Key,
                    bool Stream) {
  Request Asked;
  Asked.Method = "POST";
  Asked.Url = urlOf(Port, "/v1/chat/completions");
  Asked.Headers = headersOf(Of, Key);
  Asked.Body = Json({{"model", "trail-llm"},
                     {"messages", {{{"role", "user"}, {"content", Content}}}},
                     {"max_tokens", 64},
                     {"stream", Stream}})
                   .dump();
  return Asked;
}

Request serviceRequest(std::uint16_t Port, const Program &Of,
                       const std::string &Path, const std::string &Body,
                       const std::string &Key) {
  Request Asked;
  Asked.Method = "POST";
  Asked.Url = urlOf(Port, "/v1/services/cache-app" + Path);
  Asked.Headers = headersOf(Of, Key);
  Asked.Body = Body;
  return Asked;
}

Response sendUntilTaken(const Request &Asked, std::vector<Response> *Refusals,
                        std::chrono::milliseconds Limit) {
  const auto Until = std::chrono::steady_clock::now() + Limit;
  for (;;) {
    const Response Got = send(Asked);
    const bool ComesBack =
        Got.Status == 0 || Got.Headers.count("Retry-After") > 0;
    if (!ComesBack || std::chrono::steady_clock::now() >= Until)
      return Got;
    if (Refusals)
      Refusals->push_back(Got);
    std::this_thread::sleep_for(RetryPause);
  }
}

} // namespace tanagerlanding::test
