#include "tanagerlanding/relay/AttemptClient.h"

#include "tanagerlanding/engine/HttpStatus.h"
#include "tanagerlanding/http/HttpHead.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <functional>
#include <regex>
#include <utility>
#include <vector>

namespace tanagerlanding {

namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;

/// A reachable target accepts a connection within milliseconds, and TCP
/// retransmits a dropped SYN only after 1 s.
constexpr Milliseconds ConnectTimeout{300};
/// If sent data stays unacknowledged for this long, the path counts as lost.
constexpr unsigned UserTimeoutMillis = 2000;
/// Idle time-out of connections whose target sends no Keep-Alive header.
constexpr Milliseconds DefaultKeepAlive{4000};
/// An idle connection is not reused within this time before the target's idle
/// time-out, so that no request races with the target's close.
constexpr Milliseconds IdleMargin{700};
constexpr std::size_t ReadBytes = 16 * 1024;
/// Maximum number of bytes that a target may send before the head of the
/// response: interim responses and late responses to other attempts.
constexpr std::size_t MaxBytesBeforeHead = 1024 * 1024;
/// Maximum size of a part that is parsed as a whole: a head, the head of a
/// chunk, or the trailer.
constexpr std::size_t MaxPartBytes = 64 * 1024;
/// Bounds what a connection remembers of its requests.
constexpr std::size_t MaxRequestsPerConnection = 1000;

/// Returns the "timeout=N" parameter, in seconds, of a Keep-Alive header.
std::optional<Milliseconds>
parseKeepAliveTimeout(boost::beast::string_view Value) {
  static const std::regex Timeout("timeout=([0-9]{1,6})");
  std::match_results<const char *> Found;
  if (!std::regex_search(Value.begin(), Value.end(), Found, Timeout))
    return std::nullopt;
  return std::chrono::seconds(std::stol(Found[1].str()));
}

/// A body whose bytes are taken out of the parser as they arrive. Unlike
/// string_body, it reserves no memory for the length that a target states.
struct PieceBody : http::string_body {
  // Beast requires the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  class reader : public http::string_body::reader {
  public:
    using http::string_body::reader::reader;
    void init(const boost::optional<std::uint64_t> &,
              boost::system::error_code &Error) {
      Error = {};
    }
  };
};

void prepareSocket(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &UserTimeoutMillis, sizeof(UserTimeoutMillis));
}

/// Returns whether the connection is open and no received bytes are unread.
bool isQuiet(tcp::socket &Socket) {
  char Byte = 0;
  const ssize_t Count = recv(Socket.native_handle(), &Byte, sizeof(Byte),
                             MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t hashOf(const CallerAttemptId &Id) {
  return std::hash<std::string>()(Id.Value);
}

} // namespace

/// A connection to a target.
struct AttemptClient::Connection {
  explicit Connection(boost::asio::io_context &Context)
      : Socket(Context), ConnectTimer(Context) {}

  tcp::socket Socket;
  boost::asio::steady_timer ConnectTimer;
  Endpoint Remote;
  boost::beast::flat_buffer Input;
  std::unique_ptr<http::response_parser<PieceBody>> Parser;
  /// The request in flight; its attempt is 0 while the connection is idle.
  Request Current;
  /// Hashes of the ids of all requests sent on this connection.
  std::vector<std::size_t> SentIds;
  std::string Head;
  /// Parts of the body that are not written yet, and the bytes of those that
  /// sendPart() has not brought.
  std::deque<std::string> Parts;
  std::uint64_t MissingPartBytes = 0;
  bool IsOpen = false;
  /// Whether the request is not written whole, and whether a piece of it is
  /// being written.
  bool IsSending = false;
  bool IsWriting = false;
  /// The part that is being written, in bytes; 0 for other pieces.
  std::size_t WritingPart = 0;
  /// Why the request could not be sent whole.
  boost::system::error_code WriteError;
  bool HasHead = false;
  std::size_t BytesBeforeHead = 0;
  bool IsReading = false;
  bool IsPaused = false;
  /// Whether the response being read belongs to another request.
  bool IsDiscarding = false;
  /// Whether the target has begun any final response on this connection.
  bool HasAnswered = false;
  /// What the budget counts for this connection.
  std::size_t CountedSent = 0;
  std::size_t CountedReceived = 0;
  Milliseconds KeepAlive = DefaultKeepAlive;
  Instant UnusedSince;
};

/// Returns the bytes of a request's body that a connection holds.
std::size_t AttemptClient::sentBytesOf(const Connection &Target) {
  std::size_t Bytes = Target.Current.Start.size() + Target.Current.Body.size();
  for (const std::string &Each : Target.Parts)
    Bytes += Each.size();
  return Bytes;
}

AttemptClient::AttemptClient(EventLoop &Loop, const RelayProtocol &Protocol,
                             BufferBudget &Buffers, Listener &Callbacks)
    : Loop(Loop), Protocol(Protocol), Buffers(Buffers), Callbacks(Callbacks) {}

AttemptClient::~AttemptClient() = default;

void AttemptClient::send(Request NewRequest) {
  boost::system::error_code Error;
  const auto Ip = boost::asio::ip::make_address(NewRequest.Address, Error);
  const RelayAttemptId Attempt = NewRequest.Attempt;
  if (Error) {
    this->Loop.post([this, Attempt] {
      this->Callbacks.onAttemptEnd(Attempt, AttemptEnded::Kind::NeverSent);
    });
    return;
  }
  const Endpoint Remote(Ip, NewRequest.Port);
  ConnectionPtr Target = this->acquireIdle(Remote, NewRequest.ExpectedId);
  const bool IsReused = Target != nullptr;
  if (!IsReused)
    Target = std::make_shared<Connection>(this->Loop.context());
  Target->Remote = Remote;
  Target->Current = std::move(NewRequest);
  Target->Parts.clear();
  Target->MissingPartBytes = Target->Current.PartBytes;
  this->Active[Attempt] = Target;
  this->account(*Target, sentBytesOf(*Target), 0);
  if (IsReused)
    this->start(Target);
  else
    this->connect(Target);
}

AttemptClient::ConnectionPtr
AttemptClient::acquireIdle(const Endpoint &Remote, const CallerAttemptId &Id) {
  for (auto Found = this->Idle.find(Remote); Found != this->Idle.end();
       Found = this->Idle.find(Remote)) {
    // The most recently used connection is the least likely to be closed.
    const ConnectionPtr Newest = Found->second.back();
    const Milliseconds IdleTime = this->Loop.now() - Newest->UnusedSince;
    const bool IsFresh = IdleTime + IdleMargin < Newest->KeepAlive;
    if (!IsFresh || !isQuiet(Newest->Socket)) {
      this->drop(Newest);
      continue;
    }
    const std::vector<std::size_t> &SentIds = Newest->SentIds;
    // A repeat of the earlier response could not be told from the new one.
    if (std::find(SentIds.begin(), SentIds.end(), hashOf(Id)) != SentIds.end())
      return nullptr;
    Found->second.pop_back();
    if (Found->second.empty())
      this->Idle.erase(Found);
    // Ends the wait of watchIdle().
    boost::system::error_code Ignored;
    Newest->Socket.cancel(Ignored);
    return Newest;
  }
  return nullptr;
}

void AttemptClient::connect(const ConnectionPtr &Target) {
  Target->ConnectTimer.expires_after(ConnectTimeout);
  Target->ConnectTimer.async_wait([this, Target](const auto &Error) {
    if (!Error && !Target->IsOpen)
      this->fail(Target, AttemptEnded::Kind::NeverSent);
  });
  Target->Socket.async_connect(
      Target->Remote, [this, Target](const auto &Error) {
        if (this->Active.count(Target->Current.Attempt) == 0)
          return;
        Target->ConnectTimer.cancel();
        if (Error) {
          this->fail(Target, AttemptEnded::Kind::NeverSent);
          return;
        }
        Target->IsOpen = true;
        prepareSocket(Target->Socket);
        // Bytes that precede the request can't be its response.
        if (isQuiet(Target->Socket))
          this->start(Target);
        else
          this->fail(Target, AttemptEnded::Kind::NeverSent);
      });
}

void AttemptClient::start(const ConnectionPtr &Target) {
  const Request &Current = Target->Current;
  const std::size_t BodyBytes =
      Current.Start.size() + Current.PartBytes + Current.Body.size();
  const bool HasBody =
      BodyBytes > 0 || Current.Method == "POST" || Current.Method == "PUT";
  const BodyFraming Body{HasBody ? BodyFraming::Kind::ContentLength
                                 : BodyFraming::Kind::None,
                         BodyBytes};
  Target->Head =
      writeRequestHead(Target->Current.Method, Target->Current.Target,
                       Target->Current.Headers, Body);
  Target->HasHead = false;
  Target->BytesBeforeHead = 0;
  Target->IsDiscarding = false;
  // The process may have been suspended since the decision to send, for example
  // while the connection was being established.
  const auto &SendBefore = Target->Current.SendBefore;
  if (SendBefore && *SendBefore <= this->Loop.now()) {
    const RelayAttemptId Attempt = Target->Current.Attempt;
    // Posted, as send() must not call back.
    this->Loop.post([this, Target, Attempt] {
      if (Target->Current.Attempt == Attempt && this->Active.count(Attempt) > 0)
        this->fail(Target, AttemptEnded::Kind::Overdue);
    });
    return;
  }
  Target->SentIds.push_back(hashOf(Target->Current.ExpectedId));
  Target->IsSending = true;
  Target->IsWriting = true;
  Target->WritingPart = 0;
  std::vector<boost::asio::const_buffer> Pieces = {
      boost::asio::buffer(Target->Head), boost::asio::buffer(Current.Start)};
  const bool IsWhole = Current.PartBytes == 0;
  if (IsWhole)
    Pieces.push_back(boost::asio::buffer(Current.Body.text()));
  boost::asio::async_write(
      Target->Socket, Pieces,
      [this, Target, IsWhole](const auto &Error, std::size_t) {
        Target->IsSending = !IsWhole;
        this->handleWritten(Target, Error);
      });
  this->read(Target);
}

void AttemptClient::sendPart(RelayAttemptId Attempt, std::string Bytes) {
  const auto Found = this->Active.find(Attempt);
  if (Found == this->Active.end() || Bytes.empty())
    return;
  const ConnectionPtr Target = Found->second;
  Target->MissingPartBytes -= Bytes.size();
  Target->Parts.push_back(std::move(Bytes));
  this->account(*Target, sentBytesOf(*Target), Target->CountedReceived);
  this->writeNext(Target);
}

void AttemptClient::writeNext(const ConnectionPtr &Target) {
  if (Target->IsWriting || !Target->IsSending || Target->WriteError)
    return;
  const bool HasPart = !Target->Parts.empty();
  if (!HasPart && Target->MissingPartBytes > 0)
    return;
  const std::string &Piece =
      HasPart ? Target->Parts.front() : Target->Current.Body.text();
  Target->IsWriting = true;
  Target->WritingPart = HasPart ? Piece.size() : 0;
  boost::asio::async_write(
      Target->Socket, boost::asio::buffer(Piece),
      [this, Target, HasPart](const auto &Error, std::size_t) {
        Target->IsSending = HasPart;
        this->handleWritten(Target, Error);
      });
}

void AttemptClient::handleWritten(const ConnectionPtr &Target,
                                  const boost::system::error_code &Error) {
  Target->IsWriting = false;
  Target->WriteError = Error;
  const RelayAttemptId Attempt = Target->Current.Attempt;
  if (Attempt.Value == 0)
    return;
  if (Error) {
    // A target may respond before it has read the whole body; such a response
    // remains valid.
    if (!Target->HasHead)
      this->fail(Target, AttemptEnded::Kind::Broken);
    return;
  }
  const std::size_t Written = std::exchange(Target->WritingPart, 0);
  if (Written > 0) {
    Target->Parts.pop_front();
    this->account(*Target, sentBytesOf(*Target), Target->CountedReceived);
  }
  this->writeNext(Target);
  if (Written > 0)
    this->Callbacks.onAttemptPartWritten(Attempt, Written);
}

void AttemptClient::watchIdle(const ConnectionPtr &Target) {
  // A wait reads nothing, so that the next request's isQuiet() sees all bytes
  // that precede it.
  Target->Socket.async_wait(
      tcp::socket::wait_read,
      [this, Target](const boost::system::error_code &Error) {
        // The target closed the connection, or sent bytes without a request.
        if (!Error && Target->IsOpen && Target->Current.Attempt.Value == 0)
          this->drop(Target);
      });
}

void AttemptClient::read(const ConnectionPtr &Target) {
  if (Target->IsPaused && !Target->IsReading && Target->Input.size() == 0)
    Target->Input.shrink_to_fit();
  if (Target->IsReading || Target->IsPaused)
    return;
  Target->IsReading = true;
  Target->Socket.async_read_some(
      Target->Input.prepare(ReadBytes),
      [this, Target](const boost::system::error_code &Error,
                     std::size_t Count) {
        Target->IsReading = false;
        Target->Input.commit(Count);
        if (!Target->HasHead)
          Target->BytesBeforeHead += Count;
        this->handleRead(Target, Error);
      });
}

void AttemptClient::handleRead(const ConnectionPtr &Target,
                               const boost::system::error_code &Error) {
  if (!Target->IsOpen)
    return;
  if (Error) {
    const bool IsEndOfFile = Error == boost::asio::error::eof;
    const RelayAttemptId Attempt = Target->Current.Attempt;
    // Posted, as the completion of a failed write may be queued behind this.
    this->Loop.post([this, Target, Attempt, IsEndOfFile] {
      if (Target->Current.Attempt == Attempt && this->Active.count(Attempt) > 0)
        this->handleEnd(Target, IsEndOfFile);
    });
    return;
  }
  this->parse(Target);
  const bool IsTooLong =
      MaxPartBytes < Target->Input.size() ||
      (!Target->HasHead && MaxBytesBeforeHead < Target->BytesBeforeHead);
  if (IsTooLong)
    this->fail(Target, AttemptEnded::Kind::Broken);
  if (!Target->IsOpen)
    return;
  this->account(*Target, Target->CountedSent, Target->Input.size());
  if (Target->Current.Attempt.Value == 0)
    this->watchIdle(Target);
  else
    this->read(Target);
}

void AttemptClient::parse(const ConnectionPtr &Target) {
  while (Target->IsOpen && Target->Current.Attempt.Value != 0 &&
         Target->Input.size() > 0) {
    if (!Target->Parser) {
      Target->Parser = std::make_unique<http::response_parser<PieceBody>>();
      Target->Parser->eager(true);
      Target->Parser->body_limit(boost::none);
      Target->Parser->skip(Target->Current.Method == "HEAD");
    }
    boost::system::error_code Error;
    const std::size_t Consumed =
        Target->Parser->put(Target->Input.data(), Error);
    Target->Input.consume(Consumed);
    if (Error && Error != http::error::need_more) {
      this->fail(Target, AttemptEnded::Kind::Broken);
      return;
    }
    if (!Target->Parser->is_header_done())
      return;
    if (!Target->HasHead && !Target->IsDiscarding && !this->handleHead(Target))
      return;
    if (!Target->Parser)
      continue;
    std::string Bytes;
    Bytes.swap(Target->Parser->get().body());
    const bool IsDone = Target->Parser->is_done();
    if (Target->IsDiscarding) {
      if (!IsDone)
        return;
      Target->IsDiscarding = false;
      Target->Parser.reset();
      continue;
    }
    if (!Bytes.empty())
      this->Callbacks.onAttemptBytes(Target->Current.Attempt, std::move(Bytes));
    if (!Target->IsOpen || Target->Current.Attempt.Value == 0)
      return;
    if (IsDone) {
      this->complete(Target);
      return;
    }
    if (Error == http::error::need_more)
      return;
  }
}

bool AttemptClient::handleHead(const ConnectionPtr &Target) {
  const auto &Message = Target->Parser->get();
  const unsigned Status = Message.result_int();
  if (isInterimStatus(Status)) {
    Target->Parser.reset();
    return true;
  }
  if (!isFinalStatus(Status)) {
    this->fail(Target, AttemptEnded::Kind::Broken);
    return false;
  }
  const DecodedTargetHead Decoded = this->Protocol.DecodeTargetHead(
      static_cast<std::uint16_t>(Status), endToEndFields(Message.base()));
  const bool IsFirst = !Target->HasAnswered;
  Target->HasAnswered = true;
  if (Decoded.AnsweredAttempt &&
      !(*Decoded.AnsweredAttempt == Target->Current.ExpectedId)) {
    Target->IsDiscarding = true;
    return true;
  }
  // Only a refusal may lack an id, because none of it is forwarded. It must not
  // be a repeat of an earlier one, nor have been sent ahead of the request.
  const bool IsRefusal = Decoded.Head.IsNotRun || Decoded.Head.IsMisdirected;
  const bool MayLackId = IsRefusal && IsFirst && !Target->IsSending;
  if (!Decoded.AnsweredAttempt && !MayLackId) {
    this->fail(Target, AttemptEnded::Kind::Broken);
    return false;
  }
  if (const auto KeepAliveTimeout =
          parseKeepAliveTimeout(Message[http::field::keep_alive]))
    Target->KeepAlive = *KeepAliveTimeout;
  Target->HasHead = true;
  this->Callbacks.onAttemptHead(Target->Current.Attempt, Decoded.Head);
  return Target->IsOpen && Target->Current.Attempt.Value != 0;
}

void AttemptClient::handleEnd(const ConnectionPtr &Target, bool IsEndOfFile) {
  // A reset is reported only once, here to the write. A broken pipe means that
  // the target closed the connection before it was reset.
  const bool IsReset = Target->WriteError &&
                       Target->WriteError != boost::asio::error::broken_pipe;
  if (!IsEndOfFile || IsReset || !Target->Parser || !Target->HasHead) {
    this->fail(Target, AttemptEnded::Kind::Broken);
    return;
  }
  boost::system::error_code Error;
  Target->Parser->put_eof(Error);
  if (Error || !Target->Parser->is_done()) {
    this->fail(Target, AttemptEnded::Kind::Broken);
    return;
  }
  this->fail(Target, AttemptEnded::Kind::Complete);
}

void AttemptClient::complete(const ConnectionPtr &Target) {
  const bool IsReusable = Target->Parser->keep_alive() && !Target->IsSending &&
                          !Target->WriteError && Target->Input.size() == 0 &&
                          Target->SentIds.size() < MaxRequestsPerConnection;
  const RelayAttemptId Attempt = Target->Current.Attempt;
  const std::uint32_t IdleLimit = Target->Current.IdleLimit;
  this->Active.erase(Attempt);
  Target->Parser.reset();
  Target->Current = Request();
  this->account(*Target, 0, 0);
  Target->IsPaused = false;
  std::list<ConnectionPtr> &IdleConnections = this->Idle[Target->Remote];
  if (IsReusable && IdleConnections.size() < IdleLimit) {
    Target->UnusedSince = this->Loop.now();
    IdleConnections.push_back(Target);
  } else {
    this->drop(Target);
  }
  this->Callbacks.onAttemptEnd(Attempt, AttemptEnded::Kind::Complete);
}

void AttemptClient::fail(const ConnectionPtr &Target,
                         AttemptEnded::Kind Outcome) {
  const RelayAttemptId Attempt = Target->Current.Attempt;
  if (this->Active.erase(Attempt) == 0)
    return;
  this->drop(Target);
  this->Callbacks.onAttemptEnd(Attempt, Outcome);
}

void AttemptClient::cancel(RelayAttemptId Attempt) {
  const auto Found = this->Active.find(Attempt);
  if (Found == this->Active.end())
    return;
  const ConnectionPtr Target = Found->second;
  this->Active.erase(Found);
  this->drop(Target);
}

void AttemptClient::setPaused(RelayAttemptId Attempt, bool ShouldPause) {
  const auto Found = this->Active.find(Attempt);
  if (Found == this->Active.end())
    return;
  const ConnectionPtr Target = Found->second;
  Target->IsPaused = ShouldPause;
  if (Target->IsOpen)
    this->read(Target);
}

void AttemptClient::probe(const ProbeTargetConnection &Probe) {
  const TargetRun Run = Probe.Run;
  const auto Report = [this, Run](TargetConnectionProbed::Outcome Result) {
    this->Callbacks.onTargetProbed(TargetConnectionProbed{Run, Result});
  };
  boost::system::error_code Error;
  const auto Ip = boost::asio::ip::make_address(Probe.Address, Error);
  if (Error) {
    this->Loop.post(
        [Report] { Report(TargetConnectionProbed::Outcome::NoAnswer); });
    return;
  }
  const auto Socket = std::make_shared<tcp::socket>(this->Loop.context());
  const auto Timer =
      std::make_shared<boost::asio::steady_timer>(this->Loop.context());
  Timer->expires_after(ConnectTimeout);
  Timer->async_wait([Socket](const auto &TimerError) {
    boost::system::error_code Ignored;
    if (!TimerError)
      Socket->close(Ignored);
  });
  Socket->async_connect(
      Endpoint(Ip, Probe.Port), [Report, Socket, Timer](const auto &Failed) {
        Timer->cancel();
        if (!Failed)
          Report(TargetConnectionProbed::Outcome::Accepted);
        else if (Failed == boost::asio::error::connection_refused)
          Report(TargetConnectionProbed::Outcome::Refused);
        else
          Report(TargetConnectionProbed::Outcome::NoAnswer);
      });
}

void AttemptClient::account(Connection &Target, std::size_t Sent,
                            std::size_t Received) {
  this->Buffers.resize(BufferKind::Histories, Target.CountedSent, Sent);
  this->Buffers.resize(BufferKind::TargetAnswers, Target.CountedReceived,
                       Received);
  Target.CountedSent = Sent;
  Target.CountedReceived = Received;
}

void AttemptClient::drop(const ConnectionPtr &Target) {
  Target->IsOpen = false;
  this->account(*Target, 0, 0);
  Target->Current.Attempt = RelayAttemptId();
  Target->ConnectTimer.cancel();
  boost::system::error_code Ignored;
  Target->Socket.close(Ignored);
  const auto Found = this->Idle.find(Target->Remote);
  if (Found == this->Idle.end())
    return;
  Found->second.remove(Target);
  if (Found->second.empty())
    this->Idle.erase(Found);
}

} // namespace tanagerlanding
