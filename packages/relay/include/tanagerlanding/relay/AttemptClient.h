/// \file
/// Attempts at targets over connections that are used again.
#ifndef TANAGERLANDING_RELAY_ATTEMPTCLIENT_H
#define TANAGERLANDING_RELAY_ATTEMPTCLIENT_H

#include "tanagerlanding/relay/RelayProtocol.h"
#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <map>
#include <memory>

namespace tanagerlanding {

/// Sends requests to targets and reports their answers as they come.
///
/// A request is sent once: nothing is ever repeated here, so that what the
/// caller may repeat stays the reducer's decision. An answer that bears
/// another attempt's id is skipped. All on the loop's thread.
class AttemptClient {
public:
  /// Hears of answers. Nothing is told after onAttemptEnd() or cancel().
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onAttemptHead(RelayAttemptId Attempt,
                               const TargetAnswerHead &Head) = 0;
    virtual void onAttemptBytes(RelayAttemptId Attempt, std::string Bytes) = 0;
    virtual void onAttemptEnd(RelayAttemptId Attempt,
                              AttemptEnded::Kind Ended) = 0;
  };

  /// What is sent, and where.
  struct Request {
    RelayAttemptId Attempt;
    std::string Address;
    std::uint16_t Port = 0;
    std::string Method;
    std::string Target;
    HeaderFields Headers;
    std::string Body;
    /// The id that the answer must bear.
    CallerAttemptId Expected;
    /// Unused connections to the target that may be kept.
    std::uint32_t IdleLimit = 0;
  };

  AttemptClient(EventLoop &Loop, const RelayProtocol &Protocol,
                Listener &Heard);
  ~AttemptClient();
  AttemptClient(const AttemptClient &) = delete;
  AttemptClient &operator=(const AttemptClient &) = delete;

  void send(Request Asked);

  /// Closes an attempt's connection, which makes its target stop.
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
  /// Returns whether the rest of the answer is to be read.
  bool takeHead(const Link &Target);
  void handleEnd(const Link &Target, bool IsCleanEnd);
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
