#include "ConfigurationVouching.h"

namespace tanagerlanding {

namespace {

/// Returns whether a vouch would renew the relay's proof by less than
/// MinVouchInterval. A relay that was restarted has another clock, whose times
/// may be lower.
bool isVouchedRecently(const LedgerState &State, const RelayClock &Clock) {
  return Clock.VouchedFor && *Clock.VouchedFor <= *Clock.AtQuery &&
         *Clock.AtQuery - *Clock.VouchedFor < State.Options.MinVouchInterval;
}

} // namespace

void recordRelayClock(LedgerContext &Context, const HostId &Relay,
                      const Heartbeat &Beat) {
  if (!Beat.SentAt)
    return;
  LedgerState &State = Context.State;
  RelayClock &Clock = State.RelayClocks[Relay];
  Clock.SentAt = *Beat.SentAt;
  Clock.ReceivedAt = State.Now;
}

void beginVouching(LedgerContext &Context) {
  LedgerState &State = Context.State;
  for (auto Each = State.RelayClocks.begin();
       Each != State.RelayClocks.end();) {
    RelayClock &Clock = Each->second;
    const bool IsGone =
        State.Options.RelayClockRetention < State.Now - Clock.ReceivedAt;
    Clock.AtQuery = Clock.SentAt;
    Each = IsGone ? State.RelayClocks.erase(Each) : std::next(Each);
  }
}

void vouchToRelays(LedgerContext &Context) {
  LedgerState &State = Context.State;
  // Without a configuration there is nothing to vouch for.
  if (State.ConfigurationKeyRevision.Value == 0)
    return;
  for (auto &[Relay, Clock] : State.RelayClocks) {
    if (!Clock.AtQuery || isVouchedRecently(State, Clock))
      continue;
    Clock.VouchedFor = Clock.AtQuery;
    Context.send(Relay, ConfigurationVouch{State.ConfigurationKeyRevision,
                                           *Clock.AtQuery});
    Context.count("ledger_configuration_vouches_total", "sent");
  }
}

} // namespace tanagerlanding
