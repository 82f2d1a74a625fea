#include "tanagerlanding/http/CallerServer.h"

#include "ClosableConnections.h"
#include "RequestReader.h"
#include "tanagerlanding/http/HttpHead.h"
#include "tanagerlanding/runtime/Acceptor.h"
#include "tanagerlanding/runtime/Log.h"

#include <boost/asio/write.hpp>

#include <vector>

namespace tanagerlanding {

namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds TimeoutCheckInterval{250};
/// After the last response on a connection, the caller's input is drained for
/// this long, because closing at once could reset the connection before the
/// caller has read the response.
constexpr Milliseconds LingerTimeout{1000};
/// Delay after a failed accept: descriptors are freed as responses complete.
constexpr Milliseconds AcceptRetryDelay{100};
/// The first bytes of a new connection may be on their way for this long.
constexpr Milliseconds MinUnusedTime{250};
/// At the limit of connections, this part of them is closed at once, so that
/// they are not searched for each new one.
constexpr std::size_t CloseParts = 64;
/// Maximum number of bytes buffered while a response is pending.
constexpr std::size_t MaxPipelinedBytes = 4 * 1024;
/// Bytes of a body that count as progress.
constexpr std::size_t ProgressBytes = 64 * 1024;
/// Copies of a body while its request is served: in the call and in an attempt.
constexpr std::size_t BodyCopies = 2;
/// Copies of the fields of a head: in the call, and those of an attempt with
/// their text on the wire.
constexpr std::size_t HeadCopies = 3;
/// Blocks of less than some 100 KB leave holes in the heap when they are freed.
constexpr std::size_t HeapSlack = 2;
/// What a head of the shortest fields occupies as a multiple of its size.
constexpr std::size_t MaxHeadExpansion = 16;
/// Delay that a caller is asked for whose request body found the budget full;
/// ending connections frees an eighth of the budget within one tick.
constexpr Milliseconds FullRetryAfter{400};
/// Send buffer of a caller's socket where a budget is in force. Without it,
/// sockets took whole answers of 300 KiB from callers that read nothing, memory
/// that the budget does not see. With 32 KiB, less than a segment on loopback,
/// 32 MiB took more than 5 s.
constexpr int SendBufferBytes = 128 * 1024;
constexpr std::uint16_t NoContent = 204;
constexpr std::uint16_t NotModified = 304;
constexpr const char *ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns what a request occupies while it is served.
std::size_t servedBytes(std::size_t BodyBytes, std::size_t FieldBytes) {
  return BodyCopies * BodyBytes + HeapSlack * HeadCopies * FieldBytes;
}

/// Returns whether a response has a body; one that has none needs no framing.
bool mayHaveBody(bool IsHeadRequest, std::uint16_t Status) {
  return !IsHeadRequest && Status != NoContent && Status != NotModified;
}

} // namespace

/// A caller's connection.
struct CallerServer::Connection {
  explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}

  /// Returns whether no more is read until the pending response is complete.
  bool isInputFull() const {
    return this->Current.Value != 0 && MaxPipelinedBytes <= this->Input.size();
  }

  std::uint64_t Id = 0;
  tcp::socket Socket;
  boost::beast::flat_buffer Input;
  /// The request that is arriving; null if none.
  std::unique_ptr<RequestReader> Reader;
  bool IsReading = false;
  bool HasSentContinue = false;
  /// The request being served; 0 if none.
  RequestId Current;
  CallerAttemptId CurrentAttempt;
  bool IsHttp10 = false;
  bool IsHeadRequest = false;
  bool IsCloseRequested = false;
  BodyFraming::Kind Framing = BodyFraming::Kind::None;
  std::string Writing;
  std::string Queued;
  /// Since when the oldest bytes of Writing and Queued wait.
  Instant WritingSince;
  Instant QueuedSince;
  /// Size of the body of the request being served, and what the request
  /// occupies.
  std::size_t ServedBodyBytes = 0;
  std::size_t ServedBytes = 0;
  /// When the arriving request last made progress, and what has come since.
  Instant ProgressAt;
  std::size_t BytesSinceProgress = 0;
  /// What the budget counts for this connection.
  std::size_t CountedReceived = 0;
  std::size_t CountedQueued = 0;
  bool IsWriting = false;
  bool ShouldCloseWhenWritten = false;
  bool IsLingering = false;
  /// Whether the rest of a refused request's body is still being received,
  /// which must not be taken for another request.
  bool IsInputDiscarded = false;
  bool HasServed = false;
  /// Start of the current wait: for a request, for the rest of its header, or
  /// for the end of the connection.
  Instant WaitStart;
};

CallerServer::CallerServer(EventLoop &Loop, const CallerProtocol &Protocol,
                           BufferBudget &Buffers, const Capacity &Limits,
                           Listener &Callbacks)
    : Loop(Loop), Protocol(Protocol), Buffers(Buffers),
      Received(Limits.RequestBytes), MaxConnections(Limits.Connections),
      Callbacks(Callbacks), Acceptor(Loop.context()),
      AcceptRetryTimer(Loop.context()), TimeoutTimer(Loop.context()) {
  this->setLimits(CallerLimits());
  this->checkTimeouts();
}

CallerServer::~CallerServer() {
  // Unlike close(), the destructor of a socket would ignore setResetOnClose().
  boost::system::error_code Ignored;
  for (const auto &[Id, Caller] : this->Connections)
    Caller->Socket.close(Ignored);
}

Result<void, SystemError> CallerServer::listen(const std::string &Address,
                                               std::uint16_t Port) {
  if (auto Opened = openAcceptor(this->Acceptor, Address, Port); !Opened)
    return Opened;
  this->accept();
  return success();
}

void CallerServer::setLimits(const CallerLimits &Limits) {
  this->Limits = Limits;
  this->Received.setLargestRequest(
      servedBytes(Limits.BodyBytes, MaxHeadExpansion * Limits.HeaderBytes));
}

void CallerServer::accept() {
  this->Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
    if (!this->IsAccepting || Error == boost::asio::error::operation_aborted)
      return;
    if (!Error) {
      this->addConnection(std::move(Socket));
      this->accept();
      return;
    }
    logEvent("accept_failed", {{"errno", std::to_string(Error.value())}});
    if (Error == boost::asio::error::no_descriptors && this->closeForRoom()) {
      this->accept();
      return;
    }
    this->AcceptRetryTimer.expires_after(AcceptRetryDelay);
    this->AcceptRetryTimer.async_wait([this](const auto &TimerError) {
      if (!TimerError)
        this->accept();
    });
  });
}

bool CallerServer::closeForRoom() {
  using Use = ClosableConnection::Use;
  std::vector<ClosableConnection> Closable;
  for (const auto &[Id, Caller] : this->Connections) {
    const bool IsRefused = Caller->IsLingering || Caller->IsInputDiscarded;
    const bool IsServed = Caller->Current.Value != 0 ||
                          (Caller->IsWriting && !Caller->IsInputDiscarded);
    if (IsServed)
      continue;
    const bool IsNew = !Caller->HasServed &&
                       this->Loop.now() - Caller->WaitStart < MinUnusedTime;
    const bool IsArriving = Caller->Reader != nullptr || IsNew;
    const Use CurrentUse = IsRefused           ? Use::Refused
                           : IsArriving        ? Use::Arriving
                           : Caller->HasServed ? Use::Idle
                                               : Use::Unused;
    Closable.push_back(
        {CallerConnectionId(Id), CurrentUse,
         Caller->Reader ? Caller->ProgressAt : Caller->WaitStart});
  }
  const auto Closed = selectClosed(std::move(Closable),
                                   this->Connections.size() / CloseParts + 1);
  if (!Closed.empty())
    logEvent("connections_closed_for_room",
             {{"closed", std::to_string(Closed.size())},
              {"open", std::to_string(this->Connections.size())},
              {"limit", std::to_string(this->MaxConnections)}});
  for (const CallerConnectionId Id : Closed)
    this->close(this->Connections.at(Id.Value));
  return !Closed.empty();
}

void CallerServer::addConnection(tcp::socket Socket) {
  if (this->MaxConnections <= this->Connections.size() &&
      !this->closeForRoom()) {
    logEvent("connection_refused_for_room",
             {{"open", std::to_string(this->Connections.size())}});
    return;
  }
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  if (this->Buffers.isLimited())
    Socket.set_option(
        boost::asio::socket_base::send_buffer_size(SendBufferBytes), Ignored);
  auto Caller = std::make_shared<Connection>(std::move(Socket));
  Caller->Id = this->NextConnection++;
  Caller->WaitStart = this->Loop.now();
  this->Connections[Caller->Id] = Caller;
  this->read(Caller);
}

void CallerServer::read(const ConnectionPtr &Caller) {
  if (Caller->IsReading || Caller->isInputFull() || !Caller->Socket.is_open())
    return;
  Caller->IsReading = true;
  Caller->Socket.async_wait(tcp::socket::wait_read,
                            [this, Caller](const auto &Error) {
                              Caller->IsReading = false;
                              if (this->Connections.count(Caller->Id) == 0)
                                return;
                              if (Error)
                                this->close(Caller);
                              else
                                this->handleReadable(Caller);
                            });
}

void CallerServer::handleReadable(const ConnectionPtr &Caller) {
  // Continued when the response is complete.
  if (Caller->isInputFull())
    return;
  boost::system::error_code Error;
  const std::size_t MaxBytes = Caller->Current.Value != 0
                                   ? MaxPipelinedBytes - Caller->Input.size()
                                   : this->ReadBuffer.size();
  const std::size_t Count = Caller->Socket.read_some(
      boost::asio::buffer(this->ReadBuffer, MaxBytes), Error);
  if (Error && Error != boost::asio::error::would_block) {
    this->close(Caller);
    return;
  }
  this->handleBytes(Caller, Count);
  this->read(Caller);
}

void CallerServer::handleBytes(const ConnectionPtr &Caller, std::size_t Count) {
  if (Caller->IsLingering || Caller->IsInputDiscarded)
    return;
  const auto Bytes = boost::asio::buffer(this->ReadBuffer, Count);
  Caller->Input.commit(
      boost::asio::buffer_copy(Caller->Input.prepare(Count), Bytes));
  if (Caller->Current.Value == 0)
    this->parse(Caller);
  if (Caller->Input.size() == 0)
    Caller->Input.shrink_to_fit();
  Caller->BytesSinceProgress += Count;
  if (ProgressBytes <= Caller->BytesSinceProgress) {
    Caller->BytesSinceProgress = 0;
    Caller->ProgressAt = this->Loop.now();
  }
  this->account(*Caller);
  this->refuseForRoom();
}

void CallerServer::parse(const ConnectionPtr &Caller) {
  while (Caller->Input.size() > 0 && Caller->Current.Value == 0 &&
         !Caller->IsLingering && !Caller->IsInputDiscarded) {
    if (!Caller->Reader) {
      Caller->IsHeadRequest = false;
      Caller->Reader = std::make_unique<RequestReader>(this->Limits);
      Caller->HasSentContinue = false;
      Caller->WaitStart = this->Loop.now();
      Caller->ProgressAt = Caller->WaitStart;
      Caller->BytesSinceProgress = 0;
    }
    const auto IsComplete = Caller->Reader->read(Caller->Input);
    if (!IsComplete) {
      this->rejectRequest(Caller, IsComplete.error());
      return;
    }
    if (IsComplete.value()) {
      this->handleRequest(Caller);
      continue;
    }
    if (Caller->Reader->hasHead() && this->Buffers.isFull()) {
      this->rejectRequest(Caller, RelayRefusalReason::Overloaded);
      return;
    }
    if (!Caller->HasSentContinue && Caller->Reader->isContinueExpected()) {
      Caller->HasSentContinue = true;
      this->write(Caller, ContinueLine);
    }
    return;
  }
}

void CallerServer::handleRequest(const ConnectionPtr &Caller) {
  Caller->IsHttp10 = Caller->Reader->isHttp10();
  Caller->IsCloseRequested = Caller->Reader->isCloseRequested();
  RawRequest Raw = Caller->Reader->take();
  Caller->Reader.reset();
  Caller->IsHeadRequest = Raw.Method == "HEAD";
  auto Decoded = this->Protocol.DecodeRequest(std::move(Raw));
  if (!Decoded) {
    this->rejectRequest(Caller, Decoded.error());
    return;
  }
  Caller->Current = RequestId(this->NextRequest++);
  Caller->CurrentAttempt = Decoded.value().Id;
  Caller->ServedBodyBytes = Decoded.value().Body.size();
  Caller->ServedBytes =
      servedBytes(Caller->ServedBodyBytes, bytesOf(Decoded.value().Headers));
  this->account(*Caller);
  this->refuseForRoom();
  if (!this->Received.hasRoom(CallerConnectionId(Caller->Id))) {
    Caller->Current = RequestId();
    this->rejectForRoom(Caller);
    return;
  }
  this->Requests[Caller->Current] = Caller->Id;
  this->Callbacks.onCallerRequest(Caller->Current, std::move(Decoded.value()));
}

void CallerServer::rejectRequest(const ConnectionPtr &Caller,
                                 RelayRefusalReason Reason) {
  logEvent("request_refused", {{"reason", toString(Reason)},
                               {"connection", std::to_string(Caller->Id)}});
  Caller->IsCloseRequested = true;
  Caller->CurrentAttempt = CallerAttemptId();
  const Milliseconds RetryAfter = Reason == RelayRefusalReason::Overloaded
                                      ? FullRetryAfter
                                      : Milliseconds(0);
  // What remains of the request must not be taken for another one.
  Caller->IsInputDiscarded = true;
  Caller->Reader.reset();
  Caller->Input.consume(Caller->Input.size());
  Caller->Input.shrink_to_fit();
  this->writeRefusal(Caller,
                     RelayRefusal{Reason, Execution::NotRun, RetryAfter});
  this->completeResponse(Caller);
}

void CallerServer::writeRefusal(const ConnectionPtr &Caller,
                                const RelayRefusal &Refusal) {
  const RefusalHead Head =
      this->Protocol.EncodeRefusal(Refusal, Caller->CurrentAttempt);
  Caller->Framing = BodyFraming::Kind::ContentLength;
  this->write(Caller, writeResponseHead(
                          Head.Status, Head.Headers,
                          {BodyFraming::Kind::ContentLength, Head.Body.size()},
                          this->shouldClose(*Caller)));
  if (!Caller->IsHeadRequest && !Head.Body.empty())
    this->write(Caller, Head.Body);
}

void CallerServer::refuse(RequestId Request, const RelayRefusal &Refusal) {
  const ConnectionPtr Caller = this->findConnection(Request);
  if (!Caller)
    return;
  this->writeRefusal(Caller, Refusal);
  this->completeResponse(Caller);
}

void CallerServer::beginResponse(RequestId Request,
                                 const TargetAnswerHead &Head,
                                 std::optional<std::size_t> BodyBytes) {
  const ConnectionPtr Caller = this->findConnection(Request);
  if (!Caller)
    return;
  BodyFraming Body;
  if (!mayHaveBody(Caller->IsHeadRequest, Head.Status))
    Body.Type = BodyFraming::Kind::None;
  else if (BodyBytes)
    Body = {BodyFraming::Kind::ContentLength, *BodyBytes};
  else
    Body.Type = Caller->IsHttp10 ? BodyFraming::Kind::UntilClose
                                 : BodyFraming::Kind::Chunked;
  if (Body.Type == BodyFraming::Kind::UntilClose) {
    Caller->IsCloseRequested = true;
    // The end of the connection, also by the end of the process, must not look
    // like the end of the body until all of it is written.
    this->setResetOnClose(*Caller, true);
  }
  Caller->Framing = Body.Type;
  this->write(Caller, writeResponseHead(Head.Status, Head.Headers, Body,
                                        this->shouldClose(*Caller)));
}

void CallerServer::sendBody(RequestId Request, const std::string &Bytes) {
  const ConnectionPtr Caller = this->findConnection(Request);
  if (!Caller || Caller->Framing == BodyFraming::Kind::None || Bytes.empty())
    return;
  this->write(Caller, Caller->Framing == BodyFraming::Kind::Chunked
                          ? writeChunk(Bytes)
                          : Bytes);
}

void CallerServer::finishResponse(RequestId Request) {
  const ConnectionPtr Caller = this->findConnection(Request);
  if (!Caller)
    return;
  if (Caller->Framing == BodyFraming::Kind::Chunked)
    this->write(Caller, writeLastChunk());
  this->completeResponse(Caller);
}

void CallerServer::abort(RequestId Request) {
  const ConnectionPtr Caller = this->findConnection(Request);
  if (!Caller)
    return;
  this->Requests.erase(Request);
  Caller->Current = RequestId();
  this->close(Caller);
}

void CallerServer::setResetOnClose(Connection &Caller, bool ShouldReset) {
  boost::system::error_code Ignored;
  Caller.Socket.set_option(boost::asio::socket_base::linger(ShouldReset, 0),
                           Ignored);
}

std::vector<CallerServer::EndedConnection> CallerServer::endOldestUnread() {
  std::vector<EndedConnection> Ended;
  if (!this->Buffers.isFull())
    return Ended;
  std::vector<UnreadQueue> Queues;
  for (const auto &[Id, Caller] : this->Connections) {
    if (Caller->IsWriting)
      Queues.push_back({CallerConnectionId(Id), Caller->CountedQueued,
                        Caller->WritingSince});
  }
  for (const CallerConnectionId Id : this->Buffers.selectEnded(Queues)) {
    const auto Found = this->Connections.find(Id.Value);
    if (Found == this->Connections.end())
      continue;
    const ConnectionPtr Caller = Found->second;
    Ended.push_back({{Id, Caller->CountedQueued, Caller->WritingSince},
                     Caller->CurrentAttempt});
    this->setResetOnClose(*Caller, true);
    this->close(Caller);
  }
  return Ended;
}

std::vector<RequestId> CallerServer::requestsInProgress() const {
  std::vector<RequestId> Found;
  for (const auto &[Request, Connection] : this->Requests)
    Found.push_back(Request);
  return Found;
}

void CallerServer::account(Connection &Caller) {
  // A closed connection is released by close().
  if (this->Connections.count(Caller.Id) == 0)
    return;
  const std::size_t Parsed = Caller.Reader ? Caller.Reader->bodyCapacity() : 0;
  this->Received.update(CallerConnectionId(Caller.Id),
                        this->receivedOn(Caller));
  this->accountAs(Caller, Caller.Input.size() + Parsed + Caller.ServedBodyBytes,
                  Caller.Queued.capacity() + Caller.Writing.capacity());
}

ReceivedRequest CallerServer::receivedOn(const Connection &Caller) const {
  ReceivedRequest Request;
  Request.Bytes = HeapSlack * Caller.Input.capacity();
  Request.ProgressAt = Caller.ProgressAt;
  if (Caller.Current.Value != 0) {
    Request.Bytes += Caller.ServedBytes;
    return Request;
  }
  Request.IsArriving = !Caller.IsLingering && !Caller.IsInputDiscarded;
  if (Caller.Reader)
    Request.Bytes +=
        HeapSlack * Caller.Reader->headBytes() + Caller.Reader->bodyCapacity();
  return Request;
}

void CallerServer::refuseForRoom() {
  for (const CallerConnectionId Id : this->Received.selectRefused()) {
    const auto Found = this->Connections.find(Id.Value);
    if (Found != this->Connections.end())
      this->rejectForRoom(Found->second);
  }
}

void CallerServer::rejectForRoom(const ConnectionPtr &Caller) {
  const ReceivedRequest Request = this->receivedOn(*Caller);
  const Milliseconds Quiet = this->Loop.now() - Request.ProgressAt;
  logEvent("room_for_requests_full",
           {{"connection", std::to_string(Caller->Id)},
            {"request_bytes", std::to_string(Request.Bytes)},
            {"all_requests_bytes", std::to_string(this->Received.total())},
            {"quiet_ms", std::to_string(Quiet.count())}});
  this->rejectRequest(Caller, RelayRefusalReason::Overloaded);
}

void CallerServer::accountAs(Connection &Caller, std::size_t Received,
                             std::size_t Queued) {
  this->Buffers.resize(BufferKind::RequestBodies, Caller.CountedReceived,
                       Received);
  this->Buffers.resize(BufferKind::QueuedAnswers, Caller.CountedQueued, Queued);
  Caller.CountedReceived = Received;
  Caller.CountedQueued = Queued;
}

bool CallerServer::shouldClose(const Connection &Caller) const {
  return Caller.IsCloseRequested || this->IsDraining;
}

void CallerServer::completeResponse(const ConnectionPtr &Caller) {
  Caller->HasServed = Caller->HasServed || Caller->Current.Value != 0;
  this->Requests.erase(Caller->Current);
  Caller->Current = RequestId();
  Caller->ServedBodyBytes = 0;
  Caller->ServedBytes = 0;
  this->account(*Caller);
  Caller->WaitStart = this->Loop.now();
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

void CallerServer::write(const ConnectionPtr &Caller, std::string Bytes) {
  if (Caller->Queued.empty())
    Caller->QueuedSince = this->Loop.now();
  Caller->Queued += Bytes;
  this->flush(Caller);
  this->account(*Caller);
}

Milliseconds CallerServer::unreadAge(RequestId Request) const {
  const ConnectionPtr Caller = this->findConnection(Request);
  return Caller && Caller->IsWriting ? this->Loop.now() - Caller->WritingSince
                                     : Milliseconds(0);
}

std::size_t CallerServer::queuedBytes(RequestId Request) const {
  const ConnectionPtr Caller = this->findConnection(Request);
  if (!Caller)
    return 0;
  return Caller->Queued.size() +
         (Caller->IsWriting ? Caller->Writing.size() : 0);
}

void CallerServer::flush(const ConnectionPtr &Caller) {
  if (Caller->IsWriting)
    return;
  if (!Caller->Queued.empty()) {
    Caller->IsWriting = true;
    Caller->Writing.swap(Caller->Queued);
    Caller->WritingSince = Caller->QueuedSince;
    boost::asio::async_write(
        Caller->Socket, boost::asio::buffer(Caller->Writing),
        [this, Caller](const auto &Error, std::size_t) {
          Caller->IsWriting = false;
          // Releases the memory, which an idle connection would keep. Assigning
          // an empty string would keep it.
          std::string().swap(Caller->Writing);
          if (this->Connections.count(Caller->Id) == 0)
            return;
          if (Error) {
            this->close(Caller);
            return;
          }
          this->flush(Caller);
          this->account(*Caller);
          if (!Caller->IsWriting && Caller->Current.Value != 0)
            this->Callbacks.onCallerWritable(Caller->Current);
        });
    return;
  }
  if (!Caller->ShouldCloseWhenWritten || Caller->IsLingering)
    return;
  Caller->IsLingering = true;
  Caller->WaitStart = this->Loop.now();
  this->setResetOnClose(*Caller, false);
  boost::system::error_code Ignored;
  Caller->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  this->read(Caller);
}

void CallerServer::close(const ConnectionPtr &Caller) {
  if (this->Connections.erase(Caller->Id) == 0)
    return;
  this->accountAs(*Caller, 0, 0);
  this->Received.release(CallerConnectionId(Caller->Id));
  boost::system::error_code Ignored;
  Caller->Socket.close(Ignored);
  const RequestId Disconnected = Caller->Current;
  if (Disconnected.Value == 0)
    return;
  Caller->Current = RequestId();
  this->Requests.erase(Disconnected);
  this->Callbacks.onCallerDisconnected(Disconnected);
}

void CallerServer::stopAccepting() {
  this->IsAccepting = false;
  boost::system::error_code Ignored;
  this->Acceptor.close(Ignored);
  const auto OpenConnections = this->Connections;
  for (const auto &[Id, Caller] : OpenConnections) {
    const bool IsIdle = Caller->Current.Value == 0 && !Caller->IsWriting &&
                        Caller->Queued.empty() && !Caller->Reader;
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

void CallerServer::checkTimeouts() {
  this->TimeoutTimer.expires_after(TimeoutCheckInterval);
  this->TimeoutTimer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    const auto OpenConnections = this->Connections;
    for (const auto &[Id, Caller] : OpenConnections) {
      const Milliseconds Waited = this->Loop.now() - Caller->WaitStart;
      if (Caller->Current.Value != 0)
        continue;
      if (Caller->IsLingering) {
        if (LingerTimeout <= Waited)
          this->close(Caller);
      } else if (Caller->Reader) {
        if (this->Limits.HeaderTimeout <= Waited && !Caller->Reader->hasHead())
          this->rejectRequest(Caller, RelayRefusalReason::HeaderTimeout);
        else if (this->Limits.IdleTimeout <= Waited)
          this->close(Caller);
      } else if (this->Limits.IdleTimeout <= Waited) {
        this->close(Caller);
      }
    }
    this->checkTimeouts();
  });
}

CallerServer::ConnectionPtr
CallerServer::findConnection(RequestId Request) const {
  const auto Found = this->Requests.find(Request);
  if (Found == this->Requests.end())
    return nullptr;
  const auto Caller = this->Connections.find(Found->second);
  return Caller == this->Connections.end() ? nullptr : Caller->second;
}

} // namespace tanagerlanding
