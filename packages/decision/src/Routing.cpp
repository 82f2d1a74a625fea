#include "Routing.h"

#include <algorithm>
#include <random>

namespace tanagerlanding {

namespace {

/// Number of attempts that may be queued at a target in addition to those that
/// run.
constexpr std::uint32_t TargetQueueAllowance = 32;

/// Returns the number of attempts at a target. Reports are delayed: this
/// entry's own attempts are known exactly, so only the share of other entries
/// is taken from the report.
std::uint32_t loadOf(const TargetView &Target) {
  const std::uint32_t Reported = Target.Running + Target.Queued;
  const std::uint32_t Others =
      Reported > Target.OwnAtReport ? Reported - Target.OwnAtReport : 0;
  return Others + Target.OwnOutstanding;
}

bool isUsable(const EntryState &State, const HostId &Host) {
  const auto Spec = State.Accepted.Hosts.find(Host);
  const auto Peer = State.Peers.find(Host);
  const auto Target = State.Targets.find(Host);
  if (Spec == State.Accepted.Hosts.end() || Spec->second.IsDrained)
    return false;
  if (Peer == State.Peers.end() || !Peer->second.IsConnected)
    return false;
  return Target != State.Targets.end() && Target->second.IsHealthy &&
         !Target->second.IsLeaving && !Peer->second.IsLeaving;
}

/// Chooses among usable targets, one overload for each policy.
class TargetChooser {
public:
  TargetChooser(EntryState &State, const RoutingRequest &Request,
                const std::vector<HostId> &Usable)
      : State(State), Request(Request), Usable(Usable) {}

  HostId operator()(const RoundRobin &) {
    return this->Usable[this->State.RoundRobinNext++ % this->Usable.size()];
  }

  HostId operator()(const LeastRequests &) {
    return this->least([&](const HostId &Host) {
      const TargetView &Target = this->State.Targets[Host];
      return static_cast<double>(Target.Running + Target.Queued);
    });
  }

  HostId operator()(const PrefixAffinity &) {
    if (this->isPrefixTargetUsable())
      return this->Request.PrefixTarget;
    return (*this)(LeastRequests{});
  }

  HostId operator()(const LeastExpectedFinish &Policy) {
    std::vector<HostId> Candidates = this->sample(Policy.Samples);
    if (this->isPrefixTargetUsable())
      Candidates.push_back(this->Request.PrefixTarget);
    return *std::min_element(Candidates.begin(), Candidates.end(),
                             [&](const HostId &A, const HostId &B) {
                               return this->expectedMillis(A) <
                                      this->expectedMillis(B);
                             });
  }

private:
  template <typename Score> HostId least(Score ScoreOf) {
    return *std::min_element(this->Usable.begin(), this->Usable.end(),
                             [&](const HostId &A, const HostId &B) {
                               return ScoreOf(A) < ScoreOf(B);
                             });
  }

  bool isPrefixTargetUsable() const {
    return std::find(this->Usable.begin(), this->Usable.end(),
                     this->Request.PrefixTarget) != this->Usable.end();
  }

  std::vector<HostId> sample(std::uint32_t Count) {
    std::vector<HostId> Chosen;
    std::sample(this->Usable.begin(), this->Usable.end(),
                std::back_inserter(Chosen), Count, this->State.Random);
    std::shuffle(Chosen.begin(), Chosen.end(), this->State.Random);
    return Chosen;
  }

  /// Returns the expected time in milliseconds until the answer: the attempt's
  /// duration, which grows with the load of the batch, the wait behind attempts
  /// that do not fit into the batch, and the time to recompute the prefix.
  double expectedMillis(const HostId &Host) {
    const TargetView &Target = this->State.Targets[Host];
    const double Load = loadOf(Target);
    const double Capacity = Target.Capacity;
    const double Wait = std::max(0.0, Load - Capacity + 1) / Capacity;
    const double Crowding = std::min(1.0, Load / Capacity);
    double Millis = Target.AverageMillis * (1 + Crowding + Wait);
    if (Host != this->Request.PrefixTarget)
      Millis += static_cast<double>(this->Request.PrefixBytes) *
                this->State.Options.PrefillMicrosPerByte / 1000;
    return Millis;
  }

  EntryState &State;
  const RoutingRequest &Request;
  const std::vector<HostId> &Usable;
};

} // namespace

RoutingChoice chooseTarget(EntryState &State, const RoutingRequest &Request) {
  RoutingChoice Choice;
  const auto Known = State.TargetsByService.find(Request.Service);
  if (Known == State.TargetsByService.end())
    return Choice;
  std::vector<HostId> Usable;
  for (const HostId &Host : Known->second) {
    if (Request.TriedTargets.count(Host) > 0 || !isUsable(State, Host))
      continue;
    const TargetView &Target = State.Targets[Host];
    if (loadOf(Target) >= Target.Capacity + TargetQueueAllowance) {
      Choice.Reason = CallError::QueueFull;
      continue;
    }
    Usable.push_back(Host);
  }
  if (Usable.empty())
    return Choice;
  Choice.Target =
      std::visit(TargetChooser(State, Request, Usable), State.Options.Policy);
  return Choice;
}

} // namespace tanagerlanding
