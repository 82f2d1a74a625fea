#include "StartDecisions.h"

#include <algorithm>
#include <cmath>

namespace tanagerlanding {

namespace {

/// The part of the slots that programs which can't meet their deadline leave
/// for others. Without it they would fill the service after a burst, and those
/// that come next would wait for them.
constexpr double ReservedSlotShare = 0.25;

/// Drops the grants that a relay has received, which are part of what it
/// reports, and those that it can't have used any more.
void dropSettledGrants(const LedgerState &State, RelayStarts &Relay,
                       std::uint64_t LastGrant) {
  auto &Open = Relay.Unconfirmed;
  while (!Open.empty() &&
         (Open.front().Sequence <= LastGrant ||
          State.Options.StartGrantLifetime <= State.Now - Open.front().At))
    Open.pop_front();
}

std::uint32_t waitingOf(const RelayStarts &Relay) {
  std::uint32_t Sum = 0;
  for (const WaitingStarts &Each : Relay.Report.Waiting)
    Sum += Each.Count;
  return Sum;
}

/// Returns the slots of a service. A relay that does not know all targets yet
/// reports fewer.
double slotsOf(const ServiceStarts &Service) {
  std::uint32_t Slots = 0;
  for (const auto &[Host, Relay] : Service.Relays)
    Slots = std::max(Slots, Relay.Report.Slots);
  return Slots;
}

/// Returns the turns in flight at all relays, and the starts that were granted
/// since they reported.
double useOf(const ServiceStarts &Service) {
  double Used = 0;
  for (const auto &[Host, Relay] : Service.Relays) {
    Used += Relay.Report.InFlight;
    for (const SentStartGrant &Each : Relay.Unconfirmed)
      Used += Each.Count;
  }
  return Used;
}

void updateAverageUse(const LedgerState &State, ServiceStarts &Service) {
  const auto Passed =
      static_cast<double>((State.Now - Service.AveragedAt).count());
  const auto Window = static_cast<double>(State.Options.StartUseWindow.count());
  const double Weight = 1 - std::exp(-Passed / Window);
  Service.AverageUse += Weight * (useOf(Service) - Service.AverageUse);
  Service.AveragedAt = State.Now;
}

/// Returns the starts that still fit: the slots up to the load limit, less what
/// is used. A short drop below the average leaves no room, since it is only
/// that many programs pause at once.
double freeStarts(const ServiceStarts &Service) {
  double Limits = 0;
  for (const auto &[Host, Relay] : Service.Relays)
    Limits += Relay.Report.LoadLimit;
  return slotsOf(Service) * Limits /
             static_cast<double>(Service.Relays.size()) -
         std::max(useOf(Service), Service.AverageUse);
}

/// Returns how many of a relay's waiting starts of one priority to grant, if
/// Free of all relays fit: those of other relays that are more urgent come
/// first, and those of the same priority get their part.
std::uint32_t shareOfRelay(const ServiceStarts &Service, const HostId &Peer,
                           const WaitingStarts &Wanted, double Free) {
  double Before = 0;
  double Same = Wanted.Count;
  for (const auto &[Host, Relay] : Service.Relays) {
    if (Host == Peer)
      continue;
    for (const WaitingStarts &Each : Relay.Report.Waiting) {
      Before += Each.Priority < Wanted.Priority ? Each.Count : 0;
      Same += Each.Priority == Wanted.Priority ? Each.Count : 0;
    }
  }
  const double Reserved = Wanted.Priority == OverdueStartPriority
                              ? ReservedSlotShare * slotsOf(Service)
                              : 0;
  const double Left = Free - Before - Reserved;
  if (Left < 1)
    return 0;
  const double Part = std::max(1.0, Left * Wanted.Count / Same);
  return std::min(Wanted.Count,
                  static_cast<std::uint32_t>(std::floor(std::min(Left, Part))));
}

/// Returns how long all waiting starts take at the rate of the last grants.
Milliseconds timeToNextStart(const LedgerState &State,
                             const ServiceStarts &Service) {
  double Waiting = 0;
  for (const auto &[Host, Relay] : Service.Relays)
    Waiting += waitingOf(Relay);
  const double Rate =
      Service.Granted.ratePerSecond(State.Now, State.Options.RateHalfLife);
  const double Seconds =
      Waiting / std::max(Rate, State.Options.MinStartsPerSecond);
  return std::min(State.Options.MaxStartDelay,
                  Milliseconds(static_cast<std::int64_t>(1000 * Seconds)));
}

} // namespace

void handleStartRequest(LedgerContext &Context, const HostId &Peer,
                        const ProgramStartRequest &Request) {
  LedgerState &State = Context.State;
  ServiceStarts &Service = State.Starts[Request.Service];
  RelayStarts &Relay = Service.Relays[Peer];
  Relay.Report = Request;
  Relay.ReportedAt = State.Now;
  dropSettledGrants(State, Relay, Request.LastGrant);
  updateAverageUse(State, Service);
  ProgramStartGrant Answer;
  Answer.Service = Request.Service;
  Answer.AskedAt = Request.AskedAt;
  Answer.Sequence = ++Service.LastSequence;
  double Free = freeStarts(Service);
  for (WaitingStarts &Each : Relay.Report.Waiting) {
    const std::uint32_t Granted = shareOfRelay(Service, Peer, Each, Free);
    Answer.Count += Granted;
    Each.Count -= Granted;
    Free -= Granted;
  }
  if (Answer.Count > 0) {
    Relay.Unconfirmed.push_back(
        SentStartGrant{Answer.Sequence, State.Now, Answer.Count});
    Service.Granted.add(Answer.Count, State.Now, State.Options.RateHalfLife);
    Context.add(
        CountMetric{"ledger_program_starts_total", "granted", Answer.Count});
  }
  if (waitingOf(Relay) > 0)
    Answer.NextIn = timeToNextStart(State, Service);
  Context.send(Peer, std::move(Answer));
}

void expireStartReports(LedgerState &State) {
  for (auto Service = State.Starts.begin(); Service != State.Starts.end();) {
    auto &Relays = Service->second.Relays;
    for (auto Each = Relays.begin(); Each != Relays.end();) {
      dropSettledGrants(State, Each->second, 0);
      const bool IsLost = State.Options.StartReportLifetime <=
                          State.Now - Each->second.ReportedAt;
      Each = IsLost ? Relays.erase(Each) : std::next(Each);
    }
    Service = Relays.empty() ? State.Starts.erase(Service) : std::next(Service);
  }
}

} // namespace tanagerlanding
