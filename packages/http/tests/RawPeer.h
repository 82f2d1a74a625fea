/// \file
/// Raw TCP peers for tests of HTTP connections.
#ifndef TANAGERLANDING_HTTP_TESTS_RAWPEER_H
#define TANAGERLANDING_HTTP_TESTS_RAWPEER_H

#include "tanagerlanding/runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace tanagerlanding::test {

/// Runs the loop until Condition holds; returns false after Limit.
inline bool runUntil(EventLoop &Loop, const std::function<bool()> &Condition,
                     Milliseconds Limit = Milliseconds(5000)) {
  const auto Deadline = std::chrono::steady_clock::now() + Limit;
  Loop.context().restart();
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > Deadline)
      return false;
    Loop.context().run_one_for(std::chrono::milliseconds(5));
    Loop.context().restart();
  }
  return true;
}

/// A raw TCP peer on loopback that collects the bytes it receives.
class RawPeer {
public:
  using tcp = boost::asio::ip::tcp;

  explicit RawPeer(EventLoop &Loop) : Socket(Loop.context()) {}

  void connect(std::uint16_t Port) {
    this->Socket.connect(
        tcp::endpoint(boost::asio::ip::address_v4::loopback(), Port));
    this->read();
  }

  void read() {
    this->Socket.async_read_some(boost::asio::buffer(this->Input),
                                 [this](const auto &Error, std::size_t Count) {
                                   this->Received.append(this->Input.data(),
                                                         Count);
                                   this->End = Error;
                                   if (Error)
                                     this->IsClosed = true;
                                   else
                                     this->read();
                                 });
  }

  void send(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(this->Socket, boost::asio::buffer(Bytes), Ignored);
  }

  bool has(const std::string &Text) const {
    return this->Received.find(Text) != std::string::npos;
  }

  tcp::socket Socket;
  std::string Received;
  bool IsClosed = false;
  /// How the connection ended; no error while it is open.
  boost::system::error_code End;

private:
  std::array<char, 4096> Input{};
};

/// Returns a loopback port that is currently free.
inline std::uint16_t freeTestPort(EventLoop &Loop) {
  boost::asio::ip::tcp::acceptor Probe(
      Loop.context(), {boost::asio::ip::address_v4::loopback(), 0});
  return Probe.local_endpoint().port();
}

} // namespace tanagerlanding::test

#endif
