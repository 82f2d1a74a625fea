#include "GatewayHandler.h"

#include "tanagerlanding/engine/ChatProtocol.h"
#include "tanagerlanding/gateway/CallRequest.h"
#include "tanagerlanding/runtime/TraceWriter.h"

#include <pistache/peer.h>

namespace tanagerlanding {

namespace {

namespace Http = Pistache::Http;

constexpr std::chrono::hours WakeTimerPeriod{1};
constexpr const char *JsonType = "application/json";
constexpr const char *TextType = "text/plain";
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr const char *StreamEnd = "data: [DONE]\n\n";
constexpr std::int64_t MillisPerSecond = 1000;

/// The Retry-After header, in seconds. Pistache sends only typed headers.
class RetryAfterHeader : public Http::Header::Header {
public:
  NAME("Retry-After")

  explicit RetryAfterHeader(std::int64_t Seconds = 0) : Seconds(Seconds) {}

  void parse(const std::string &) override {}
  void write(std::ostream &Out) const override { Out << this->Seconds; }

private:
  std::int64_t Seconds;
};

IncomingRequest incoming(const Http::Request &Request) {
  IncomingRequest Incoming;
  Incoming.Method = Http::methodString(Request.method());
  Incoming.Path = Request.resource();
  Incoming.Query = Request.query().as_str();
  Incoming.Body = Request.body();
  Incoming.Header =
      [&Request](const std::string &Name) -> std::optional<std::string> {
    const auto Raw = Request.headers().tryGetRaw(Name);
    if (!Raw)
      return std::nullopt;
    return Raw->value();
  };
  return Incoming;
}

} // namespace

RequestId GatewaySharedState::admit(const std::shared_ptr<Mailbox> &Owner) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const RequestId Request(this->NextRequest++);
  this->Owners[Request] = Owner;
  return Request;
}

void GatewaySharedState::release(RequestId Request) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Owners.erase(Request);
}

void GatewaySharedState::deliver(RequestId Request, Delivery Item) {
  std::shared_ptr<Mailbox> Owner;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Found = this->Owners.find(Request);
    if (Found == this->Owners.end())
      return;
    Owner = Found->second;
  }
  Owner->post(std::move(Item));
}

GatewayHandler::GatewayHandler(std::shared_ptr<GatewaySharedState> Shared)
    : Shared(std::move(Shared)), Box(std::make_shared<Mailbox>()) {}

GatewayHandler::GatewayHandler(const GatewayHandler &Other)
    : Http::Handler(Other), Shared(Other.Shared),
      Box(std::make_shared<Mailbox>()) {}

void GatewayHandler::onRequest(const Http::Request &Request,
                               Http::ResponseWriter Response) {
  this->armWakeTimer();
  if (this->handleLocalRequest(Request, Response))
    return;
  Result<Call, CallFailure> Read = readCall(incoming(Request));
  if (!Read) {
    this->sendAnswer(Response, Read.error());
    return;
  }
  Call NewCall = std::move(Read.value());
  if (!isTraceParent(NewCall.TraceParent))
    NewCall.TraceParent = makeTraceParent();
  const auto Peer = Response.getPeer();
  if (!Peer)
    return;
  const RequestId Id = this->Shared->admit(this->Box);
  ++this->Shared->UnsentCount;
  this->PendingCalls.emplace(Id,
                             PendingCall{std::move(Response), nullptr,
                                         Peer->getID(), NewCall.IsStreaming});
  this->Shared->Callbacks.onCall(Id, std::move(NewCall));
}

void GatewayHandler::onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
  for (auto Item = this->PendingCalls.begin();
       Item != this->PendingCalls.end();) {
    if (Item->second.PeerId != Peer->getID()) {
      ++Item;
      continue;
    }
    const RequestId Disconnected = Item->first;
    Item = this->PendingCalls.erase(Item);
    --this->Shared->UnsentCount;
    this->Shared->release(Disconnected);
    this->Shared->Callbacks.onCallerDisconnected(Disconnected);
  }
  Pistache::Tcp::Handler::onDisconnection(Peer);
}

void GatewayHandler::armWakeTimer() {
  if (this->IsArmed)
    return;
  this->IsArmed = true;
  Pistache::Async::Promise<std::uint64_t> Woken(
      [this](Pistache::Async::Deferred<std::uint64_t> Deferred) {
        this->transport()->armTimer(this->Box->replaceDescriptor(),
                                    WakeTimerPeriod, std::move(Deferred));
      });
  Woken.then([this](std::uint64_t) { this->handleWake(); },
             Pistache::Async::IgnoreException);
  // Arming resets the timer and may have cancelled a pending wake-up.
  this->Box->wakeIfPending();
}

void GatewayHandler::handleWake() {
  this->IsArmed = false;
  for (const Delivery &Item : this->Box->takeAll())
    std::visit([this](const auto &Each) { this->deliver(Each); }, Item);
  this->armWakeTimer();
}

void GatewayHandler::deliver(const FinalAnswer &Item) {
  const auto Found = this->PendingCalls.find(Item.Request);
  if (Found == this->PendingCalls.end())
    return;
  PendingCall &Pending = Found->second;
  this->Shared->release(Item.Request);
  const bool IsAnswer = std::holds_alternative<TargetAnswer>(Item.Answer);
  const bool IsGood =
      IsAnswer && std::get<TargetAnswer>(Item.Answer).Status == StatusOk;
  if (Pending.IsStreaming && IsGood && !Pending.Stream) {
    // A repeat of a finished call: the whole answer is sent at once.
    const std::string Events =
        toStreamEvents(std::get<TargetAnswer>(Item.Answer).Body);
    this->openStream(Pending);
    Pending.Stream->write(Events);
  }
  if (Pending.Stream)
    this->endStream(Pending, Item.Answer);
  else
    this->sendAnswer(Pending.Response, Item.Answer);
  --this->Shared->UnsentCount;
  this->PendingCalls.erase(Found);
}

void GatewayHandler::deliver(const AnswerPiece &Item) {
  const auto Found = this->PendingCalls.find(Item.Request);
  if (Found == this->PendingCalls.end() || !Found->second.IsStreaming)
    return;
  PendingCall &Pending = Found->second;
  this->openStream(Pending);
  Pending.Stream->write(Item.Events);
}

void GatewayHandler::openStream(PendingCall &Pending) {
  if (Pending.Stream)
    return;
  Pending.Response.setMime(
      Http::Mime::MediaType::fromString("text/event-stream"));
  Pending.Stream = std::make_unique<OpenStream>(Pending.Response);
}

void GatewayHandler::endStream(PendingCall &Pending, const CallAnswer &Answer) {
  std::string Last;
  if (const auto *Failure = std::get_if<CallFailure>(&Answer))
    Last = "event: error\ndata: " + failureBody(*Failure) + "\n\n";
  else
    Last = StreamEnd;
  Pending.Stream->write(Last);
  Pending.Stream->Stream.ends();
}

void GatewayHandler::OpenStream::write(const std::string &Text) {
  this->Stream.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  this->Stream.flush();
}

void GatewayHandler::sendAnswer(Http::ResponseWriter &Response,
                                const CallAnswer &Answer) {
  if (const auto *Given = std::get_if<TargetAnswer>(&Answer)) {
    this->send(Response, Given->Status, Given->Body, Given->ContentType);
    return;
  }
  const CallFailure &Failure = std::get<CallFailure>(Answer);
  if (Failure.RetryAfter.count() > 0) {
    const std::int64_t Seconds =
        (Failure.RetryAfter.count() + MillisPerSecond - 1) / MillisPerSecond;
    Response.headers().add<RetryAfterHeader>(Seconds);
  }
  this->send(Response, httpStatusFor(Failure), failureBody(Failure), JsonType);
}

void GatewayHandler::send(Http::ResponseWriter &Response, std::uint16_t Status,
                          const std::string &Body,
                          const std::string &ContentType) {
  Http::Mime::MediaType Type;
  try {
    Type = Http::Mime::MediaType::fromString(ContentType.empty() ? TextType
                                                                 : ContentType);
  } catch (const Http::HttpError &) {
    Type = Http::Mime::MediaType::fromString("application/octet-stream");
  }
  ++this->Shared->UnsentCount;
  const auto DecrementUnsent = [Shared = this->Shared] {
    --Shared->UnsentCount;
  };
  Response.send(static_cast<Http::Code>(Status), Body, Type)
      .then([DecrementUnsent](ssize_t) { DecrementUnsent(); },
            [DecrementUnsent](std::exception_ptr) { DecrementUnsent(); });
}

bool GatewayHandler::handleLocalRequest(const Http::Request &Request,
                                        Http::ResponseWriter &Response) {
  if (Request.method() != Http::Method::Get)
    return false;
  const std::string &Path = Request.resource();
  HttpGateway::Listener &Callbacks = this->Shared->Callbacks;
  if (Path == "/healthz")
    this->send(Response, StatusOk, "alive\n", TextType);
  else if (Path == "/readyz" && Callbacks.isReady())
    this->send(Response, StatusOk, "ready\n", TextType);
  else if (Path == "/readyz")
    this->send(Response, StatusUnavailable, "not ready\n", TextType);
  else if (Path == "/metrics")
    this->send(Response, StatusOk, Callbacks.metricsText(), TextType);
  else if (Path == "/v1/status")
    this->send(Response, StatusOk, Callbacks.statusText(), JsonType);
  else if (Path == "/v1/programs")
    this->send(Response, StatusOk, Callbacks.programsText(), JsonType);
  else
    return false;
  return true;
}

} // namespace tanagerlanding
