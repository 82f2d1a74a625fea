/// \file
/// HTTP client that sends attempts to targets over pooled connections.
#ifndef TANAGERLANDING_RELAY_ATTEMPTCLIENT_H
#define TANAGERLANDING_RELAY_ATTEMPTCLIENT_H

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
/// another attempt's id is discarded. Must be used on the event loop's thread.
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
    virtual void onAttemptEnd(RelayAttemptId Attempt,
                              AttemptEnded::Kind Ended) = 0;
  };

  /// A request and its destination.
  struct Request {
    RelayAttemptId Attempt;
    std::string Address;
    std::uint16_t Port = 0;
    std::string Method;
    std::string Target;
    HeaderFields Headers;
    std::string Body;
    /// The id that the response must carry.
    CallerAttemptId Expected;
    /// Maximum number of idle connections kept to the target.
    std::uint32_t IdleLimit = 0;
  };

  AttemptClient(EventLoop &Loop, const RelayProtocol &Protocol,
                Listener &Heard);
  ~AttemptClient();
  AttemptClient(const AttemptClient &) = delete;
  AttemptClient &operator=(const AttemptClient &) = delete;

  void send(Request NewRequest);

  /// Closes an attempt's connection, which makes the target stop its work.
  void cancel(RelayAttemptId Attempt);

private:
  struct Connection;
  using Link = std::shared_ptr<Connection>;
  using Endpoint = boost::asio::ip::tcp::endpoint;

  Link takeIdle(const Endpoint &Where);
  void connect(const Link &Target);
  void start(const Link &Target);
  void read(const Link &Target);
  void handleRead(const Link &Target, const boost::system::error_code &Error);
  void parse(const Link &Target);
  /// Returns whether the rest of the response should be read.
  bool takeHead(const Link &Target);
  void handleEnd(const Link &Target, bool IsEndOfFile);
  void complete(const Link &Target);
  void fail(const Link &Target, AttemptEnded::Kind Ended);
  void drop(const Link &Target);

  EventLoop &Loop;
  const RelayProtocol &Protocol;
  Listener &Heard;
  std::map<RelayAttemptId, Link> Active;
  std::map<Endpoint, std::list<Link>> Idle;
};

} // namespace tanagerlanding

#endif
