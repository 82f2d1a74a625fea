#include "ConfigurationBroadcast.h"

#include "tanagerlanding/runtime.h"

#include <set>

namespace tanagerlanding {

namespace {

constexpr Milliseconds BroadcastTimeout{1500};
constexpr Milliseconds FlushTimeout{500};

/// Sends a configuration to every entry once its Hello arrives.
class ConfigurationBroadcaster : private ConnectionHub::Listener {
public:
  explicit ConfigurationBroadcaster(const ConfigOffer &Offer)
      : Offer(Offer), Hub(Loop, *this), Timers(Loop) {}

  std::size_t run(const Inventory &Hosts) {
    for (const auto &[Name, Host] : Hosts.Hosts) {
      if (Host.Role != HostRole::Entry)
        continue;
      ++this->EntryCount;
      this->Hub.keepConnected(Host.Address, Host.Port);
    }
    this->Timers.subscribe(BroadcastTimeout,
                           [this](Instant) { this->finish(); });
    this->Loop.run();
    return this->NotifiedEntries.size();
  }

private:
  void onOpened(ConnectionId) override {}

  void onMessage(ConnectionId Id, Message Body) override {
    const auto *Received = std::get_if<Hello>(&Body);
    if (!Received || !this->NotifiedEntries.insert(Received->Host).second)
      return;
    // A Hello without a host name identifies this side as an operator's tool.
    this->Hub.send(Id, Hello());
    this->Hub.send(Id, this->Offer);
    if (this->NotifiedEntries.size() == this->EntryCount)
      this->finish();
  }

  void onClosed(ConnectionId) override {}

  void finish() {
    this->Hub.flush(FlushTimeout, [this] { this->Loop.stop(); });
  }

  const ConfigOffer &Offer;
  EventLoop Loop;
  ConnectionHub Hub;
  TimerService Timers;
  std::size_t EntryCount = 0;
  std::set<HostId> NotifiedEntries;
};

} // namespace

std::size_t broadcastConfiguration(const Inventory &Hosts,
                                   const ConfigOffer &Offer) {
  return ConfigurationBroadcaster(Offer).run(Hosts);
}

} // namespace tanagerlanding
