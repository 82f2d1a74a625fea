/// \file
/// TCP connections between the processes of a deployment.
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

/// Idle timeout: five heartbeat intervals of an entry.
constexpr Milliseconds DefaultIdleTimeout{2500};
/// Idle timeout between relays and replicas, whose heartbeat interval is
/// 400 ms. It is shorter since a disconnected relay has to report itself to
/// the load balancer soon.
constexpr Milliseconds PeerIdleTimeout{1500};

/// Maintains TCP connections and exchanges messages over them.
///
/// listen() accepts inbound connections; keepConnected() opens an outbound one
/// and reconnects whenever it is lost. Runs on the event loop's thread only.
class ConnectionHub {
public:
  /// Receives connection events and messages.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onOpened(ConnectionId Id) = 0;
    virtual void onMessage(ConnectionId Id, Message Body) = 0;
    virtual void onClosed(ConnectionId Id) = 0;
    /// Queued messages were passed to the operating system.
    virtual void onSent(ConnectionId) {}
    /// Returns whether more should be read from a connection. IncompleteBytes
    /// is the size of the message that has begun to arrive on it, or 0. If not,
    /// resumeReading() asks again.
    virtual bool mayRead(ConnectionId, std::size_t /*IncompleteBytes*/) {
      return true;
    }
  };

  /// An encoded message, which several connections may send.
  using Frame = std::shared_ptr<const std::string>;

  /// Connections over which nothing was received for IdleTimeout are closed.
  ConnectionHub(EventLoop &Loop, Listener &Callbacks,
                Milliseconds IdleTimeout = DefaultIdleTimeout);
  ~ConnectionHub();
  ConnectionHub(const ConnectionHub &) = delete;
  ConnectionHub &operator=(const ConnectionHub &) = delete;

  /// Accepts connections on an IP address and port. Fails if the address is
  /// invalid or can't be bound.
  Result<void, SystemError> listen(const std::string &Address,
                                   std::uint16_t Port);

  /// Maintains a connection to Address until setPeers() leaves it out.
  void keepConnected(const std::string &Address, std::uint16_t Port);

  /// IP addresses with ports.
  using Addresses = std::set<std::pair<std::string, std::uint16_t>>;

  /// Maintains connections to exactly the addresses in Peers; closes outbound
  /// connections to any other address.
  void setPeers(const Addresses &Peers);

  /// Queues a message for sending. Discards it if the connection is closed.
  void send(ConnectionId Id, const Message &Body);
  void send(ConnectionId Id, Frame Encoded);
  static Frame encode(const Message &Body);

  /// Sets how many bytes may be queued on one connection. A connection on which
  /// more are queued is closed before another message is queued.
  void setMaxQueuedBytes(std::size_t Bytes) { this->MaxQueuedBytes = Bytes; }

  /// Returns the bytes that wait to be passed to the operating system, on one
  /// connection and on all. A shared frame counts on each connection.
  std::size_t queuedBytes(ConnectionId Id) const;
  std::size_t queuedBytes() const { return this->QueuedBytes; }

  /// Reads on from the connections for which Listener::mayRead() was false, if
  /// it is true now.
  void resumeReading();

  /// Closes a connection and notifies the listener.
  void close(ConnectionId Id);

  /// Calls Done once all queued messages have been passed to the operating
  /// system, or after Limit.
  void flush(Milliseconds Limit, std::function<void()> Done);

  /// Returns the number of bytes passed to socket writes so far.
  std::uint64_t sentBytes() const { return this->SentBytes; }

private:
  struct Connection;
  struct OutboundPeer;

  void accept();
  void stopKeeping(const std::pair<std::string, std::uint16_t> &Address);
  void connect(const std::shared_ptr<OutboundPeer> &Target);
  void scheduleReconnect(const std::shared_ptr<OutboundPeer> &Target);
  ConnectionId addConnection(boost::asio::ip::tcp::socket Socket,
                             const std::shared_ptr<OutboundPeer> &Peer);
  void read(Connection &Link);
  /// Reads unless the listener forbids it.
  void readIfAllowed(Connection &Link);
  void write(Connection &Link);
  void handleBytes(ConnectionId Id, std::size_t Count);
  void checkIdleConnections();
  bool isFlushed() const;

  EventLoop &Loop;
  Listener &Callbacks;
  const Milliseconds IdleTimeout;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer IdleTimer;
  std::uint64_t NextId = 1;
  std::uint64_t SentBytes = 0;
  std::size_t QueuedBytes = 0;
  std::size_t MaxQueuedBytes = std::size_t{256} * 1024 * 1024;
  std::map<ConnectionId, std::shared_ptr<Connection>> Connections;
  std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<OutboundPeer>>
      OutboundPeers;
};

} // namespace tanagerlanding

#endif
