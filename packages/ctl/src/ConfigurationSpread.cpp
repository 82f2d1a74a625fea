#include "ConfigurationSpread.h"

#include "tanagerlanding/runtime.h"

#include <set>

namespace tanagerlanding {

namespace {

constexpr Milliseconds SpreadLimit{1500};
constexpr Milliseconds FlushLimit{500};

/// Sends a configuration to every entry once its Hello arrives.
class ConfigurationSpreader : private ConnectionHub::Listener {
public:
  explicit ConfigurationSpreader(const ConfigOffer &Offer)
      : Offer(Offer), Hub(Loop, *this), Timers(Loop) {}

  std::size_t run(const Inventory &Hosts) {
    for (const auto &[Name, Host] : Hosts.Hosts) {
      if (Host.Role != HostRole::Entry)
        continue;
      ++this->Wanted;
      this->Hub.keepConnected(Host.Address, Host.Port);
    }
    this->Timers.subscribe(SpreadLimit, [this](Instant) { this->finish(); });
    this->Loop.run();
    return this->Told.size();
  }

private:
  void onOpened(ConnectionId) override {}

  void onMessage(ConnectionId Id, Message Body) override {
    const auto *Greeting = std::get_if<Hello>(&Body);
    if (!Greeting || !this->Told.insert(Greeting->Host).second)
      return;
    // A Hello without a host name identifies this side as an operator's tool.
    this->Hub.send(Id, Hello());
    this->Hub.send(Id, this->Offer);
    if (this->Told.size() == this->Wanted)
      this->finish();
  }

  void onClosed(ConnectionId) override {}

  void finish() {
    this->Hub.flush(FlushLimit, [this] { this->Loop.stop(); });
  }

  const ConfigOffer &Offer;
  EventLoop Loop;
  ConnectionHub Hub;
  TimerService Timers;
  std::size_t Wanted = 0;
  std::set<HostId> Told;
};

} // namespace

std::size_t spreadConfiguration(const Inventory &Hosts,
                                const ConfigOffer &Offer) {
  return ConfigurationSpreader(Offer).run(Hosts);
}

} // namespace tanagerlanding
