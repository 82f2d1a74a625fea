#include "tanagerlanding/relay/CallerServer.h"

#include "HttpHead.h"
#include "tanagerlanding/runtime/Listening.h"
#include "tanagerlanding/runtime/Log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <vector>

namespace tanagerlanding {

namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;

constexpr Milliseconds ReviewInterval{250};
/// After the last response on a connection, the caller's input is drained for
/// this long, because closing at once could reset the connection before the
/// caller has read the response.
constexpr Milliseconds LingerLimit{1000};
/// Delay after a failed accept: descriptors are freed as responses complete.
constexpr Milliseconds AcceptRetry{100};
constexpr std::size_t ReadBytes = 16 * 1024;
/// Maximum number of bytes buffered while a response is pending.
constexpr std::size_t MaxSentAhead = 64 * 1024;
constexpr unsigned Http10 = 10;
constexpr const char *ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

RelayRefusalReason reasonOf(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit)
    return RelayRefusalReason::HeadersTooLarge;
  if (Error == http::error::body_limit)
    return RelayRefusalReason::BodyTooLarge;
  return RelayRefusalReason::Malformed;
}

/// Returns whether the end of a request's body is unambiguous. Otherwise a
/// second request could be smuggled past a peer that parses it differently.
bool hasPlainLength(const http::request_header<> &Head) {
  const auto Codings = Head.equal_range(http::field::transfer_encoding);
  if (Codings.first == Codings.second)
    return Head.count(http::field::content_length) <= 1;
  const bool IsOne = std::next(Codings.first) == Codings.second;
  return IsOne && boost::beast::iequals(Codings.first->value(), "chunked") &&
         Head.count(http::field::content_length) == 0;
}

} // namespace

/// A caller's connection.
struct CallerServer::Connection {
  explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}

  std::uint64_t Id = 0;
  tcp::socket Socket;
  boost::beast::flat_buffer Input;
  std::unique_ptr<http::request_parser<http::string_body>> Parser;
  bool IsReading = false;
  bool HasContinued = false;
  /// The request being served; 0 if none.
  RequestId Current;
  CallerAttemptId CurrentAttempt;
  bool IsHttp10 = false;
  bool IsHead = false;
  bool WantsClose = false;
  BodyForm::Kind Form = BodyForm::Kind::None;
  std::string Writing;
  std::string Queued;
  bool IsWriting = false;
  bool ShouldCloseWhenWritten = false;
  bool IsLingering = false;
  /// Start of the current wait: for a request, for the rest of its header, or
  /// for the end of the connection.
  Instant Since;
};

CallerServer::CallerServer(EventLoop &Loop, const RelayProtocol &Protocol,
                           Listener &Heard)
    : Loop(Loop), Protocol(Protocol), Heard(Heard), Acceptor(Loop.context()),
      AcceptPause(Loop.context()), ReviewTimer(Loop.context()) {
  this->reviewIdle();
}

CallerServer::~CallerServer() = default;

Result<void, SystemError> CallerServer::listen(const std::string &Address,
                                               std::uint16_t Port) {
  if (auto Opened = openAcceptor(this->Acceptor, Address, Port); !Opened)
    return Opened;
  this->accept();
  return success();
}

void CallerServer::accept() {
  this->Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
    if (!this->IsAccepting || Error == boost::asio::error::operation_aborted)
      return;
    if (!Error) {
      this->adopt(std::move(Socket));
      this->accept();
      return;
    }
    logEvent("accept_failed", {{"errno", std::to_string(Error.value())}});
    this->AcceptPause.expires_after(AcceptRetry);
    this->AcceptPause.async_wait([this](const auto &TimerError) {
      if (!TimerError)
        this->accept();
    });
  });
}

void CallerServer::adopt(tcp::socket Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  auto Caller = std::make_shared<Connection>(std::move(Socket));
  Caller->Id = this->NextConnection++;
  Caller->Since = this->Loop.now();
  this->Connections[Caller->Id] = Caller;
  this->read(Caller);
}

void CallerServer::read(const Link &Caller) {
  const bool IsFull =
      Caller->Current.Value != 0 && Caller->Input.size() >= MaxSentAhead;
  if (Caller->IsReading || IsFull || !Caller->Socket.is_open())
    return;
  Caller->IsReading = true;
  Caller->Socket.async_read_some(
      Caller->Input.prepare(ReadBytes),
      [this, Caller](const auto &Error, std::size_t Count) {
        Caller->IsReading = false;
        Caller->Input.commit(Count);
        this->handleRead(Caller, static_cast<bool>(Error));
      });
}

void CallerServer::handleRead(const Link &Caller, bool IsClosed) {
  if (this->Connections.count(Caller->Id) == 0)
    return;
  if (IsClosed) {
    this->close(Caller);
    return;
  }
  if (Caller->IsLingering)
    Caller->Input.consume(Caller->Input.size());
  else if (Caller->Current.Value == 0)
    this->parse(Caller);
  this->read(Caller);
}

void CallerServer::parse(const Link &Caller) {
  while (Caller->Input.size() > 0 && Caller->Current.Value == 0 &&
         !Caller->IsLingering) {
    if (!Caller->Parser) {
      Caller->Parser =
          std::make_unique<http::request_parser<http::string_body>>();
      Caller->Parser->eager(true);
      Caller->Parser->header_limit(
          static_cast<std::uint32_t>(this->Limits.HeaderBytes));
      Caller->Parser->body_limit(this->Limits.BodyBytes);
      Caller->HasContinued = false;
      Caller->Since = this->Loop.now();
    }
    boost::system::error_code Error;
    const std::size_t Consumed =
        Caller->Parser->put(Caller->Input.data(), Error);
    Caller->Input.consume(Consumed);
    if (Error && Error != http::error::need_more) {
      this->refuseMalformed(Caller, reasonOf(Error));
      return;
    }
    const auto &Message = Caller->Parser->get();
    if (Caller->Parser->is_header_done() && !hasPlainLength(Message.base())) {
      this->refuseMalformed(Caller, RelayRefusalReason::Malformed);
      return;
    }
    if (Caller->Parser->is_done()) {
      this->takeRequest(Caller);
      continue;
    }
    const bool IsContinueExpected =
        Caller->Parser->is_header_done() && !Caller->HasContinued &&
        boost::beast::iequals(Message[http::field::expect], "100-continue");
    if (IsContinueExpected) {
      Caller->HasContinued = true;
      this->write(Caller, ContinueLine);
    }
    if (Error == http::error::need_more)
      return;
  }
}

void CallerServer::takeRequest(const Link &Caller) {
  auto Message = Caller->Parser->release();
  Caller->Parser.reset();
  RawRequest Raw;
  Raw.Method = std::string(Message.method_string());
  Raw.Target = std::string(Message.target());
  Raw.Headers = endToEndFields(Message.base());
  Caller->IsHttp10 = Message.version() <= Http10;
  Caller->IsHead = Raw.Method == "HEAD";
  Caller->WantsClose = !Message.keep_alive();
  Raw.Body = std::move(Message.body());
  auto Decoded = this->Protocol.DecodeRequest(std::move(Raw));
  if (!Decoded) {
    this->refuseMalformed(Caller, Decoded.error());
    return;
  }
  Caller->Current = RequestId(this->NextRequest++);
  Caller->CurrentAttempt = Decoded.value().Id;
  this->Requests[Caller->Current] = Caller->Id;
  this->Heard.onCallerRequest(Caller->Current, std::move(Decoded.value()));
}

void CallerServer::refuseMalformed(const Link &Caller,
                                   RelayRefusalReason Reason) {
  logEvent("request_refused", {{"reason", toString(Reason)},
                               {"connection", std::to_string(Caller->Id)}});
  Caller->WantsClose = true;
  Caller->CurrentAttempt = CallerAttemptId();
  this->writeRefusal(Caller, RelayRefusal{Reason, Execution::NotRun, {}});
  this->completeAnswer(Caller);
}

void CallerServer::writeRefusal(const Link &Caller,
                                const RelayRefusal &Refusal) {
  const RefusalHead Head =
      this->Protocol.EncodeRefusal(Refusal, Caller->CurrentAttempt);
  Caller->Form = BodyForm::Kind::Length;
  this->write(Caller, writeAnswerHead(Head.Status, Head.Headers,
                                      {BodyForm::Kind::Length, 0},
                                      this->shouldClose(*Caller)));
}

void CallerServer::refuse(RequestId Request, const RelayRefusal &Refusal) {
  const Link Caller = this->linkOf(Request);
  if (!Caller)
    return;
  this->writeRefusal(Caller, Refusal);
  this->completeAnswer(Caller);
}

void CallerServer::begin(RequestId Request, const TargetAnswerHead &Head,
                         std::optional<std::size_t> BodyBytes) {
  const Link Caller = this->linkOf(Request);
  if (!Caller)
    return;
  BodyForm Body;
  if (BodyBytes)
    Body = {BodyForm::Kind::Length, *BodyBytes};
  else
    Body.Form =
        Caller->IsHttp10 ? BodyForm::Kind::UntilClose : BodyForm::Kind::Chunks;
  if (Body.Form == BodyForm::Kind::UntilClose)
    Caller->WantsClose = true;
  Caller->Form = Body.Form;
  this->write(Caller, writeAnswerHead(Head.Status, Head.Headers, Body,
                                      this->shouldClose(*Caller)));
}

void CallerServer::send(RequestId Request, const std::string &Bytes) {
  const Link Caller = this->linkOf(Request);
  if (!Caller || Caller->IsHead || Bytes.empty())
    return;
  this->write(Caller, Caller->Form == BodyForm::Kind::Chunks ? writeChunk(Bytes)
                                                             : Bytes);
}

void CallerServer::finish(RequestId Request) {
  const Link Caller = this->linkOf(Request);
  if (!Caller)
    return;
  if (Caller->Form == BodyForm::Kind::Chunks && !Caller->IsHead)
    this->write(Caller, writeLastChunk());
  this->completeAnswer(Caller);
}

void CallerServer::breakOff(RequestId Request) {
  const Link Caller = this->linkOf(Request);
  if (!Caller)
    return;
  this->Requests.erase(Request);
  Caller->Current = RequestId();
  // A truncated chunked or fixed-length body is recognizably incomplete. A body
  // delimited by the end of the connection is so only if the connection is
  // reset.
  if (Caller->Form == BodyForm::Kind::UntilClose) {
    boost::system::error_code Ignored;
    Caller->Socket.set_option(boost::asio::socket_base::linger(true, 0),
                              Ignored);
  }
  this->close(Caller);
}

bool CallerServer::shouldClose(const Connection &Caller) const {
  return Caller.WantsClose || this->IsDraining;
}

void CallerServer::completeAnswer(const Link &Caller) {
  this->Requests.erase(Caller->Current);
  Caller->Current = RequestId();
  Caller->Since = this->Loop.now();
  if (this->shouldClose(*Caller)) {
    Caller->ShouldCloseWhenWritten = true;
    this->flush(Caller);
    return;
  }
  // Deferred, so that a refusal sent from within parse() does not call it
  // recursively.
  this->Loop.post([this, Caller] {
    if (this->Connections.count(Caller->Id) == 0)
      return;
    if (Caller->Current.Value == 0)
      this->parse(Caller);
    this->read(Caller);
  });
}

void CallerServer::write(const Link &Caller, std::string Bytes) {
  Caller->Queued += Bytes;
  this->flush(Caller);
}

void CallerServer::flush(const Link &Caller) {
  if (Caller->IsWriting)
    return;
  if (!Caller->Queued.empty()) {
    Caller->IsWriting = true;
    Caller->Writing.swap(Caller->Queued);
    Caller->Queued.clear();
    boost::asio::async_write(Caller->Socket,
                             boost::asio::buffer(Caller->Writing),
                             [this, Caller](const auto &Error, std::size_t) {
                               Caller->IsWriting = false;
                               if (this->Connections.count(Caller->Id) == 0)
                                 return;
                               if (Error)
                                 this->close(Caller);
                               else
                                 this->flush(Caller);
                             });
    return;
  }
  if (!Caller->ShouldCloseWhenWritten || Caller->IsLingering)
    return;
  Caller->IsLingering = true;
  Caller->Since = this->Loop.now();
  boost::system::error_code Ignored;
  Caller->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  this->read(Caller);
}

void CallerServer::close(const Link &Caller) {
  if (this->Connections.erase(Caller->Id) == 0)
    return;
  boost::system::error_code Ignored;
  Caller->Socket.close(Ignored);
  const RequestId Gone = Caller->Current;
  if (Gone.Value == 0)
    return;
  Caller->Current = RequestId();
  this->Requests.erase(Gone);
  this->Heard.onCallerGone(Gone);
}

void CallerServer::stopAccepting() {
  this->IsAccepting = false;
  boost::system::error_code Ignored;
  this->Acceptor.close(Ignored);
  const auto OpenConnections = this->Connections;
  for (const auto &[Id, Caller] : OpenConnections) {
    const bool IsIdle = Caller->Current.Value == 0 && !Caller->IsWriting &&
                        Caller->Queued.empty() && !Caller->Parser;
    if (IsIdle)
      this->close(Caller);
  }
}

bool CallerServer::isFlushed() const {
  for (const auto &[Id, Caller] : this->Connections) {
    if (Caller->IsWriting || !Caller->Queued.empty())
      return false;
  }
  return true;
}

void CallerServer::reviewIdle() {
  this->ReviewTimer.expires_after(ReviewInterval);
  this->ReviewTimer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    const auto OpenConnections = this->Connections;
    for (const auto &[Id, Caller] : OpenConnections) {
      const Milliseconds Waited = this->Loop.now() - Caller->Since;
      if (Caller->Current.Value != 0)
        continue;
      if (Caller->IsLingering) {
        if (LingerLimit <= Waited)
          this->close(Caller);
      } else if (Caller->Parser) {
        if (this->Limits.HeaderTimeout <= Waited &&
            !Caller->Parser->is_header_done())
          this->refuseMalformed(Caller, RelayRefusalReason::HeadersLate);
        else if (this->Limits.IdleTimeout <= Waited)
          this->close(Caller);
      } else if (this->Limits.IdleTimeout <= Waited) {
        this->close(Caller);
      }
    }
    this->reviewIdle();
  });
}

CallerServer::Link CallerServer::linkOf(RequestId Request) const {
  const auto Found = this->Requests.find(Request);
  if (Found == this->Requests.end())
    return nullptr;
  const auto Caller = this->Connections.find(Found->second);
  return Caller == this->Connections.end() ? nullptr : Caller->second;
}

} // namespace tanagerlanding
