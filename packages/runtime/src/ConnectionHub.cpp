#include "tanagerlanding/runtime/ConnectionHub.h"

#include "tanagerlanding/runtime/Listening.h"
#include "tanagerlanding/runtime/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace tanagerlanding {

namespace {

using boost::asio::ip::tcp;

constexpr Milliseconds IdleCheckInterval{250};
constexpr Milliseconds RedialPause{100};
/// TCP retransmits a lost SYN packet only after seconds; a new connection
/// attempt is faster once the network path is restored.
constexpr Milliseconds DialLimit{600};
constexpr Milliseconds FlushCheckInterval{5};
constexpr std::size_t ReadBytes = 64 * 1024;
constexpr std::size_t MaxQueuedBytes = 256 * 1024 * 1024;

} // namespace

/// An open connection.
struct ConnectionHub::Connection {
  explicit Connection(tcp::socket Socket) : Socket(std::move(Socket)) {}

  ConnectionId Id;
  tcp::socket Socket;
  /// The address to reconnect to, if this side opened the connection.
  std::weak_ptr<Dialler> Origin;
  FrameReader Reader;
  std::array<char, ReadBytes> Input{};
  std::string Writing;
  std::string Queued;
  bool IsWriting = false;
  Instant LastHeard;
};

/// An address to which a connection is maintained.
struct ConnectionHub::Dialler {
  explicit Dialler(boost::asio::io_context &Context)
      : Socket(Context), Timer(Context) {}

  tcp::endpoint Address;
  tcp::socket Socket;
  boost::asio::steady_timer Timer;
  ConnectionId Link;
};

ConnectionHub::ConnectionHub(EventLoop &Loop, Listener &Heard,
                             Milliseconds IdleLimit)
    : Loop(Loop), Heard(Heard), IdleLimit(IdleLimit), Acceptor(Loop.context()),
      IdleTimer(Loop.context()) {
  this->watchIdle();
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
      this->adopt(std::move(Socket), nullptr);
    this->accept();
  });
}

void ConnectionHub::keepConnected(const std::string &Address,
                                  std::uint16_t Port) {
  std::shared_ptr<Dialler> &Slot = this->Diallers[{Address, Port}];
  if (Slot)
    return;
  boost::system::error_code Error;
  const auto Ip = boost::asio::ip::make_address(Address, Error);
  if (Error) {
    logEvent("address_invalid", {{"address", Address}});
    this->Diallers.erase({Address, Port});
    return;
  }
  Slot = std::make_shared<Dialler>(this->Loop.context());
  Slot->Address = tcp::endpoint(Ip, Port);
  this->dial(Slot);
}

void ConnectionHub::keepOnly(const Addresses &Wanted) {
  Addresses Unwanted;
  for (const auto &[Address, Kept] : this->Diallers) {
    if (Wanted.count(Address) == 0)
      Unwanted.insert(Address);
  }
  for (const auto &Address : Unwanted)
    this->dropConnected(Address);
  for (const auto &[Address, Port] : Wanted)
    this->keepConnected(Address, Port);
}

void ConnectionHub::dropConnected(
    const std::pair<std::string, std::uint16_t> &Address) {
  const auto Found = this->Diallers.find(Address);
  if (Found == this->Diallers.end())
    return;
  const ConnectionId Link = Found->second->Link;
  const auto Open = this->Connections.find(Link);
  if (Open != this->Connections.end())
    Open->second->Origin.reset();
  this->Diallers.erase(Found);
  this->close(Link);
}

void ConnectionHub::dial(const std::shared_ptr<Dialler> &Target) {
  Target->Socket = tcp::socket(this->Loop.context());
  Target->Timer.expires_after(DialLimit);
  Target->Timer.async_wait(
      [Kept = std::weak_ptr<Dialler>(Target)](const auto &Error) {
        const auto Address = Kept.lock();
        boost::system::error_code Ignored;
        if (Address && !Error)
          Address->Socket.close(Ignored);
      });
  // A handler may be queued already when the address is dropped.
  Target->Socket.async_connect(
      Target->Address,
      [this, Kept = std::weak_ptr<Dialler>(Target)](const auto &Error) {
        const auto Address = Kept.lock();
        if (!Address)
          return;
        Address->Timer.cancel();
        if (Error || !Address->Socket.is_open()) {
          this->redial(Address);
          return;
        }
        Address->Link = this->adopt(std::move(Address->Socket), Address);
      });
}

void ConnectionHub::redial(const std::shared_ptr<Dialler> &Target) {
  Target->Timer.expires_after(RedialPause);
  Target->Timer.async_wait(
      [this, Kept = std::weak_ptr<Dialler>(Target)](const auto &Error) {
        const auto Address = Kept.lock();
        if (Address && !Error)
          this->dial(Address);
      });
}

ConnectionId ConnectionHub::adopt(tcp::socket Socket,
                                  const std::shared_ptr<Dialler> &Origin) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  auto Link = std::make_shared<Connection>(std::move(Socket));
  Link->Id = ConnectionId(this->NextId++);
  Link->Origin = Origin;
  Link->LastHeard = this->Loop.now();
  this->Connections[Link->Id] = Link;
  this->read(*Link);
  this->Heard.onOpened(Link->Id);
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
  Link->LastHeard = this->Loop.now();
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
    this->Heard.onMessage(Id, std::move(Body.value()));
  }
  if (this->Connections.count(Id) > 0)
    this->read(*Link);
}

void ConnectionHub::send(ConnectionId Id, const Message &Body) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  Connection &Link = *Found->second;
  const std::string Payload = encodeMessage(Body);
  if (Payload.size() > MaxFrameBytes) {
    logEvent("message_too_large", {{"bytes", std::to_string(Payload.size())}});
    return;
  }
  Link.Queued += makeFrame(Payload);
  if (Link.Queued.size() > MaxQueuedBytes) {
    logEvent("peer_too_slow", {{"connection", std::to_string(Id.Value)}});
    this->Loop.post([this, Id] { this->close(Id); });
    return;
  }
  this->write(Link);
}

void ConnectionHub::write(Connection &Link) {
  if (Link.IsWriting || Link.Queued.empty())
    return;
  Link.IsWriting = true;
  Link.Writing.swap(Link.Queued);
  Link.Queued.clear();
  this->SentBytes += Link.Writing.size();
  const auto Kept = this->Connections[Link.Id];
  boost::asio::async_write(Link.Socket, boost::asio::buffer(Link.Writing),
                           [this, Kept](const auto &Error, std::size_t) {
                             Kept->IsWriting = false;
                             if (Error)
                               this->close(Kept->Id);
                             else if (this->Connections.count(Kept->Id) > 0)
                               this->write(*Kept);
                           });
}

void ConnectionHub::close(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  const std::shared_ptr<Connection> Link = Found->second;
  this->Connections.erase(Found);
  boost::system::error_code Ignored;
  Link->Socket.close(Ignored);
  if (const auto Origin = Link->Origin.lock())
    this->redial(Origin);
  this->Heard.onClosed(Id);
}

void ConnectionHub::watchIdle() {
  this->IdleTimer.expires_after(IdleCheckInterval);
  this->IdleTimer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    std::vector<ConnectionId> Idle;
    for (const auto &[Id, Link] : this->Connections) {
      if (this->Loop.now() - Link->LastHeard >= this->IdleLimit)
        Idle.push_back(Id);
    }
    for (const ConnectionId Id : Idle)
      this->close(Id);
    this->watchIdle();
  });
}

bool ConnectionHub::isFlushed() const {
  for (const auto &[Id, Link] : this->Connections) {
    if (Link->IsWriting || !Link->Queued.empty())
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
  Timer->expires_after(FlushCheckInterval);
  Timer->async_wait([this, Timer, Limit, Done](const auto &) {
    this->flush(Limit - FlushCheckInterval, Done);
  });
}

} // namespace tanagerlanding
