#include "FaultProxy.h"

#include <boost/asio.hpp>

#include <array>
#include <set>

namespace tanagerlanding::test {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds StallPollInterval{10};
constexpr std::size_t BufferBytes = 64 * 1024;

} // namespace

/// Forwards bytes on its own thread.
class FaultProxy::Worker {
public:
  Worker(FaultProxy &Owner, std::uint16_t Upstream)
      : Owner(Owner),
        Upstream(boost::asio::ip::address_v4::loopback(), Upstream),
        Acceptor(this->Context,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    this->accept();
    this->Thread = std::thread([this] { this->Context.run(); });
  }

  ~Worker() {
    this->Context.stop();
    this->Thread.join();
  }

  std::uint16_t port() const { return this->Acceptor.local_endpoint().port(); }

  void closeConnections() {
    boost::asio::post(this->Context, [this] {
      const auto Open = this->Connections;
      for (const auto &Each : Open)
        this->close(Each);
    });
  }

private:
  /// The two sockets of a forwarded connection.
  struct Connection {
    explicit Connection(boost::asio::io_context &Context)
        : ClientSocket(Context), UpstreamSocket(Context), RequestTimer(Context),
          ResponseTimer(Context) {}
    tcp::socket ClientSocket;
    tcp::socket UpstreamSocket;
    boost::asio::steady_timer RequestTimer;
    boost::asio::steady_timer ResponseTimer;
    std::array<char, BufferBytes> RequestBuffer{};
    std::array<char, BufferBytes> ResponseBuffer{};
    std::uint64_t ResponseBytes = 0;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  void accept() {
    auto NewConnection = std::make_shared<Connection>(this->Context);
    this->Acceptor.async_accept(NewConnection->ClientSocket,
                                [this, NewConnection](const auto &Error) {
                                  if (!Error && !this->Owner.IsRefusing)
                                    this->connect(NewConnection);
                                  this->accept();
                                });
  }

  void connect(const ConnectionPointer &NewConnection) {
    this->Connections.insert(NewConnection);
    NewConnection->UpstreamSocket.async_connect(
        this->Upstream, [this, NewConnection](const auto &Error) {
          if (Error) {
            this->close(NewConnection);
            return;
          }
          boost::system::error_code Ignored;
          NewConnection->ClientSocket.set_option(tcp::no_delay(true), Ignored);
          NewConnection->UpstreamSocket.set_option(tcp::no_delay(true),
                                                   Ignored);
          this->readNext(NewConnection, true);
          this->readNext(NewConnection, false);
        });
  }

  void readNext(const ConnectionPointer &Each, bool IsRequest) {
    tcp::socket &From = IsRequest ? Each->ClientSocket : Each->UpstreamSocket;
    auto &Buffer = IsRequest ? Each->RequestBuffer : Each->ResponseBuffer;
    From.async_read_some(
        boost::asio::buffer(Buffer),
        [this, Each, IsRequest](const auto &Error, std::size_t Count) {
          if (Error)
            this->close(Each);
          else
            this->forward(Each, IsRequest, Count);
        });
  }

  void forward(const ConnectionPointer &Each, bool IsRequest,
               std::size_t Count) {
    if (this->Owner.IsStalling) {
      auto &Timer = IsRequest ? Each->RequestTimer : Each->ResponseTimer;
      Timer.expires_after(StallPollInterval);
      Timer.async_wait([this, Each, IsRequest, Count](const auto &Error) {
        if (!Error)
          this->forward(Each, IsRequest, Count);
      });
      return;
    }
    if (!IsRequest && this->Owner.IsDiscardingResponses) {
      this->readNext(Each, IsRequest);
      return;
    }
    if (!IsRequest && this->isCloseDue(*Each, Count)) {
      this->close(Each);
      return;
    }
    const bool IsCut = !IsRequest && this->isCutDue(*Each);
    if (IsCut)
      Count = this->bytesBeforeCut(*Each, Count);
    tcp::socket &To = IsRequest ? Each->UpstreamSocket : Each->ClientSocket;
    auto &Buffer = IsRequest ? Each->RequestBuffer : Each->ResponseBuffer;
    boost::asio::async_write(
        To, boost::asio::buffer(Buffer.data(), Count),
        [this, Each, IsRequest, IsCut](const auto &Error, std::size_t) {
          if (Error || IsCut)
            this->close(Each);
          else
            this->readNext(Each, IsRequest);
        });
  }

  bool isCutDue(const Connection &Each) const {
    const std::uint64_t Limit = this->Owner.CutAfterBytes;
    return Limit > 0 && Each.ResponseBytes >= Limit;
  }

  /// Returns how many of the last Count bytes of a response are forwarded.
  std::size_t bytesBeforeCut(const Connection &Each, std::size_t Count) const {
    const std::uint64_t Excess = Each.ResponseBytes - this->Owner.CutAfterBytes;
    return Excess < Count ? Count - static_cast<std::size_t>(Excess) : 0;
  }

  bool isCloseDue(Connection &Each, std::size_t Count) {
    Each.ResponseBytes += Count;
    const std::uint64_t Limit = this->Owner.CloseAfterBytes;
    return Limit > 0 && Each.ResponseBytes >= Limit;
  }

  void close(const ConnectionPointer &Each) {
    boost::system::error_code Ignored;
    Each->ClientSocket.close(Ignored);
    Each->UpstreamSocket.close(Ignored);
    Each->RequestTimer.cancel();
    Each->ResponseTimer.cancel();
    this->Connections.erase(Each);
  }

  FaultProxy &Owner;
  const tcp::endpoint Upstream;
  boost::asio::io_context Context;
  tcp::acceptor Acceptor;
  std::set<ConnectionPointer> Connections;
  std::thread Thread;
};

FaultProxy::FaultProxy(std::uint16_t Upstream)
    : ActiveWorker(std::make_unique<Worker>(*this, Upstream)) {
  this->Port = this->ActiveWorker->port();
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::setRefusing(bool Refuse) {
  this->IsRefusing = Refuse;
  if (Refuse)
    this->closeConnections();
}

void FaultProxy::setStalling(bool Stall) { this->IsStalling = Stall; }

void FaultProxy::setDiscardingResponses(bool Discard) {
  this->IsDiscardingResponses = Discard;
}

void FaultProxy::closeConnections() { this->ActiveWorker->closeConnections(); }

void FaultProxy::setCutAfterResponseBytes(std::uint64_t Bytes) {
  this->CutAfterBytes = Bytes;
}

void FaultProxy::setCloseAfterResponseBytes(std::uint64_t Bytes) {
  this->CloseAfterBytes = Bytes;
}

} // namespace tanagerlanding::test
