#include "tanagerlanding/gateway/CallRequest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace tanagerlanding {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxIdLength = 128;
constexpr std::uint64_t DefaultMaxTokens = 256;
constexpr std::uint64_t MaxTokenCount = 1000000000;
constexpr std::uint64_t MaxCallCount = 1000000;
constexpr std::uint64_t DefaultDeadlineMillis = 60000;
constexpr std::uint64_t MaxDeadlineMillis = 3600000;
constexpr const char *ChatPath = "/v1/chat/completions";
constexpr const char *ServicesPath = "/v1/services/";
constexpr const char *ProgramsPath = "/v1/programs/";

CallFailure malformed(std::string Detail) {
  return CallFailure{CallError::MalformedRequest, Execution::NotRun,
                     Milliseconds(0), std::move(Detail)};
}

bool isId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Each) {
           return std::isalnum(Each) || Each == '-' || Each == '_' ||
                  Each == '.' || Each == ':';
         });
}

bool startsWith(const std::string &Text, const std::string &Start) {
  return Text.compare(0, Start.size(), Start) == 0;
}

/// Parses one request into a call and keeps the first failure.
class CallReader {
public:
  explicit CallReader(const IncomingRequest &Request) : Request(Request) {}

  Result<Call, CallFailure> read() {
    if (this->Request.Path == ChatPath)
      this->readChat();
    else if (startsWith(this->Request.Path, ServicesPath))
      this->readService();
    else if (startsWith(this->Request.Path, ProgramsPath))
      this->readProgram();
    else
      this->fail("no such path");
    this->readHeaders();
    if (this->Fault)
      return *this->Fault;
    return this->Parsed;
  }

private:
  void fail(std::string Detail) {
    if (!this->Fault)
      this->Fault = malformed(std::move(Detail));
  }

  void readChat() {
    this->Parsed.Kind = CallKind::Chat;
    this->Parsed.IsIdempotent = true;
    this->Parsed.Method = "POST";
    this->Parsed.Path = ChatPath;
    if (this->Request.Method != "POST") {
      this->fail("chat completions take POST");
      return;
    }
    const Json Object = Json::parse(this->Request.Body, nullptr, false);
    if (!Object.is_object()) {
      this->fail("the body must be a JSON object");
      return;
    }
    this->readModel(Object);
    this->readMessages(Object);
    this->readOptions(Object);
  }

  void readModel(const Json &Object) {
    const auto Model = Object.find("model");
    if (Model != Object.end() && Model->is_string() &&
        isId(Model->get<std::string>()))
      this->Parsed.Service = ServiceName(Model->get<std::string>());
    else
      this->fail("model must be the name of a model");
  }

  void readMessages(const Json &Object) {
    const auto Messages = Object.find("messages");
    if (Messages == Object.end() || !Messages->is_array() ||
        Messages->empty()) {
      this->fail("messages must be a list of message objects");
      return;
    }
    for (const Json &Each : *Messages) {
      if (!Each.is_object() || !Each.contains("role")) {
        this->fail("each message must be an object with a role");
        return;
      }
      if (!this->Parsed.Body.empty())
        this->Parsed.Body += ',';
      // Invalid UTF-8 is replaced, because JSON can't represent it.
      this->Parsed.Body +=
          Each.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
  }

  void readOptions(const Json &Object) {
    this->Parsed.MaxTokens = TokenCount{DefaultMaxTokens};
    if (const auto MaxTokens = Object.find("max_tokens");
        MaxTokens != Object.end()) {
      if (MaxTokens->is_number_unsigned() &&
          MaxTokens->get<std::uint64_t>() > 0 &&
          MaxTokens->get<std::uint64_t>() <= MaxTokenCount)
        this->Parsed.MaxTokens = TokenCount{MaxTokens->get<std::uint64_t>()};
      else
        this->fail("max_tokens must be a positive whole number");
    }
    if (const auto Stream = Object.find("stream"); Stream != Object.end()) {
      if (Stream->is_boolean())
        this->Parsed.IsStreaming = Stream->get<bool>();
      else
        this->fail("stream must be true or false");
    }
  }

  void readService() {
    static const std::vector<std::string> IdempotentMethods = {
        "GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    const std::string Rest =
        this->Request.Path.substr(std::string(ServicesPath).size());
    const std::size_t Slash = Rest.find('/');
    const std::string Name = Rest.substr(0, Slash);
    if (!isId(Name))
      this->fail("the path must name a service");
    this->Parsed.Kind = CallKind::Service;
    this->Parsed.Service = ServiceName(Name);
    this->Parsed.Method = this->Request.Method;
    this->Parsed.Path =
        (Slash == std::string::npos ? "/" : Rest.substr(Slash)) +
        this->Request.Query;
    this->Parsed.Body = this->Request.Body;
    this->Parsed.IsIdempotent =
        std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                  this->Request.Method) != IdempotentMethods.end();
  }

  void readProgram() {
    const std::string Program =
        this->Request.Path.substr(std::string(ProgramsPath).size());
    if (this->Request.Method != "DELETE")
      this->fail("programs take DELETE");
    if (!isId(Program))
      this->fail("the path must name a program");
    this->Parsed.Kind = CallKind::EndProgram;
    this->Parsed.IsIdempotent = true;
    this->Parsed.Program = ProgramId(Program);
  }

  void readHeaders() {
    if (this->Parsed.Kind != CallKind::EndProgram)
      this->Parsed.Program = ProgramId(this->requireId("Tanager-Program"));
    this->Parsed.Team = TeamId(this->requireId("Tanager-Team"));
    this->Parsed.Agent = AgentId(this->optionalId("Tanager-Agent", "main"));
    this->Parsed.Key = CallKey(this->optionalId("Idempotency-Key", ""));
    const auto Trace = this->Request.Header("traceparent");
    this->Parsed.TraceParent = Trace ? *Trace : std::string();
    this->Parsed.Deadline =
        Milliseconds(this->number("Tanager-Deadline-Ms", MaxDeadlineMillis)
                         .value_or(DefaultDeadlineMillis));
    this->readBudget();
  }

  void readBudget() {
    const auto Tokens = this->number("Tanager-Budget-Tokens", MaxTokenCount);
    const auto Calls = this->number("Tanager-Budget-Calls", MaxCallCount);
    if (!Tokens && !Calls)
      return;
    if (!Tokens || !Calls) {
      this->fail("a budget needs Tanager-Budget-Tokens and "
                 "Tanager-Budget-Calls");
      return;
    }
    this->Parsed.Grant =
        Budget{TokenCount{*Tokens}, static_cast<std::uint32_t>(*Calls)};
  }

  std::string requireId(const char *Header) {
    const auto Value = this->Request.Header(Header);
    if (Value && isId(*Value))
      return *Value;
    this->fail(std::string(Header) +
               " must be 1 to 128 letters, digits, or one of -_.:");
    return std::string();
  }

  std::string optionalId(const char *Header, const char *Default) {
    return this->Request.Header(Header) ? this->requireId(Header) : Default;
  }

  std::optional<std::uint64_t> number(const char *Header, std::uint64_t Max) {
    const auto Value = this->Request.Header(Header);
    if (!Value)
      return std::nullopt;
    const bool IsNumber =
        !Value->empty() && Value->size() < 18 &&
        std::all_of(Value->begin(), Value->end(),
                    [](unsigned char Each) { return std::isdigit(Each); });
    if (IsNumber && std::stoull(*Value) > 0 && std::stoull(*Value) <= Max)
      return std::stoull(*Value);
    this->fail(std::string(Header) + " must be a whole number from 1 to " +
               std::to_string(Max));
    return std::nullopt;
  }

  const IncomingRequest &Request;
  Call Parsed;
  std::optional<CallFailure> Fault;
};

} // namespace

Result<Call, CallFailure> readCall(const IncomingRequest &Request) {
  return CallReader(Request).read();
}

std::uint16_t httpStatusFor(const CallFailure &Failure) {
  switch (Failure.Code) {
  case CallError::MalformedRequest:
  case CallError::MissingBudget:
    return 400;
  case CallError::ForeignProgram:
    return 403;
  case CallError::UnknownService:
    return 404;
  case CallError::KeyReused:
  case CallError::ProgramEnded:
  case CallError::Quarantined:
    return 422;
  case CallError::QueueFull:
  case CallError::BudgetExhausted:
    return 429;
  case CallError::TargetFailed:
  case CallError::StreamCut:
  case CallError::OwnerLost:
    return 502;
  case CallError::DeadlinePassed:
    return 504;
  case CallError::NoTarget:
  case CallError::NotOwner:
  case CallError::NotDurable:
  case CallError::Draining:
    return 503;
  case CallError::None:
    return 500;
  }
  return 500;
}

std::string failureBody(const CallFailure &Failure) {
  return Json({{"error",
                {{"code", toString(Failure.Code)},
                 {"ran", toString(Failure.ExecutionStatus)},
                 {"retry_after_ms", Failure.RetryAfter.count()},
                 {"message", Failure.Detail}}}})
      .dump();
}

} // namespace tanagerlanding
