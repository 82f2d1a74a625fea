/// \file
/// HTTP server for the callers of relays and entries.
#ifndef TANAGERLANDING_HTTP_CALLERSERVER_H
#define TANAGERLANDING_HTTP_CALLERSERVER_H

#include "tanagerlanding/http/BufferBudget.h"
#include "tanagerlanding/http/CallerProtocol.h"
#include "tanagerlanding/http/ReceiveBudget.h"
#include "tanagerlanding/runtime/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <memory>
#include <vector>

namespace tanagerlanding {

/// Reads complete HTTP/1.1 requests and streams the responses.
///
/// Serves one request at a time on a connection; pipelined input is buffered
/// until the response is complete. Must be used on the event loop's thread. See
/// AttemptClient for the connections to targets.
class CallerServer {
public:
  /// Receives callers' requests and disconnections.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onCallerRequest(RequestId Id, CallerRequest Request) = 0;
    /// Called when a caller closes its connection before its response is
    /// complete.
    virtual void onCallerDisconnected(RequestId Id) = 0;
    /// Called when all bytes of a response that sendBody() queued are sent.
    virtual void onCallerWritable(RequestId Id) = 0;
  };

  /// A connection that was ended because the budget was full.
  struct EndedConnection {
    UnreadQueue Queue;
    /// The request being served or, if its response was complete in the queue,
    /// the last one.
    CallerAttemptId Attempt;
  };

  /// What all connections may occupy together.
  struct Capacity {
    /// Bytes of requests, see ReceiveBudget.
    std::size_t RequestBytes = 0;
    std::size_t Connections = 0;
  };

  CallerServer(EventLoop &Loop, const CallerProtocol &Protocol,
               BufferBudget &Buffers, const Capacity &Limits,
               Listener &Callbacks);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Starts accepting connections. Fails if the address can't be bound.
  Result<void, SystemError> listen(const std::string &Address,
                                   std::uint16_t Port);

  /// Returns the port on which connections are accepted.
  std::uint16_t port() const { return this->Acceptor.local_endpoint().port(); }

  /// Sets the limits for requests that begin after this call.
  void setLimits(const CallerLimits &Limits);

  /// Sends a refusal, which ends the response.
  void refuse(RequestId Request, const RelayRefusal &Refusal);
  /// Starts a response. Without BodyBytes the body is sent with chunked
  /// encoding or, to an HTTP/1.0 caller, ends with the connection.
  void beginResponse(RequestId Request, const TargetAnswerHead &Head,
                     std::optional<std::size_t> BodyBytes);
  void sendBody(RequestId Request, const std::string &Bytes);
  /// Returns the number of bytes of a response that are not sent yet.
  std::size_t queuedBytes(RequestId Request) const;
  /// Returns how long the oldest of those bytes has been queued.
  Milliseconds unreadAge(RequestId Request) const;
  void finishResponse(RequestId Request);
  /// Closes the connection in the middle of a response.
  void abort(RequestId Request);

  /// Resets the connections with the oldest unread bytes until the budget is no
  /// longer full, so that none of their responses seems complete.
  std::vector<EndedConnection> endOldestUnread();
  /// Returns the requests whose responses are in progress.
  std::vector<RequestId> requestsInProgress() const;

  /// While set, each connection is closed after its next response.
  void setDraining(bool ShouldDrain) { this->IsDraining = ShouldDrain; }
  /// Stops accepting connections and closes those without a request.
  void stopAccepting();

  /// Sets what the process holds for callers besides their requests, in bytes;
  /// see ReceiveBudget.
  void setOtherBytes(std::size_t Bytes) { this->Received.setOtherBytes(Bytes); }

  /// Returns what the requests of all connections occupy, with the other bytes.
  std::size_t receivedBytes() const { return this->Received.total(); }

  /// Returns whether all queued bytes are written to the sockets.
  bool isFlushed() const;

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept();
  /// Closes connections on which no request is being served. Returns whether
  /// there was any.
  bool closeForRoom();
  void addConnection(boost::asio::ip::tcp::socket Socket);
  void read(const ConnectionPtr &Caller);
  /// Reads what has arrived, up to a limit that depends on what the connection
  /// is used for at the moment.
  void handleReadable(const ConnectionPtr &Caller);
  void handleBytes(const ConnectionPtr &Caller, std::size_t Count);
  void parse(const ConnectionPtr &Caller);
  void handleRequest(const ConnectionPtr &Caller);
  void rejectRequest(const ConnectionPtr &Caller, RelayRefusalReason Reason);
  void writeRefusal(const ConnectionPtr &Caller, const RelayRefusal &Refusal);
  void write(const ConnectionPtr &Caller, std::string Bytes);
  void flush(const ConnectionPtr &Caller);
  void completeResponse(const ConnectionPtr &Caller);
  void close(const ConnectionPtr &Caller);
  /// Makes the end of a connection an error for the caller.
  void setResetOnClose(Connection &Caller, bool ShouldReset);
  /// Updates the budget after a change of a connection's buffers.
  void account(Connection &Caller);
  void accountAs(Connection &Caller, std::size_t Received, std::size_t Queued);
  /// Refuses arriving requests while the budget for them is exceeded.
  void refuseForRoom();
  void rejectForRoom(const ConnectionPtr &Caller);
  ReceivedRequest receivedOn(const Connection &Caller) const;
  void checkTimeouts();
  ConnectionPtr findConnection(RequestId Request) const;
  bool shouldClose(const Connection &Caller) const;

  EventLoop &Loop;
  const CallerProtocol &Protocol;
  BufferBudget &Buffers;
  ReceiveBudget Received;
  const std::size_t MaxConnections;
  Listener &Callbacks;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptRetryTimer;
  boost::asio::steady_timer TimeoutTimer;
  CallerLimits Limits;
  /// Where bytes are read before they are added to a connection's input, so
  /// that connections without input hold no buffer.
  std::array<char, 16 * 1024> ReadBuffer{};
  std::uint64_t NextConnection = 1;
  std::uint64_t NextRequest = 1;
  std::map<std::uint64_t, ConnectionPtr> Connections;
  std::map<RequestId, std::uint64_t> Requests;
  bool IsDraining = false;
  bool IsAccepting = true;
};

} // namespace tanagerlanding

#endif
