/// \file
/// The listener for callers whose requests are passed on.
#ifndef TANAGERLANDING_RELAY_CALLERSERVER_H
#define TANAGERLANDING_RELAY_CALLERSERVER_H

#include "tanagerlanding/relay/RelayProtocol.h"
#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace tanagerlanding {

/// Takes HTTP/1.1 requests whole and sends answers, each in pieces.
///
/// Serves one request at a time on a connection; what a caller sends ahead is
/// kept until the answer is out. All on the loop's thread. See AttemptClient
/// for the other side.
class CallerServer {
public:
  /// Hears of callers.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onCallerRequest(RequestId Request, CallerRequest Asked) = 0;
    /// The caller closed its connection before its answer was complete.
    virtual void onCallerGone(RequestId Request) = 0;
  };

  CallerServer(EventLoop &Loop, const RelayProtocol &Protocol, Listener &Heard);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Takes connections. Fails if the address can't be had.
  Result<void, SystemError> listen(const std::string &Address,
                                   std::uint16_t Port);

  /// Limits for requests that begin from now on.
  void setLimits(const CallerLimits &Limits) { this->Limits = Limits; }

  /// Answers with the system's own refusal.
  void refuse(RequestId Request, const RelayRefusal &Refusal);
  /// Begins an answer; without BodyBytes the body goes out in chunks.
  void begin(RequestId Request, const TargetAnswerHead &Head,
             std::optional<std::size_t> BodyBytes);
  void send(RequestId Request, const std::string &Bytes);
  void finish(RequestId Request);
  /// Closes the connection in the middle of an answer.
  void breakOff(RequestId Request);

  /// While set, every connection ends with its next answer.
  void setDraining(bool IsWanted) { this->IsDraining = IsWanted; }
  /// Takes no new connections and closes those without a request.
  void stopAccepting();

  /// Returns whether all answers are handed to the system.
  bool isFlushed() const;

private:
  struct Connection;
  using Link = std::shared_ptr<Connection>;

  void accept();
  void adopt(boost::asio::ip::tcp::socket Socket);
  void read(const Link &Caller);
  void handleRead(const Link &Caller, bool IsGone);
  void parse(const Link &Caller);
  void takeRequest(const Link &Caller);
  void refuseMalformed(const Link &Caller, RelayRefusalReason Reason);
  void writeRefusal(const Link &Caller, const RelayRefusal &Refusal);
  void write(const Link &Caller, std::string Bytes);
  void flush(const Link &Caller);
  void completeAnswer(const Link &Caller);
  void close(const Link &Caller);
  void reviewIdle();
  Link linkOf(RequestId Request) const;
  bool shouldClose(const Connection &Caller) const;

  EventLoop &Loop;
  const RelayProtocol &Protocol;
  Listener &Heard;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptPause;
  boost::asio::steady_timer ReviewTimer;
  CallerLimits Limits;
  std::uint64_t NextConnection = 1;
  std::uint64_t NextRequest = 1;
  std::map<std::uint64_t, Link> Connections;
  std::map<RequestId, std::uint64_t> Requests;
  bool IsDraining = false;
  bool IsAccepting = true;
};

} // namespace tanagerlanding

#endif
