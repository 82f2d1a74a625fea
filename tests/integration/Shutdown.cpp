/// A relay that is stopped while requests take longer than its grace period, or
/// arrive late in it: each one gets an answer, and a late one is not run.
#include "PlatformSite.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

using namespace tanagerlanding::test;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds GracePeriod{8000};
/// Longer than the grace period, like the time that callers have.
constexpr milliseconds RunTime{10000};
/// In which a relay still accepts connections after SIGTERM.
constexpr milliseconds AcceptPeriod{3200};

/// A connection whose request is completed only when the test wants it.
class SlowCaller {
public:
  SlowCaller(std::uint16_t Port, const std::string &Id) : Socket(Context) {
    this->Socket.connect({boost::asio::ip::address_v4::loopback(), Port});
    this->write(
        "POST /once/x HTTP/1.1\r\nHost: " + std::string(PlatformSite::Host) +
        "\r\nRequest-Id: " + Id + "\r\nContent-Length: 2\r\n\r\n");
  }

  void complete() { this->write("in"); }

  /// Returns the status of the response, or 0 if there was none.
  int status() {
    boost::system::error_code Error;
    boost::asio::streambuf Input;
    boost::asio::read_until(this->Socket, Input, "\r\n", Error);
    std::istream Reader(&Input);
    std::string Version;
    int Status = 0;
    Reader >> Version >> Status;
    return Status;
  }

private:
  void write(const std::string &Bytes) {
    boost::asio::write(this->Socket, boost::asio::buffer(Bytes));
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket;
};

std::string configurationWithLongTimeouts() {
  auto Document = nlohmann::json::parse(PlatformSite::configuration(2));
  for (auto &Route : Document["routes"])
    Route["timeoutMs"] = 2 * RunTime.count();
  return Document.dump();
}

/// Sends a request whose caller waits for longer than the grace period.
Response sendPatiently(const PlatformSite &Site, const std::string &Id) {
  Request Call;
  Call.Method = "POST";
  Call.Url =
      "http://127.0.0.1:" + std::to_string(Site.CallerPorts[0]) + "/once/x";
  Call.Headers = {std::string("Host: ") + PlatformSite::Host,
                  "Request-Id: " + Id};
  Call.Body = "input";
  return send(Call);
}

bool hasRun(PlatformSite &Site, const std::string &Id) {
  const auto HasId = [&Id](const auto &Run) { return Run.RequestId == Id; };
  const auto First = Site.FirstWorker.runs();
  const auto Second = Site.SecondWorker.runs();
  return std::any_of(First.begin(), First.end(), HasId) ||
         std::any_of(Second.begin(), Second.end(), HasId);
}

} // namespace

TEST_CASE("Shutdown: no request that a stopping relay has read ends without an "
          "answer, and none that came late runs") {
  PlatformSite Site;
  Site.Store.put("op/config", configurationWithLongTimeouts());
  std::this_thread::sleep_for(milliseconds(1500));
  for (WorkerStandin *Each : {&Site.FirstWorker, &Site.SecondWorker})
    Each->setDelay(RunTime);
  auto Running = std::async(std::launch::async,
                            [&] { return sendPatiently(Site, "running"); });
  REQUIRE(waitFor([&] { return hasRun(Site, "running"); }));
  SlowCaller Late(Site.CallerPorts[0], "late");
  Site.Relays[0].signal(SIGTERM);
  std::this_thread::sleep_for(AcceptPeriod + milliseconds(500));
  Late.complete();
  CHECK(Late.status() == 503);
  // It may have run, so nothing may promise the contrary.
  CHECK(Running.get().Status == 502);
  CHECK(Site.Relays[0].awaitExit(GracePeriod) == 0);
  CHECK_FALSE(hasRun(Site, "late"));
}
