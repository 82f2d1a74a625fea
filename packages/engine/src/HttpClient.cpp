#include "tanagerlanding/engine/HttpClient.h"

#include "tanagerlanding/engine/HttpStatus.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace tanagerlanding {

namespace {

constexpr int PollMillis = 500;
/// TCP keep-alive settings and TCP_USER_TIMEOUT. They detect within about 2.5 s
/// that a peer is gone, even if it has not closed its connection.
constexpr long KeepAliveIdleSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr unsigned UserTimeoutMillis = 2500;

constexpr std::string_view StatusLineStart = "HTTP/";
constexpr std::size_t StatusDigits = 3;

/// Sets the socket options that libcurl does not offer.
int prepareSocket(void *, curl_socket_t Socket, curlsocktype) {
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes,
             sizeof(KeepAliveProbes));
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMillis,
             sizeof(UserTimeoutMillis));
  return CURL_SOCKOPT_OK;
}

/// Returns whether received bytes, or the peer's close, are unread.
bool hasUnreadBytes(curl_socket_t Socket) {
  char Byte = 0;
  return recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/// Returns the outcome of a transfer with this result code. libcurl reports a
/// response whose head was cut off as complete, without a body, and one whose
/// status line is invalid as a protocol that it does not support.
HttpOutcome::Kind outcomeKindFor(CURLcode Code, bool HasWholeHead,
                                 bool IsSent) {
  if (Code == CURLE_OK && HasWholeHead)
    return HttpOutcome::Kind::Answered;
  if (IsSent)
    return HttpOutcome::Kind::Broken;
  switch (Code) {
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_OPERATION_TIMEDOUT:
    return HttpOutcome::Kind::NeverSent;
  default:
    return HttpOutcome::Kind::Broken;
  }
}

/// Returns the status in a response's first line, or 0 if it is invalid.
std::uint16_t readStatus(std::string_view Line) {
  const std::size_t Start = std::min(Line.find(' '), Line.size() - 1) + 1;
  const std::size_t End =
      std::min(Line.find_first_of(" \r\n", Start), Line.size());
  const char *Last = Line.data() + End;
  std::uint16_t Status = 0;
  const auto Read = std::from_chars(Line.data() + Start, Last, Status);
  const bool IsValid = End - Start == StatusDigits && Read.ptr == Last;
  return IsValid ? Status : 0;
}

void startCurlOnce() {
  static const CURLcode Started = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Started);
}

} // namespace

/// A request in flight.
struct HttpClient::Transfer {
  Handle Id = 0;
  HttpClient *Owner = nullptr;
  HttpRequest Request;
  PieceCallback OnPiece;
  DoneCallback OnDone;
  std::string Body;
  curl_slist *Headers = nullptr;
  /// Whether the empty line that ends the last head has been received.
  bool HasWholeHead = false;
  /// Status in that head; 0 if it is invalid.
  std::uint16_t Status = 0;
  /// Whether a kept connection had unread bytes before the request was sent.
  bool HasStrayBytes = false;
  bool IsCancelled = false;

  Transfer() = default;
  Transfer(const Transfer &) = delete;
  Transfer &operator=(const Transfer &) = delete;
  ~Transfer() { curl_slist_free_all(this->Headers); }
};

HttpClient::HttpClient(EventLoop &Loop) : Loop(Loop) {
  startCurlOnce();
  this->Multi = curl_multi_init();
  this->Worker = std::thread([this] { this->runWorker(); });
}

HttpClient::~HttpClient() {
  this->IsStopping = true;
  curl_multi_wakeup(this->Multi);
  this->Worker.join();
  for (const auto &[Easy, Each] : this->Running) {
    curl_multi_remove_handle(this->Multi, Easy);
    curl_easy_cleanup(Easy);
  }
  curl_multi_cleanup(this->Multi);
}

HttpClient::Handle HttpClient::start(HttpRequest Request, PieceCallback OnPiece,
                                     DoneCallback OnDone) {
  auto NewTransfer = std::make_unique<Transfer>();
  NewTransfer->Owner = this;
  NewTransfer->Request = std::move(Request);
  NewTransfer->OnPiece = std::move(OnPiece);
  NewTransfer->OnDone = std::move(OnDone);
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const Handle Id = this->NextHandle++;
  NewTransfer->Id = Id;
  this->Queued.push_back(std::move(NewTransfer));
  curl_multi_wakeup(this->Multi);
  return Id;
}

void HttpClient::cancel(Handle Request) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Cancelled.push_back(Request);
  curl_multi_wakeup(this->Multi);
}

void HttpClient::runWorker() {
  while (!this->IsStopping) {
    this->startQueued();
    this->cancelQueued();
    int StillRunning = 0;
    curl_multi_perform(this->Multi, &StillRunning);
    this->collectFinished();
    curl_multi_poll(this->Multi, nullptr, 0, PollMillis, nullptr);
  }
}

void HttpClient::startQueued() {
  std::vector<std::unique_ptr<Transfer>> NewTransfers;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    NewTransfers.swap(this->Queued);
  }
  for (auto &Each : NewTransfers)
    this->startTransfer(std::move(Each));
}

void HttpClient::startTransfer(std::unique_ptr<Transfer> NewTransfer) {
  CURL *Easy = curl_easy_init();
  const HttpRequest &Request = NewTransfer->Request;
  curl_easy_setopt(Easy, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPIDLE, KeepAliveIdleSeconds);
  curl_easy_setopt(Easy, CURLOPT_TCP_KEEPINTVL, KeepAliveIdleSeconds);
  curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, &prepareSocket);
  curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, &HttpClient::onClose);
  curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Request.ConnectTimeout.count()));
  if (!Request.MayReuseConnection) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  } else if (NewTransfer->HasStrayBytes) {
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  } else {
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &HttpClient::onConnected);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, NewTransfer.get());
  }
  if (!Request.Body.empty()) {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  if (Request.Method == "HEAD")
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
  curl_slist_free_all(std::exchange(NewTransfer->Headers, nullptr));
  // Without this, libcurl waits for a "100 Continue" before larger bodies.
  NewTransfer->Headers = curl_slist_append(NewTransfer->Headers, "Expect:");
  for (const std::string &Header : Request.Headers)
    NewTransfer->Headers =
        curl_slist_append(NewTransfer->Headers, Header.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, NewTransfer->Headers);
  curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &HttpClient::onHeadLine);
  curl_easy_setopt(Easy, CURLOPT_HEADERDATA, NewTransfer.get());
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &HttpClient::onBody);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, NewTransfer.get());
  this->Running[Easy] = std::move(NewTransfer);
  curl_multi_add_handle(this->Multi, Easy);
}

void HttpClient::cancelQueued() {
  std::vector<Handle> ToCancel;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    ToCancel.swap(this->Cancelled);
  }
  for (const Handle Id : ToCancel) {
    for (const auto &[Easy, Each] : this->Running) {
      if (Each->Id != Id)
        continue;
      Each->IsCancelled = true;
      this->finish(Easy, CURLE_ABORTED_BY_CALLBACK);
      break;
    }
  }
}

void HttpClient::collectFinished() {
  int MessagesLeft = 0;
  while (const CURLMsg *Notice =
             curl_multi_info_read(this->Multi, &MessagesLeft)) {
    if (Notice->msg == CURLMSG_DONE)
      this->finish(Notice->easy_handle, Notice->data.result);
  }
}

void HttpClient::finish(void *Easy, int Code) {
  const auto Found = this->Running.find(Easy);
  std::unique_ptr<Transfer> Done = std::move(Found->second);
  this->Running.erase(Found);
  const bool IsRejected = Code == CURLE_ABORTED_BY_CALLBACK &&
                          Done->HasStrayBytes && !Done->IsCancelled;
  if (IsRejected) {
    // Nothing was sent yet.
    curl_multi_remove_handle(this->Multi, Easy);
    curl_easy_cleanup(Easy);
    this->startTransfer(std::move(Done));
    return;
  }

  this->rememberSocket(Easy);
  HttpOutcome Outcome;
  long SentBytes = 0;
  curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &SentBytes);
  Outcome.Ended = outcomeKindFor(static_cast<CURLcode>(Code),
                                 Done->HasWholeHead, SentBytes > 0);
  if (Done->HasWholeHead && isFinalStatus(Done->Status))
    Outcome.Status = Done->Status;
  const char *ContentType = nullptr;
  curl_easy_getinfo(Easy, CURLINFO_CONTENT_TYPE, &ContentType);
  if (ContentType)
    Outcome.ContentType = ContentType;
  Outcome.Body = std::move(Done->Body);

  curl_multi_remove_handle(this->Multi, Easy);
  curl_easy_cleanup(Easy);
  this->Loop.post([OnDone = std::move(Done->OnDone),
                   Outcome = std::move(Outcome)] { OnDone(Outcome); });
}

void HttpClient::rememberSocket(void *Easy) {
  const char *RemoteIp = nullptr;
  long RemotePort = 0;
  long LocalPort = 0;
  curl_socket_t Socket = CURL_SOCKET_BAD;
  curl_easy_getinfo(Easy, CURLINFO_PRIMARY_IP, &RemoteIp);
  curl_easy_getinfo(Easy, CURLINFO_PRIMARY_PORT, &RemotePort);
  curl_easy_getinfo(Easy, CURLINFO_LOCAL_PORT, &LocalPort);
  curl_easy_getinfo(Easy, CURLINFO_ACTIVESOCKET, &Socket);
  if (RemoteIp && Socket != CURL_SOCKET_BAD)
    this->Kept[{RemoteIp, RemotePort, LocalPort}] = Socket;
}

int HttpClient::onConnected(void *Owner, char *RemoteIp, char *, int RemotePort,
                            int LocalPort) {
  auto *Each = static_cast<Transfer *>(Owner);
  const auto Found = Each->Owner->Kept.find({RemoteIp, RemotePort, LocalPort});
  if (Found == Each->Owner->Kept.end())
    return CURL_PREREQFUNC_OK;
  Each->HasStrayBytes = hasUnreadBytes(Found->second);
  Each->Owner->Kept.erase(Found);
  return Each->HasStrayBytes ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

int HttpClient::onClose(void *Owner, int Socket) {
  auto &Kept = static_cast<HttpClient *>(Owner)->Kept;
  const auto Found =
      std::find_if(Kept.begin(), Kept.end(),
                   [&](const auto &Each) { return Each.second == Socket; });
  if (Found != Kept.end())
    Kept.erase(Found);
  return close(Socket);
}

std::size_t HttpClient::onHeadLine(char *Bytes, std::size_t Size,
                                   std::size_t Count, void *Owner) {
  const std::string_view Line(Bytes, Size * Count);
  auto *Each = static_cast<Transfer *>(Owner);
  // Interim responses have heads of their own. Lines of a trailer follow the
  // body and are no status lines.
  if (Line.substr(0, StatusLineStart.size()) == StatusLineStart) {
    Each->HasWholeHead = false;
    Each->Status = readStatus(Line);
    const bool IsValid =
        isInterimStatus(Each->Status) || isFinalStatus(Each->Status);
    return IsValid ? Size * Count : 0;
  }
  if (Line == "\r\n" || Line == "\n")
    Each->HasWholeHead = true;
  return Size * Count;
}

std::size_t HttpClient::onBody(char *Bytes, std::size_t Size, std::size_t Count,
                               void *Owner) {
  auto *Each = static_cast<Transfer *>(Owner);
  std::string Piece(Bytes, Size * Count);
  if (!Each->OnPiece) {
    Each->Body += Piece;
    return Size * Count;
  }
  Each->Owner->Loop.post(
      [OnPiece = Each->OnPiece, Piece = std::move(Piece)] { OnPiece(Piece); });
  return Size * Count;
}

} // namespace tanagerlanding
