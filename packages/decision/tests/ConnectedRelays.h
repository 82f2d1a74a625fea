/// \file
/// Simulation of relays before ledger replicas, with targets that stream and
/// callers that continue broken streams at other relays, for tests.
#ifndef TANAGERLANDING_DECISION_TESTS_CONNECTEDRELAYS_H
#define TANAGERLANDING_DECISION_TESTS_CONNECTEDRELAYS_H

#include "ConnectedReplicas.h"
#include "RelayFixture.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding::test {

/// Callers run turns of conversations one after the other. A target answers a
/// turn with numbered events whose text differs from run to run. What is under
/// way between callers, relays, replicas and targets proceeds in a drawn order.
class ConnectedRelays {
public:
  ConnectedRelays(std::uint64_t Seed, unsigned RelayCount, unsigned HostCount,
                  unsigned CallerCount);

  void advance(Milliseconds Span);
  /// Does something in the middle of the next step, while much is under way.
  void doWithinStep(std::function<void()> Action);
  /// Kills a relay's process. What it has sent may still arrive.
  void killRelay(unsigned Relay);
  void startRelay(unsigned Relay);
  /// Suspends a relay's process; what is sent to it waits.
  void setRelayFrozen(unsigned Relay, bool IsFrozen);
  /// Breaks the connection between a relay and a host.
  void cut(unsigned Relay, unsigned Host);
  /// Breaks the connection of a caller whose answer has begun. Its relay learns
  /// of it at some later time.
  void cutCaller(unsigned Caller);
  /// Callers name the attempts that began the streams that they continue.
  void setNaming(bool IsNaming) { this->IsNaming = IsNaming; }

  std::uint64_t draw(std::uint64_t Bound) { return this->Replicas.draw(Bound); }

  ConnectedReplicas Replicas;
  /// What broke a rule.
  std::vector<std::string> Faults;
  /// Attempts to begin or to continue a stream, and those from which the caller
  /// got something.
  struct AttemptCounts {
    std::size_t Sent = 0;
    std::size_t Successful = 0;

    double share() const {
      return static_cast<double>(this->Successful) /
             static_cast<double>(this->Sent);
    }
  };
  AttemptCounts Begun;
  AttemptCounts Continued;
  /// Turns that were answered whole.
  std::size_t Answered = 0;

private:
  struct Relay {
    HostId Host;
    std::optional<RelayFixture> Process;
    std::map<HolderId, LedgerMember> Connected;
    std::deque<std::pair<HolderId, Message>> Inbox;
    /// Effects of the process that its callers have not received.
    std::map<RequestId, std::deque<RelayEffect>> Answers;
    std::deque<RequestId> Disconnected;
    bool IsFrozen = false;
    bool IsConfirmingDirectory = false;
  };
  struct Attempt {
    unsigned Caller = 0;
    CallerAttemptId Id;
    std::string History;
    std::uint64_t After = 0;
    bool IsSuccessful = false;
  };
  struct Run {
    unsigned Relay = 0;
    RelayAttemptId At;
    std::string Name;
    std::uint64_t NextEvent = 1;
    bool HasHead = false;
  };
  struct Caller {
    /// The inputs and outputs of the turns that were answered whole.
    std::string History;
    std::optional<TurnId> LastTurn;
    Instant AnsweredAt;
    /// The turn under way: its events as far as they were received, and the
    /// attempt that brought the first one.
    unsigned Turn = 0;
    std::string Input;
    std::string Output;
    std::uint64_t LastEvent = 0;
    std::optional<CallerAttemptId> First;
    unsigned FailedAttempts = 0;
    std::optional<std::pair<unsigned, RequestId>> Pending;
    CallerAttemptId PendingId;
    Instant SilentSince;
    Instant NextAt;
  };

  void apply(unsigned Number, const RelayEvent &Event);
  void perform(unsigned Number, const RelayEffect &Effect);
  void beginRun(unsigned Number, const SendAttempt &Sent);
  void connectReplicas(unsigned Number);
  void makeProgress(unsigned Number);
  void proceedRun();
  void sendNext(unsigned Number);
  CallerRequest makeRequest(const Caller &From) const;
  void receive(unsigned Number, RequestId Request, const RelayEffect &Effect);
  void countSuccess(Attempt &Of);
  void receiveEvents(Caller &To, const std::string &Bytes);
  void completeTurn(Caller &To);
  /// Ends the pending attempt of a caller, which will send another one.
  void endAttempt(Caller &Of);
  void beginTurn(Caller &Of);

  std::vector<Relay> Relays;
  std::vector<Caller> Callers;
  std::map<std::pair<unsigned, RequestId>, Attempt> Attempts;
  std::deque<Run> Runs;
  std::vector<std::function<void()>> Pending;
  Instant Now{Milliseconds(100000)};
  std::uint64_t NextRequest = 1;
  std::uint64_t NextRun = 1;
  bool IsNaming = true;
};

} // namespace tanagerlanding::test

#endif
