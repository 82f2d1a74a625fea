/// \file
/// Stand-ins for the parts of the users' platform that relays and ledger
/// replicas talk to: its store and its workers.
#ifndef TANAGERLANDING_TESTS_PLATFORMSTANDINS_H
#define TANAGERLANDING_TESTS_PLATFORMSTANDINS_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tanagerlanding::test {

/// An HTTP server on loopback with a thread for each connection.
class BlockingServer {
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Socket = boost::asio::ip::tcp::socket;
  /// Responds to one request on the socket. Returns false to close the
  /// connection.
  using Handler = std::function<bool(const Request &, Socket &)>;

  explicit BlockingServer(Handler Answer);
  ~BlockingServer();
  BlockingServer(const BlockingServer &) = delete;
  BlockingServer &operator=(const BlockingServer &) = delete;

  std::uint16_t port() const { return this->Port; }
  /// Closes all connections and rejects new ones until resume().
  void pause();
  void resume() { this->IsPaused = false; }
  /// Ends like a crashed process: closes all connections and the listening
  /// socket, so that new connections are refused. May be called by a handler.
  void crash();

private:
  void accept();
  void serve(const std::shared_ptr<Socket> &Caller);

  const Handler Answer;
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::uint16_t Port = 0;
  std::atomic<bool> IsPaused{false};
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> HasCrashed{false};
  std::mutex Lock;
  std::vector<std::shared_ptr<Socket>> Connections;
  std::vector<std::thread> ConnectionThreads;
  std::thread Listener;
};

/// Stand-in for the platform's store: range reads, watches, leases and
/// conditional transactions.
class StoreStandin {
public:
  StoreStandin();
  ~StoreStandin();
  StoreStandin(const StoreStandin &) = delete;
  StoreStandin &operator=(const StoreStandin &) = delete;

  std::uint16_t port() const { return this->Server->port(); }
  /// Writes an item without a lease, as an operator or a worker does.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  std::string get(const std::string &Key);
  /// Simulates an outage while Down is set: closes all connections, ends
  /// pending watches and rejects new calls.
  void setDown(bool Down);
  /// Compacts the history: watches from an earlier revision get status 410.
  void compactHistory();

private:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Lease = 0;
  };
  struct Change {
    std::string Key;
    std::int64_t Revision = 0;
    bool IsDeleted = false;
  };

  bool handle(const BlockingServer::Request &Call,
              BlockingServer::Socket &Caller);
  std::string range(const std::string &Prefix);
  std::pair<int, std::string> watch(const std::string &Prefix,
                                    std::int64_t After, long WaitMillis);
  std::pair<int, std::string> transact(const std::string &Body);
  std::pair<int, std::string> lease(const std::string &Target,
                                    const std::string &Body);
  void write(const std::string &Key, Item NewItem);
  void erase(const std::string &Key);
  void expireLeases();

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Change> History;
  std::int64_t Revision = 1;
  std::int64_t CompactedRevision = 0;
  std::map<std::int64_t, std::pair<std::chrono::milliseconds,
                                   std::chrono::steady_clock::time_point>>
      Leases;
  std::int64_t NextLease = 1;
  bool IsDown = false;
  std::unique_ptr<BlockingServer> Server;
};

/// Stand-in for a worker: sends an unstreamed response to plain requests and
/// streams turns as events, from the one after Last-Event-Id if it is sent.
class WorkerStandin {
public:
  /// Crashes when it begins to run a request with the body or the path
  /// CrashMark, unless that is empty.
  explicit WorkerStandin(std::string Id, std::string CrashMark = {});

  std::uint16_t port() const { return this->Server->port(); }
  /// Returns the worker's registration in the store, as JSON.
  std::string registration(const std::string &Service,
                           const std::string &State = "ready",
                           const std::string &Version = "v1") const;
  /// A request that the worker ran.
  struct Run {
    std::string RequestId;
    std::string Path;
    std::string Body;
    std::chrono::steady_clock::time_point At;
    /// Its headers that name the team and the key; empty if absent.
    std::string Team;
    std::string Authorization;
  };
  /// Returns the requests that the worker ran, in order.
  std::vector<Run> runs();
  /// Returns the bodies of those requests, in order.
  std::vector<std::string> bodies();
  /// Sets the delay before each plain response, before the head of a stream,
  /// and after each event.
  void setDelay(std::chrono::milliseconds NewDelay) { this->Delay = NewDelay; }

  /// Closes the connection after this many events of a stream that starts at
  /// its beginning; 0 means never.
  void setCutAfter(int Events) { this->CutAfter = Events; }

  /// States in all responses from now on that the worker is leaving.
  void announceLeaving() { this->IsLeaving = true; }

  /// Names in all responses from now on a limit of requests a second; none if
  /// the text is empty.
  void nameLimit(const std::string &PerSecond);

  const std::string &id() const { return this->Id; }
  /// Ends the worker as a crash of its process does.
  void crash();
  bool hasCrashed() const { return this->HasCrashed; }

private:
  bool handle(const BlockingServer::Request &Call,
              BlockingServer::Socket &Caller);
  std::string namedLimit();

  const std::string Id;
  const std::string CrashMark;
  std::atomic<bool> HasCrashed{false};
  std::mutex Lock;
  std::vector<Run> Runs;
  std::string Limit;
  std::atomic<std::chrono::milliseconds> Delay{std::chrono::milliseconds(0)};
  std::atomic<int> CutAfter{0};
  std::atomic<bool> IsLeaving{false};
  std::unique_ptr<BlockingServer> Server;
};

} // namespace tanagerlanding::test

#endif
