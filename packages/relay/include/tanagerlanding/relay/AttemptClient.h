/// \file
/// HTTP client that sends attempts to targets over pooled connections.
#ifndef TANAGERLANDING_RELAY_ATTEMPTCLIENT_H
#define TANAGERLANDING_RELAY_ATTEMPTCLIENT_H

#include "tanagerlanding/http/BufferBudget.h"
#include "tanagerlanding/relay/RelayProtocol.h"
#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <map>
#include <memory>

namespace tanagerlanding {

/// Sends requests to targets and reports their responses as they arrive.
///
/// Each request is sent at most once and is never retried here, so that what
/// may be retried remains the reducer's decision. A response that carries
/// another attempt's id is discarded. One without an id counts only if it is a
/// refusal and the first response on its connection, and the request has been
/// sent whole. A connection on which bytes arrive while no request is pending
/// is not reused, and none carries the same id twice. What a target sends
/// before a response to the attempt, and between the parts of its body, is
/// limited. Must be used on the event loop's thread.
class AttemptClient {
public:
  /// Receives the progress of attempts. Not called for an attempt after its
  /// onAttemptEnd() or after cancel().
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onAttemptHead(RelayAttemptId Attempt,
                               const TargetAnswerHead &Head) = 0;
    virtual void onAttemptBytes(RelayAttemptId Attempt, std::string Bytes) = 0;
    /// Bytes of sendPart() were passed to the connection.
    virtual void onAttemptPartWritten(RelayAttemptId Attempt,
                                      std::size_t Bytes) = 0;
    virtual void onAttemptEnd(RelayAttemptId Attempt,
                              AttemptEnded::Kind Outcome) = 0;
    virtual void onTargetProbed(const TargetConnectionProbed &Result) = 0;
  };

  /// A request and its destination.
  struct Request {
    RelayAttemptId Attempt;
    std::string Address;
    std::uint16_t Port = 0;
    std::string Method;
    std::string Target;
    HeaderFields Headers;
    /// The body consists of Start, of PartBytes that sendPart() brings, and of
    /// Body.
    std::string Start;
    std::uint64_t PartBytes = 0;
    SharedText Body;
    /// The id that the response must carry.
    CallerAttemptId ExpectedId;
    /// Maximum number of idle connections kept to the target.
    std::uint32_t IdleLimit = 0;
    /// From this time on the request must not be sent.
    std::optional<Instant> SendBefore;
  };

  AttemptClient(EventLoop &Loop, const RelayProtocol &Protocol,
                BufferBudget &Buffers, Listener &Callbacks);
  ~AttemptClient();
  AttemptClient(const AttemptClient &) = delete;
  AttemptClient &operator=(const AttemptClient &) = delete;

  void send(Request NewRequest);

  /// Sends the next part of an attempt's body. All parts together must have
  /// Request::PartBytes.
  void sendPart(RelayAttemptId Attempt, std::string Bytes);

  /// Closes an attempt's connection, which makes the target stop its work.
  void cancel(RelayAttemptId Attempt);

  /// Stops or continues reading the response to an attempt, so that a target is
  /// slowed to the speed at which its response is passed on.
  void setPaused(RelayAttemptId Attempt, bool ShouldPause);

  /// Opens a connection to a target, closes it again, and reports whether the
  /// target accepted it.
  void probe(const ProbeTargetConnection &Probe);

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  /// Returns an idle connection on which nothing has arrived since its last
  /// response and no request with this id was sent, or null.
  ConnectionPtr acquireIdle(const Endpoint &Remote, const CallerAttemptId &Id);
  void connect(const ConnectionPtr &Target);
  void start(const ConnectionPtr &Target);
  /// Writes the next piece of the request, if there is one and none is being
  /// written.
  void writeNext(const ConnectionPtr &Target);
  void handleWritten(const ConnectionPtr &Target,
                     const boost::system::error_code &Error);
  /// Drops an idle connection when its target closes it or sends bytes.
  void watchIdle(const ConnectionPtr &Target);
  void read(const ConnectionPtr &Target);
  void handleRead(const ConnectionPtr &Target,
                  const boost::system::error_code &Error);
  void parse(const ConnectionPtr &Target);
  /// Returns whether the rest of the response should be read.
  bool handleHead(const ConnectionPtr &Target);
  void handleEnd(const ConnectionPtr &Target, bool IsEndOfFile);
  void complete(const ConnectionPtr &Target);
  void fail(const ConnectionPtr &Target, AttemptEnded::Kind Outcome);
  void drop(const ConnectionPtr &Target);
  static std::size_t sentBytesOf(const Connection &Target);
  /// Updates the budget to what a connection holds now.
  void account(Connection &Target, std::size_t Sent, std::size_t Received);

  EventLoop &Loop;
  const RelayProtocol &Protocol;
  BufferBudget &Buffers;
  Listener &Callbacks;
  std::map<RelayAttemptId, ConnectionPtr> Active;
  std::map<Endpoint, std::list<ConnectionPtr>> Idle;
};

} // namespace tanagerlanding

#endif
