/// \file
/// The load of targets as known to a relay: from its own answers, and from what
/// other relays have learned, which a ledger replica gathers and passes on.
#ifndef TANAGERLANDING_DECISION_RELAY_TARGETLOADS_H
#define TANAGERLANDING_DECISION_RELAY_TARGETLOADS_H

#include "RelayContext.h"

namespace tanagerlanding {

/// The load of one target by a recent report.
struct KnownTargetLoad {
  /// Requests that run and wait at the target: those of the report, and those
  /// sent and ended since, as far as known. At least the relay's own.
  double Running = 0;
  double Waiting = 0;
  double Slots = 0;
  /// The time since the report.
  Milliseconds Age{0};

  double requests() const { return this->Running + this->Waiting; }
};

/// The load of all targets of a service that are not leaving.
struct ServiceLoad {
  double Running = 0;
  double Waiting = 0;
  double Slots = 0;
  std::size_t Targets = 0;
  /// Targets with a recent report. For the others the average of these is
  /// assumed.
  std::size_t KnownTargets = 0;

  double requests() const { return this->Running + this->Waiting; }
};

/// Returns the load of a target; absent without a recent report.
std::optional<KnownTargetLoad> knownLoadOf(const RelayState &State,
                                           const RelayTarget &Target);

/// Returns the requests at a target that are not this relay's own; 0 without a
/// recent report.
double externalLoadOf(const RelayState &State, const RelayTarget &Target);

/// Returns the average load from outside this relay over the targets of a
/// service with a recent report. It is the estimate for the other targets.
double averageExternalLoad(const RelayState &State, const ServiceName &Service);

/// Returns whether a recent report of any target of a service is known.
bool hasLoadReports(const RelayState &State, const ServiceName &Service);

/// Returns the requests at a target, for which the average is assumed without a
/// recent report.
double loadOf(const RelayState &State, const RelayTarget &Target,
              double AverageExternalLoad);

/// Returns the load of a whole service.
ServiceLoad loadOfService(const RelayState &State, const ServiceName &Service);

/// Returns the slots that a target states or, if it states none, is registered
/// with.
double slotsOf(const RelayState &State, const RelayTarget &Target);

/// Returns how many times longer than usual work takes at a target at the
/// moment; 1 if unknown.
double currentSlowdownOf(const RelayState &State, const RelayTarget &Target);

/// Returns whether what other relays know was received recently. Otherwise
/// loads are known from this relay's own answers only.
bool hasRecentLoadView(const RelayState &State);

/// Records what an answer states about the load of its target.
void recordStatedLoad(RelayContext &Context, const RelayCall &Call,
                      const TargetAnswerHead &Head);

/// Counts an attempt that is sent to a target, or that has ended there.
void recordSend(RelayState &State, RelayTarget &Target);
void recordEnd(RelayState &State, RelayTarget &Target);

/// Forgets the load of a target of which another process was registered, and
/// makes its rows recognizable by their key. To be called again when the target
/// is removed, with IsRemoved.
void resetTargetLoad(RelayState &State, RelayTarget &Target, bool IsRemoved);

/// Sends what is new to the replica that gathers loads.
void reportTargetLoads(RelayContext &Context);

void handleTargetLoadView(RelayContext &Context, const HolderId &Holder,
                          const TargetLoadView &View);

/// Waits anew for messages of the gathering replica, after this process has
/// stalled.
void resetLoadViewTimer(RelayState &State);

} // namespace tanagerlanding

#endif
