/// \file
/// Queues calls at the relay until a target has capacity, and orders them by
/// urgency and deadline.
#ifndef TANAGERLANDING_DECISION_RELAY_CALLQUEUE_H
#define TANAGERLANDING_DECISION_RELAY_CALLQUEUE_H

#include "RelayContext.h"

namespace tanagerlanding {

/// The classes in which calls are scheduled, most urgent first.
///
/// Scheduling aims to finish whole programs within their deadlines. If more
/// programs start than the targets can serve, serving turns in order of arrival
/// would make all programs miss their deadlines, so programs in progress take
/// precedence over new ones.
enum class SchedulingClass : std::uint8_t {
  /// Belongs to no program with a deadline, or to one that is in progress and
  /// within its deadline. Includes calls whose answer has begun or that have
  /// been queued for the longest time allowed.
  InProgress,
  /// The first turn of a program that can still meet its deadline.
  Starting,
  /// The program's deadline has passed, or its first turn has been queued for
  /// too long to meet it.
  Overdue,
};

/// Returns whether starts of programs are limited and the queue is ordered by
/// priority and team: where the configuration has teams, which compete for the
/// same targets.
bool hasOverloadControl(const RelayState &State);

SchedulingClass schedulingClassOf(const RelayState &State,
                                  const RelayCall &Call);

/// Returns whether a call is queued and has been for the longest time allowed.
bool hasReachedQueueTimeLimit(const RelayState &State, const RelayCall &Call);

/// Returns the load of a target, in requests per slot, below which it may get
/// this call.
double loadLimitOf(const RelayState &State, const RelayCall &Call);

/// Returns whether a queued call of the same service waits for a permit and is
/// more urgent than this call.
bool isBehindAwaitingCall(const RelayState &State, const RelayCall &Call);

/// Returns whether a call is the first turn of a program, as far as the ledger
/// and this relay know.
bool isStart(const RelayState &State, const RelayCall &Call);

/// Returns whether a call is such a turn and overload control limits it.
bool isLimitedStart(const RelayState &State, const RelayCall &Call);

/// Returns how long the first turn of a program may be queued. Later the
/// program would miss its deadline even on idle targets.
Milliseconds startDelayLimitOf(const RelayState &State, const RelayCall &Call);

/// Returns whether the first turn of a program may be queued: at the recent
/// rate of starts it is expected to be dispatched within startDelayLimitOf().
/// Answers bursts of new programs: what can't be started in time is refused at
/// once.
bool mayQueueStart(const RelayState &State, const RelayCall &Call);

/// Returns the load of a service, in requests per slot, that is expected once
/// the programs started recently have as many turns in progress as others: the
/// present load, scaled by the growth of the rate of starts.
double expectedLoadPerSlot(const RelayState &State, const ServiceName &Service);

/// Removes the counts of teams that have sent no turns for a while.
void expireTeamTurns(RelayState &State);

/// Counts a turn that is sent, for its team and among the starts of its
/// service.
void recordTurn(RelayState &State, const RelayCall &Call);

/// Returns how long a call would be queued behind the more urgent ones of its
/// service at the rate at which they have been sent recently; absent if too few
/// were to tell.
std::optional<Milliseconds> expectedQueueTime(const RelayState &State,
                                              const RelayCall &Call);

/// Returns whether a call may be queued for a permit: it is expected to get one
/// within the longest time allowed in the queue.
bool mayAwaitPermit(const RelayState &State, const RelayCall &Call);

/// Returns how long the first turn of a program would be queued at the recent
/// rate of starts; absent if too few programs started to tell.
std::optional<Milliseconds> expectedStartDelay(const RelayState &State,
                                               const RelayCall &Call);

/// Refuses, where starts are limited, first turns that have been queued for
/// startDelayLimitOf(), and turns of programs past their deadline that have
/// been for RelayOptions::MaxOverdueQueueTime.
void refuseLateTurns(RelayContext &Context);

/// Refuses queued calls that got no permit in the longest time allowed.
void refuseStarvedCalls(RelayContext &Context);

/// Queues a call, then dispatches the most urgent queued call if a target has
/// capacity. May destroy the call.
void enqueueCall(RelayContext &Context, RelayCall &Call);

/// Dispatches up to Most queued calls in order of urgency. A service whose
/// targets have no capacity does not hold up the calls of others.
void dispatchQueuedCalls(RelayContext &Context, std::uint32_t Most);

} // namespace tanagerlanding

#endif
