#include "CallerGateway.h"

#include "tanagerlanding/engine/ChatProtocol.h"
#include "tanagerlanding/gateway/CallRequest.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace tanagerlanding {

namespace {

constexpr const char *JsonType = "application/json";
constexpr const char *TextType = "text/plain";
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr const char *StreamEnd = "data: [DONE]\n\n";
constexpr std::int64_t MillisPerSecond = 1000;
constexpr Milliseconds UnsentInterval{50};
/// Sockets for connections to other hosts, and their part of the others.
constexpr std::size_t OtherSockets = 64;
constexpr std::size_t OtherSocketParts = 4;

enum Status : std::uint16_t {
  BadRequest = 400,
  RequestTimeout = 408,
  PayloadTooLarge = 413,
  HeadersTooLarge = 431,
};

CallerLimits callerLimitsFor(const HttpGateway::Options &Options) {
  CallerLimits Limits;
  Limits.HeaderBytes = Options.MaxHeaderBytes;
  Limits.BodyBytes = Options.MaxRequestBytes;
  Limits.HeaderTimeout = Options.HeaderTimeout;
  Limits.IdleTimeout = Options.IdleTimeout;
  return Limits;
}

CallerServer::Capacity capacityFor(const HttpGateway::Options &Options) {
  CallerServer::Capacity Capacity;
  Capacity.RequestBytes = Options.AllRequestsBytes;
  const std::size_t Sockets = descriptorLimit();
  const std::size_t Others = OtherSockets + Sockets / OtherSocketParts;
  Capacity.Connections = Sockets <= Others ? 1 : Sockets - Others;
  return Capacity;
}

/// Returns the header fields with a type and, if there is one, a delay after
/// which the caller may come back.
HeaderFields fieldsFor(const std::string &ContentType,
                       Milliseconds RetryAfter) {
  HeaderFields Headers = {{"Content-Type", ContentType}};
  if (RetryAfter.count() > 0)
    Headers.emplace_back("Retry-After", std::to_string((RetryAfter.count() +
                                                        MillisPerSecond - 1) /
                                                       MillisPerSecond));
  return Headers;
}

/// Returns the refusal of a request that the server did not read whole.
RefusalHead encodeRefusal(const RelayRefusal &Refusal,
                          const CallerAttemptId &) {
  CallFailure Failure{CallError::MalformedRequest, Execution::NotRun,
                      Refusal.RetryAfter, toString(Refusal.Reason)};
  RefusalHead Head;
  switch (Refusal.Reason) {
  case RelayRefusalReason::HeadersTooLarge:
    Head.Status = HeadersTooLarge;
    break;
  case RelayRefusalReason::BodyTooLarge:
    Head.Status = PayloadTooLarge;
    break;
  case RelayRefusalReason::HeaderTimeout:
    Head.Status = RequestTimeout;
    break;
  case RelayRefusalReason::Overloaded:
    Failure.Code = CallError::QueueFull;
    Head.Status = httpStatusFor(Failure);
    break;
  default:
    Head.Status = BadRequest;
  }
  Head.Headers = fieldsFor(JsonType, Refusal.RetryAfter);
  Head.Body = failureBody(Failure);
  return Head;
}

Result<CallerRequest, RelayRefusalReason> decodeRequest(RawRequest Raw) {
  CallerRequest Request;
  Request.Method = std::move(Raw.Method);
  Request.RequestTarget = std::move(Raw.Target);
  Request.Headers = std::move(Raw.Headers);
  Request.Body = std::move(Raw.Body);
  return Request;
}

CallerProtocol makeProtocol() {
  CallerProtocol Protocol;
  Protocol.DecodeRequest = decodeRequest;
  Protocol.EncodeRefusal = encodeRefusal;
  return Protocol;
}

IncomingRequest incoming(CallerRequest Request) {
  IncomingRequest Incoming;
  const std::size_t QueryStart =
      std::min(Request.RequestTarget.find('?'), Request.RequestTarget.size());
  Incoming.Method = std::move(Request.Method);
  Incoming.Path = Request.RequestTarget.substr(0, QueryStart);
  Incoming.Query = Request.RequestTarget.substr(QueryStart);
  Incoming.Body = std::move(Request.Body);
  Incoming.Header = [Headers = std::move(Request.Headers)](
                        const std::string &Name) -> std::optional<std::string> {
    for (const auto &[Key, Value] : Headers) {
      if (boost::beast::iequals(Key, Name))
        return Value;
    }
    return std::nullopt;
  };
  return Incoming;
}

} // namespace

CallerGateway::CallerGateway(EventLoop &Loop,
                             const HttpGateway::Options &Options,
                             HttpGateway::Listener &Callbacks)
    : Callbacks(Callbacks), Timers(Loop), Protocol(makeProtocol()),
      Callers(Loop, Protocol, Buffers, capacityFor(Options), *this) {
  this->Callers.setLimits(callerLimitsFor(Options));
  this->Timers.subscribe(UnsentInterval,
                         [this](Instant) { this->updateUnsentCount(); });
}

void CallerGateway::stopAccepting() {
  this->Callers.setDraining(true);
  this->Callers.stopAccepting();
}

void CallerGateway::onCallerRequest(RequestId Id, CallerRequest Request) {
  if (this->answerLocally(Id, Request))
    return;
  Result<Call, CallFailure> Read = readCall(incoming(std::move(Request)));
  if (!Read) {
    this->send(Id, Read.error());
    return;
  }
  Call NewCall = std::move(Read.value());
  if (!isTraceParent(NewCall.TraceParent))
    NewCall.TraceParent = makeTraceParent();
  this->PendingCalls[Id].IsStreaming = NewCall.IsStreaming;
  this->updateUnsentCount();
  this->Callbacks.onCall(Id, std::move(NewCall));
}

void CallerGateway::onCallerDisconnected(RequestId Id) {
  if (this->PendingCalls.erase(Id) == 0)
    return;
  this->updateUnsentCount();
  this->Callbacks.onCallerDisconnected(Id);
}

void CallerGateway::answer(RequestId Request, const CallAnswer &Answer) {
  const auto Found = this->PendingCalls.find(Request);
  if (Found == this->PendingCalls.end())
    return;
  PendingCall &Pending = Found->second;
  const auto *Given = std::get_if<TargetAnswer>(&Answer);
  if (Pending.IsStreaming && Given && Given->Status == StatusOk &&
      !Pending.HasBegun) {
    // A repeat of a finished call: the whole answer is sent at once.
    this->beginStream(Request, Pending);
    this->Callers.sendBody(Request, toStreamEvents(Given->Body));
  }
  const bool HasBegun = Pending.HasBegun;
  this->PendingCalls.erase(Found);
  if (HasBegun)
    this->endStream(Request, Answer);
  else
    this->send(Request, Answer);
  this->updateUnsentCount();
}

void CallerGateway::stream(RequestId Request, const std::string &Events) {
  const auto Found = this->PendingCalls.find(Request);
  if (Found == this->PendingCalls.end() || !Found->second.IsStreaming)
    return;
  this->beginStream(Request, Found->second);
  this->Callers.sendBody(Request, Events);
}

void CallerGateway::beginStream(RequestId Id, PendingCall &Pending) {
  if (Pending.HasBegun)
    return;
  Pending.HasBegun = true;
  TargetAnswerHead Head;
  Head.Status = StatusOk;
  Head.Headers = fieldsFor("text/event-stream", Milliseconds(0));
  this->Callers.beginResponse(Id, Head, std::nullopt);
}

void CallerGateway::endStream(RequestId Id, const CallAnswer &Answer) {
  if (const auto *Failure = std::get_if<CallFailure>(&Answer))
    this->Callers.sendBody(Id, "event: error\ndata: " + failureBody(*Failure) +
                                   "\n\n");
  else
    this->Callers.sendBody(Id, StreamEnd);
  this->Callers.finishResponse(Id);
}

void CallerGateway::send(RequestId Id, const CallAnswer &Answer) {
  if (const auto *Given = std::get_if<TargetAnswer>(&Answer)) {
    this->send(
        Id, Given->Status, Given->Body,
        fieldsFor(Given->ContentType.empty() ? TextType : Given->ContentType,
                  Milliseconds(0)));
    return;
  }
  const CallFailure &Failure = std::get<CallFailure>(Answer);
  this->send(Id, httpStatusFor(Failure), failureBody(Failure),
             fieldsFor(JsonType, Failure.RetryAfter));
}

void CallerGateway::send(RequestId Id, std::uint16_t Status,
                         const std::string &Body, HeaderFields Headers) {
  TargetAnswerHead Head;
  Head.Status = Status;
  Head.Headers = std::move(Headers);
  this->Callers.beginResponse(Id, Head, Body.size());
  this->Callers.sendBody(Id, Body);
  this->Callers.finishResponse(Id);
}

bool CallerGateway::answerLocally(RequestId Id, const CallerRequest &Request) {
  if (Request.Method != "GET")
    return false;
  const std::string &Target = Request.RequestTarget;
  const std::string Path = Target.substr(0, Target.find('?'));
  const HeaderFields Text = fieldsFor(TextType, Milliseconds(0));
  const HeaderFields Json = fieldsFor(JsonType, Milliseconds(0));
  if (Path == "/healthz")
    this->send(Id, StatusOk, "alive\n", Text);
  else if (Path == "/readyz" && this->Callbacks.isReady())
    this->send(Id, StatusOk, "ready\n", Text);
  else if (Path == "/readyz")
    this->send(Id, StatusUnavailable, "not ready\n", Text);
  else if (Path == "/metrics")
    this->send(Id, StatusOk, this->Callbacks.metricsText(), Text);
  else if (Path == "/v1/status")
    this->send(Id, StatusOk, this->Callbacks.statusText(), Json);
  else if (Path == "/v1/programs")
    this->send(Id, StatusOk, this->Callbacks.programsText(), Json);
  else
    return false;
  return true;
}

void CallerGateway::updateUnsentCount() {
  this->UnsentCount =
      this->PendingCalls.size() + (this->Callers.isFlushed() ? 0 : 1);
}

} // namespace tanagerlanding
