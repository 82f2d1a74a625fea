/// \file
/// Connections between the system's own processes.
#ifndef TANAGERLANDING_RUNTIME_CONNECTIONHUB_H
#define TANAGERLANDING_RUNTIME_CONNECTIONHUB_H

#include "tanagerlanding/runtime/EventLoop.h"
#include "tanagerlanding/wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace tanagerlanding {

/// Five heartbeats of an entry.
constexpr Milliseconds DefaultIdleLimit{2500};
/// Between relays and replicas, whose heartbeats come every 400 ms: a relay
/// that is cut off has to tell the balancer soon.
constexpr Milliseconds PeerIdleLimit{1500};

/// Keeps TCP connections and passes messages over them.
///
/// listen() takes connections from others; keepConnected() makes one and
/// makes it anew whenever it is gone. All on the loop's thread.
class ConnectionHub {
public:
  /// Hears what happens to connections.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onOpened(ConnectionId Id) = 0;
    virtual void onMessage(ConnectionId Id, Message Body) = 0;
    virtual void onClosed(ConnectionId Id) = 0;
  };

  /// A connection over which nothing has come for IdleLimit is closed.
  ConnectionHub(EventLoop &Loop, Listener &Heard,
                Milliseconds IdleLimit = DefaultIdleLimit);
  ~ConnectionHub();
  ConnectionHub(const ConnectionHub &) = delete;
  ConnectionHub &operator=(const ConnectionHub &) = delete;

  /// Takes connections on an IP number and port. Fails if the address can't
  /// be had.
  Result<void, SystemError> listen(const std::string &Address,
                                   std::uint16_t Port);

  /// Keeps a connection to Address, for as long as it is wanted there.
  void keepConnected(const std::string &Address, std::uint16_t Port);

  /// IP numbers with ports.
  using Addresses = std::set<std::pair<std::string, std::uint16_t>>;

  /// Keeps connections to all of Wanted; stops keeping those to any other
  /// address, and closes them.
  void keepOnly(const Addresses &Wanted);

  /// Sends a message. One to a connection that is gone is lost.
  void send(ConnectionId Id, const Message &Body);

  /// Closes a connection; its listener hears of it.
  void close(ConnectionId Id);

  /// Calls Done once all that was sent is handed to the system, or after
  /// Limit.
  void flush(Milliseconds Limit, std::function<void()> Done);

  /// Returns the bytes sent so far.
  std::uint64_t sentBytes() const { return this->SentBytes; }

private:
  struct Connection;
  struct Dialler;

  void accept();
  void dropConnected(const std::pair<std::string, std::uint16_t> &Address);
  void dial(const std::shared_ptr<Dialler> &Target);
  void redial(const std::shared_ptr<Dialler> &Target);
  ConnectionId adopt(boost::asio::ip::tcp::socket Socket,
                     const std::shared_ptr<Dialler> &Origin);
  void read(Connection &Link);
  void write(Connection &Link);
  void handleBytes(ConnectionId Id, std::size_t Count);
  void watchIdle();
  bool isFlushed() const;

  EventLoop &Loop;
  Listener &Heard;
  const Milliseconds IdleLimit;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer IdleTimer;
  std::uint64_t NextId = 1;
  std::uint64_t SentBytes = 0;
  std::map<ConnectionId, std::shared_ptr<Connection>> Connections;
  std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<Dialler>>
      Diallers;
};

} // namespace tanagerlanding

#endif
