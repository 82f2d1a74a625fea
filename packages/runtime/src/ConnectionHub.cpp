#include "tanagerlanding/runtime/ConnectionHub.h"

#include "tanagerlanding/runtime/Acceptor.h"
#include "tanagerlanding/runtime/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>

namespace tanagerlanding {

namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds IdleCheckInterval{250};
constexpr Milliseconds ReconnectDelay{100};
/// TCP retransmits a lost SYN packet only after seconds; a new connection
/// attempt is faster once the network path is restored.
constexpr Milliseconds ConnectTimeout{600};
constexpr Milliseconds FlushPollInterval{5};
constexpr std::size_t ReadBytes = 64 * 1024;
/// Limits of one write, so that frames are released while later ones wait.
constexpr std::size_t MaxFramesPerWrite = 64;
constexpr std::size_t BytesPerWrite = 256 * 1024;

} // namespace

/// An open connection.
struct ConnectionHub::Connection {
  explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}

  ConnectionId Id;
  tcp::socket Socket;
  /// The address to reconnect to, if this side opened the connection.
  std::weak_ptr<OutboundPeer> Peer;
  FrameReader Reader;
  std::array<char, ReadBytes> Input{};
  /// Frames to be sent; the first Writing of them are being written.
  std::deque<Frame> Queue;
  std::size_t Writing = 0;
  std::size_t QueuedBytes = 0;
  bool IsReadingPaused = false;
  Instant LastReceivedAt;
};

/// An address to which a connection is maintained.
struct ConnectionHub::OutboundPeer {
  explicit OutboundPeer(boost::asio::io_context &Context)
      : Socket(Context), Timer(Context) {}

  tcp::endpoint Address;
  tcp::socket Socket;
  boost::asio::steady_timer Timer;
  ConnectionId OpenConnection;
};

ConnectionHub::ConnectionHub(EventLoop &Loop, Listener &Callbacks,
                             Milliseconds IdleTimeout)
    : Loop(Loop), Callbacks(Callbacks), IdleTimeout(IdleTimeout),
      Acceptor(Loop.context()), IdleTimer(Loop.context()) {
  this->checkIdleConnections();
}

ConnectionHub::~ConnectionHub() = default;

Result<void, SystemError> ConnectionHub::listen(const std::string &Address,
                                                std::uint16_t Port) {
  if (auto Opened = openAcceptor(this->Acceptor, Address, Port); !Opened)
    return Opened;
  this->accept();
  return success();
}

void ConnectionHub::accept() {
  this->Acceptor.async_accept([this](const auto &Error, tcp::socket Socket) {
    if (Error == boost::asio::error::operation_aborted)
      return;
    if (!Error)
      this->addConnection(std::move(Socket), nullptr);
    this->accept();
  });
}

void ConnectionHub::keepConnected(const std::string &Address,
                                  std::uint16_t Port) {
  std::shared_ptr<OutboundPeer> &Slot = this->OutboundPeers[{Address, Port}];
  if (Slot)
    return;
  boost::system::error_code Error;
  const auto Ip = boost::asio::ip::make_address(Address, Error);
  if (Error) {
    logEvent("address_invalid", {{"address", Address}});
    this->OutboundPeers.erase({Address, Port});
    return;
  }
  Slot = std::make_shared<OutboundPeer>(this->Loop.context());
  Slot->Address = tcp::endpoint(Ip, Port);
  this->connect(Slot);
}

void ConnectionHub::setPeers(const Addresses &Peers) {
  Addresses Unwanted;
  for (const auto &[Address, Kept] : this->OutboundPeers) {
    if (Peers.count(Address) == 0)
      Unwanted.insert(Address);
  }
  for (const auto &Address : Unwanted)
    this->stopKeeping(Address);
  for (const auto &[Address, Port] : Peers)
    this->keepConnected(Address, Port);
}

void ConnectionHub::stopKeeping(
    const std::pair<std::string, std::uint16_t> &Address) {
  const auto Found = this->OutboundPeers.find(Address);
  if (Found == this->OutboundPeers.end())
    return;
  const ConnectionId Link = Found->second->OpenConnection;
  const auto Open = this->Connections.find(Link);
  if (Open != this->Connections.end())
    Open->second->Peer.reset();
  this->OutboundPeers.erase(Found);
  this->close(Link);
}

void ConnectionHub::connect(const std::shared_ptr<OutboundPeer> &Target) {
  Target->Socket = tcp::socket(this->Loop.context());
  Target->Timer.expires_after(ConnectTimeout);
  Target->Timer.async_wait(
      [Kept = std::weak_ptr<OutboundPeer>(Target)](const auto &Error) {
        const auto Address = Kept.lock();
        boost::system::error_code Ignored;
        if (Address && !Error)
          Address->Socket.close(Ignored);
      });
  // A handler may be queued already when the address is dropped.
  Target->Socket.async_connect(
      Target->Address,
      [this, Kept = std::weak_ptr<OutboundPeer>(Target)](const auto &Error) {
        const auto Address = Kept.lock();
        if (!Address)
          return;
        Address->Timer.cancel();
        if (Error || !Address->Socket.is_open()) {
          this->scheduleReconnect(Address);
          return;
        }
        Address->OpenConnection =
            this->addConnection(std::move(Address->Socket), Address);
      });
}

void ConnectionHub::scheduleReconnect(
    const std::shared_ptr<OutboundPeer> &Target) {
  Target->Timer.expires_after(ReconnectDelay);
  Target->Timer.async_wait(
      [this, Kept = std::weak_ptr<OutboundPeer>(Target)](const auto &Error) {
        const auto Address = Kept.lock();
        if (Address && !Error)
          this->connect(Address);
      });
}

ConnectionId
ConnectionHub::addConnection(tcp::socket Socket,
                             const std::shared_ptr<OutboundPeer> &Peer) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  auto Link = std::make_shared<Connection>(std::move(Socket));
  Link->Id = ConnectionId(this->NextId++);
  Link->Peer = Peer;
  Link->LastReceivedAt = this->Loop.now();
  this->Connections[Link->Id] = Link;
  this->read(*Link);
  this->Callbacks.onOpened(Link->Id);
  return Link->Id;
}

void ConnectionHub::read(Connection &Link) {
  const auto Kept = this->Connections[Link.Id];
  Link.Socket.async_read_some(
      boost::asio::buffer(Link.Input),
      [this, Kept](const auto &Error, std::size_t Count) {
        if (Error)
          this->close(Kept->Id);
        else
          this->handleBytes(Kept->Id, Count);
      });
}

void ConnectionHub::handleBytes(ConnectionId Id, std::size_t Count) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  const std::shared_ptr<Connection> Link = Found->second;
  Link->LastReceivedAt = this->Loop.now();
  Link->Reader.append(std::string_view(Link->Input.data(), Count));
  while (this->Connections.count(Id) > 0) {
    auto Payload = Link->Reader.next();
    if (!Payload) {
      logEvent("frame_invalid", {{"connection", std::to_string(Id.Value)}});
      this->close(Id);
      return;
    }
    if (!Payload.value())
      break;
    auto Body = decodeMessage(*Payload.value());
    if (!Body) {
      logEvent("message_invalid", {{"connection", std::to_string(Id.Value)}});
      this->close(Id);
      return;
    }
    this->Callbacks.onMessage(Id, std::move(Body.value()));
  }
  if (this->Connections.count(Id) > 0)
    this->readIfAllowed(*Link);
}

void ConnectionHub::readIfAllowed(Connection &Link) {
  Link.IsReadingPaused =
      !this->Callbacks.mayRead(Link.Id, Link.Reader.incompleteBytes());
  if (!Link.IsReadingPaused)
    this->read(Link);
}

void ConnectionHub::resumeReading() {
  for (const auto &[Id, Link] : this->Connections) {
    if (!Link->IsReadingPaused)
      continue;
    Link->LastReceivedAt = this->Loop.now();
    this->readIfAllowed(*Link);
  }
}

ConnectionHub::Frame ConnectionHub::encode(const Message &Body) {
  return std::make_shared<const std::string>(encodeFrame(Body));
}

void ConnectionHub::send(ConnectionId Id, const Message &Body) {
  if (this->Connections.count(Id) > 0)
    this->send(Id, encode(Body));
}

void ConnectionHub::send(ConnectionId Id, Frame Encoded) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  Connection &Link = *Found->second;
  if (Encoded->size() > MaxFrameBytes) {
    logEvent("message_too_large", {{"bytes", std::to_string(Encoded->size())}});
    return;
  }
  if (Link.QueuedBytes > this->MaxQueuedBytes) {
    logEvent("peer_too_slow",
             {{"connection", std::to_string(Id.Value)},
              {"queued_bytes", std::to_string(Link.QueuedBytes)}});
    this->Loop.post([this, Id] { this->close(Id); });
    return;
  }
  Link.QueuedBytes += Encoded->size();
  this->QueuedBytes += Encoded->size();
  Link.Queue.push_back(std::move(Encoded));
  this->write(Link);
}

std::size_t ConnectionHub::queuedBytes(ConnectionId Id) const {
  const auto Found = this->Connections.find(Id);
  return Found == this->Connections.end() ? 0 : Found->second->QueuedBytes;
}

void ConnectionHub::write(Connection &Link) {
  if (Link.Writing > 0 || Link.Queue.empty())
    return;
  std::vector<boost::asio::const_buffer> Parts;
  std::size_t Bytes = 0;
  for (const Frame &Each : Link.Queue) {
    if (Parts.size() == MaxFramesPerWrite || BytesPerWrite <= Bytes)
      break;
    Parts.push_back(boost::asio::buffer(*Each));
    Bytes += Each->size();
  }
  Link.Writing = Parts.size();
  this->SentBytes += Bytes;
  const auto Kept = this->Connections[Link.Id];
  boost::asio::async_write(
      Link.Socket, Parts, [this, Kept, Bytes](const auto &Error, std::size_t) {
        if (this->Connections.count(Kept->Id) == 0)
          return;
        if (Error) {
          this->close(Kept->Id);
          return;
        }
        Kept->Queue.erase(Kept->Queue.begin(),
                          Kept->Queue.begin() +
                              static_cast<std::ptrdiff_t>(Kept->Writing));
        Kept->Writing = 0;
        Kept->QueuedBytes -= Bytes;
        this->QueuedBytes -= Bytes;
        this->write(*Kept);
        this->Callbacks.onSent(Kept->Id);
      });
}

void ConnectionHub::close(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  const std::shared_ptr<Connection> Link = Found->second;
  this->Connections.erase(Found);
  this->QueuedBytes -= Link->QueuedBytes;
  boost::system::error_code Ignored;
  Link->Socket.close(Ignored);
  if (const auto Peer = Link->Peer.lock())
    this->scheduleReconnect(Peer);
  this->Callbacks.onClosed(Id);
}

void ConnectionHub::checkIdleConnections() {
  this->IdleTimer.expires_after(IdleCheckInterval);
  this->IdleTimer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    std::vector<ConnectionId> Idle;
    for (const auto &[Id, Link] : this->Connections) {
      if (!Link->IsReadingPaused &&
          this->Loop.now() - Link->LastReceivedAt >= this->IdleTimeout)
        Idle.push_back(Id);
    }
    for (const ConnectionId Id : Idle)
      this->close(Id);
    this->checkIdleConnections();
  });
}

bool ConnectionHub::isFlushed() const {
  for (const auto &[Id, Link] : this->Connections) {
    if (!Link->Queue.empty())
      return false;
  }
  return true;
}

void ConnectionHub::flush(Milliseconds Limit, std::function<void()> Done) {
  if (this->isFlushed() || Limit <= Milliseconds(0)) {
    Done();
    return;
  }
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(this->Loop.context());
  Timer->expires_after(FlushPollInterval);
  Timer->async_wait([this, Timer, Limit, Done](const auto &) {
    this->flush(Limit - FlushPollInterval, Done);
  });
}

} // namespace tanagerlanding
