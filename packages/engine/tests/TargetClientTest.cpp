/// Tests of TargetClient against a raw socket that acts as a target.
#include "tanagerlanding/engine/TargetClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace tanagerlanding;
using boost::asio::ip::tcp;

namespace {

/// Returns what a sidecar learns of a call whose target sends Bytes and closes.
SidecarEvent eventOf(CallKind Kind, const std::string &Bytes) {
  boost::asio::io_context Server;
  tcp::acceptor Acceptor(Server, {boost::asio::ip::address_v4::loopback(), 0});
  EventLoop Loop;
  std::optional<SidecarEvent> Event;
  TargetClient Client(Loop,
                      "http://127.0.0.1:" +
                          std::to_string(Acceptor.local_endpoint().port()),
                      ServiceName("app"), TargetKind::Service,
                      [&](SidecarEvent Seen) { Event = std::move(Seen); });
  DispatchAttempt Dispatch;
  Dispatch.Kind = Kind;
  Dispatch.Method = "POST";
  Dispatch.Path = "/x";
  Dispatch.Body = Kind == CallKind::Chat ? "[]" : "in";
  Dispatch.Deadline = Milliseconds(3000);
  Client.call(Dispatch);
  tcp::socket Peer = Acceptor.accept();
  std::string Head;
  boost::asio::read_until(Peer, boost::asio::dynamic_buffer(Head), "\r\n\r\n");
  boost::asio::write(Peer, boost::asio::buffer(Bytes));
  Peer.close();
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!Event && std::chrono::steady_clock::now() < Deadline) {
    Loop.context().restart();
    Loop.context().run_one_for(std::chrono::milliseconds(5));
  }
  REQUIRE(Event);
  return *Event;
}

} // namespace

// Guards against callers that get an impossible status, and against calls that
// are sent again although they may have run.
TEST_CASE("TargetClient: a target that answers with an impossible status may "
          "have run the call") {
  const auto Status = GENERATE(as<std::string>(), "000", "001", "099", "101",
                               "600", "999", "1000", "20", "2000", "2O0", "-1");
  const auto Kind = GENERATE(CallKind::Service, CallKind::Chat);
  CAPTURE(Status);
  const SidecarEvent Event =
      eventOf(Kind, "HTTP/1.1 " + Status + " X\r\nContent-Length: 2\r\n\r\nok");
  CHECK(std::holds_alternative<TargetConnectionLost>(Event));
}
