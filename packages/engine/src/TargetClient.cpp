#include "tanagerlanding/engine/TargetClient.h"

#include <nlohmann/json.hpp>

namespace tanagerlanding {

namespace {

constexpr Milliseconds ProbeTimeout{500};
/// A non-idempotent call is not aborted at its deadline: its caller is informed
/// that it is still running, and its outcome still has to be recorded.
constexpr Milliseconds NonIdempotentTimeout{600000};
constexpr std::uint16_t StatusOk = 200;

std::vector<std::string> heldPrefixes(const std::string &Body) {
  std::vector<std::string> Held;
  const auto Object = nlohmann::json::parse(Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("held_prefixes"))
    return Held;
  for (const auto &Each : Object["held_prefixes"]) {
    if (Each.is_string())
      Held.push_back(Each.get<std::string>());
  }
  return Held;
}

} // namespace

TargetClient::TargetClient(EventLoop &Loop, std::string Url,
                           ServiceName Service, TargetKind Kind, EventSink Sink)
    : Client(Loop), Url(std::move(Url)), Service(std::move(Service)),
      Kind(Kind), Sink(std::move(Sink)) {}

void TargetClient::call(const DispatchAttempt &Dispatch) {
  ActiveCall &Entry = this->Calls[Dispatch.Attempt];
  HttpClient::PieceCallback OnPiece;
  const bool IsStreamed =
      Dispatch.Kind == CallKind::Chat && Dispatch.IsStreaming;
  if (IsStreamed) {
    Entry.Stream = std::make_unique<ChatStream>();
    OnPiece = [this, Id = Dispatch.Attempt](const std::string &Piece) {
      this->handlePiece(Id, Piece);
    };
  }
  HttpRequest Request = Dispatch.Kind == CallKind::Chat
                            ? this->chatRequest(Dispatch)
                            : this->serviceRequest(Dispatch);
  Entry.Handle =
      this->Client.start(std::move(Request), std::move(OnPiece),
                         [this, Dispatch](const HttpOutcome &Outcome) {
                           this->handleDone(Dispatch, Outcome);
                         });
}

void TargetClient::cancel(const AttemptId &Attempt) {
  const auto Found = this->Calls.find(Attempt);
  if (Found != this->Calls.end())
    this->Client.cancel(Found->second.Handle);
}

void TargetClient::probe() {
  HttpRequest Request;
  Request.Url = this->Url + "/health";
  Request.Timeout = ProbeTimeout;
  Request.MayReuseConnection = false;
  this->Client.start(Request, {}, [this](const HttpOutcome &Outcome) {
    const bool IsAlive = Outcome.Ended == HttpOutcome::Kind::Answered &&
                         Outcome.Status == StatusOk;
    const bool IsUnanswered = Outcome.Ended == HttpOutcome::Kind::Broken;
    this->Sink(TargetProbed{IsAlive, heldPrefixes(Outcome.Body), IsUnanswered});
  });
}

void TargetClient::releasePrefixes(const std::vector<std::string> &Prefixes) {
  if (this->Kind != TargetKind::Engine)
    return;
  HttpRequest Request;
  Request.Method = "POST";
  Request.Url = this->Url + "/cache/release";
  Request.Body = nlohmann::json({{"prefixes", Prefixes}}).dump();
  Request.withHeader("Content-Type: application/json");
  // The result is ignored: the next probe reports prefixes that are still held.
  this->Client.start(Request, {}, [](const HttpOutcome &) {});
}

HttpRequest TargetClient::chatRequest(const DispatchAttempt &Dispatch) const {
  ChatRequest Chat;
  Chat.Model = this->Service.Value;
  Chat.Messages = Dispatch.Body;
  Chat.MaxTokens = Dispatch.MaxTokens;
  Chat.IsStreaming = Dispatch.IsStreaming;
  Chat.PrefixName = prefixName(Dispatch.Program, Dispatch.Agent);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Url = this->Url + "/v1/chat/completions";
  Request.Body = makeChatBody(Chat);
  Request.Timeout = Dispatch.Deadline;
  Request.withHeader("Content-Type: application/json");
  if (!Dispatch.TraceParent.empty())
    Request.withHeader("traceparent: " + Dispatch.TraceParent);
  return Request;
}

HttpRequest
TargetClient::serviceRequest(const DispatchAttempt &Dispatch) const {
  HttpRequest Request;
  Request.Method = Dispatch.Method;
  Request.Url = this->Url + Dispatch.Path;
  Request.Body = Dispatch.Body;
  Request.Timeout =
      Dispatch.IsIdempotent ? Dispatch.Deadline : NonIdempotentTimeout;
  Request.MayReuseConnection = Dispatch.IsIdempotent;
  Request.withHeader("Content-Type: application/json");
  if (!Dispatch.TraceParent.empty())
    Request.withHeader("traceparent: " + Dispatch.TraceParent);
  return Request;
}

void TargetClient::handlePiece(const AttemptId &Attempt,
                               const std::string &Piece) {
  const auto Found = this->Calls.find(Attempt);
  if (Found == this->Calls.end())
    return;
  std::string Events = Found->second.Stream->feed(Piece);
  if (!Events.empty())
    this->Sink(TargetChunk{Attempt, std::move(Events)});
}

void TargetClient::handleDone(const DispatchAttempt &Dispatch,
                              const HttpOutcome &Outcome) {
  const auto Found = this->Calls.find(Dispatch.Attempt);
  if (Found == this->Calls.end())
    return;
  const std::unique_ptr<ChatStream> Stream = std::move(Found->second.Stream);
  this->Calls.erase(Found);
  this->Sink(this->eventFor(Dispatch, Stream.get(), Outcome));
}

SidecarEvent TargetClient::eventFor(const DispatchAttempt &Dispatch,
                                    const ChatStream *Stream,
                                    const HttpOutcome &Outcome) const {
  if (Outcome.Ended == HttpOutcome::Kind::NeverSent)
    return TargetUnreachable{Dispatch.Attempt};
  if (Outcome.Ended == HttpOutcome::Kind::Broken)
    return TargetConnectionLost{Dispatch.Attempt};

  TargetAnswered Answered;
  Answered.Attempt = Dispatch.Attempt;
  Answered.Answer =
      TargetAnswer{Outcome.Status, Outcome.ContentType, Outcome.Body};
  if (Dispatch.Kind != CallKind::Chat || Outcome.Status != StatusOk)
    return Answered;

  if (Stream && !Stream->isComplete())
    return TargetConnectionLost{Dispatch.Attempt};
  const std::optional<ChatAnswer> Chat =
      Stream ? Stream->answer() : readChatAnswer(Outcome.Body);
  if (!Chat)
    return TargetConnectionLost{Dispatch.Attempt};
  Answered.Answer = TargetAnswer{StatusOk, "application/json", Chat->Body};
  Answered.Generated = Chat->Generated;
  Answered.HistoryMessage = Chat->Message;
  return Answered;
}

} // namespace tanagerlanding
