/// \file
/// Connections that send scripted bytes and then stay open, as clients do that
/// don't keep to the protocol.
#ifndef TANAGERLANDING_TESTS_CLIENTCROWD_H
#define TANAGERLANDING_TESTS_CLIENTCROWD_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace tanagerlanding::test {

/// What a client sends: Start, Block for a number of times, and End.
struct ClientScript {
  std::string Start;
  std::string Block;
  std::size_t Repeats = 0;
  std::string End;
};

/// Returns Text repeated until the result has at least this many bytes.
std::string repeatToSize(const std::string &Text, std::size_t Bytes);

/// Returns one chunk of a chunked body.
std::string chunk(const std::string &Bytes);

/// Returns the script of a client that sends Piece again and again, 8 MiB in
/// all, as if it had no end.
ClientScript endless(const std::string &Start, const std::string &Piece);

/// Returns the script of a client that sends a body in chunks of ChunkBytes,
/// without the last chunk.
ClientScript chunkedBody(const std::string &Head, std::size_t ChunkBytes,
                         std::size_t BodyBytes);

/// A crowd of clients on loopback, served by one thread. Each sends its script,
/// keeps its connection open and discards what it receives, until the server
/// closes the connection or the crowd is destroyed.
class ClientCrowd {
public:
  explicit ClientCrowd(std::uint16_t Port);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;

  void add(const ClientScript &Script, unsigned Count);

  /// Waits until every client has sent its script or lost its connection, or
  /// none of them makes progress, since the server does not read.
  void settle();

  /// Returns how many clients got a response with each status; a connection
  /// that was closed without one counts as 0.
  std::map<int, unsigned> statuses();
  /// Returns the same as text.
  std::string describeStatuses();

private:
  struct Client;
  using ClientPtr = std::shared_ptr<Client>;

  void start(const ClientPtr &Each);
  void send(const ClientPtr &Each);
  void receive(const ClientPtr &Each);
  bool areAllDone();
  std::size_t sentBytes();

  const std::uint16_t Port;
  std::mutex Lock;
  // Before the clients, whose sockets belong to it.
  boost::asio::io_context Context;
  std::vector<ClientPtr> Clients;
  std::thread Thread;
};

/// Lets clients send at the same time, Count of each script, and calls Check
/// while they are connected and after they have left. Returns the statuses of
/// their responses as text.
std::string
playCrowd(std::uint16_t Port,
          const std::vector<std::pair<ClientScript, unsigned>> &Scripts,
          const std::function<void()> &Check);

} // namespace tanagerlanding::test

#endif
