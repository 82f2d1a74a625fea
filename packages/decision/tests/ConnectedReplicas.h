/// \file
/// Simulation of ledger replicas, their disks, the key-value service and a
/// relay that closes turns, for tests.
#ifndef TANAGERLANDING_DECISION_TESTS_CONNECTEDREPLICAS_H
#define TANAGERLANDING_DECISION_TESTS_CONNECTEDREPLICAS_H

#include "tanagerlanding/decision.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding::test {

/// One host for each replica. Messages, disk writes and calls of the key-value
/// service complete in a drawn order; messages of one link stay in order. Uses
/// no clock, sockets or threads.
class ConnectedReplicas {
public:
  /// How long turns are kept; short, so that runs see them expire.
  static constexpr Milliseconds Retention{10000};

  /// Receives a message that a replica of a host has sent to a relay.
  using RelayReceiver = std::function<void(
      const HostId &Relay, const HostId &From, const Message &)>;

  /// Starts HostCount replicas.
  ConnectedReplicas(std::uint64_t Seed, unsigned HostCount);

  /// Lets time pass in steps of 100 ms, in which most of what is under way
  /// completes.
  void advance(Milliseconds Span);
  /// Kills a host's process, without effect if there is none. What it had sent
  /// may still arrive; writes and calls under way may be carried out or not.
  void kill(unsigned Host);
  /// Starts a host's process, without effect if it runs or was removed.
  void start(unsigned Host);
  /// Kills a host's process and empties its disk.
  void loseDisk(unsigned Host);
  /// Suspends a host's process; what is sent to it waits.
  void setFrozen(unsigned Host, bool IsFrozen);
  /// Requests the retirement of a host. Once it is reported complete, the host
  /// is removed with its disk.
  void retire(unsigned Host);
  /// Starts the next turn of a chain, unless its last one is not closed yet or
  /// its history can't be read. Begins the chain anew if its last turn was
  /// answered longer ago than Retention.
  void runTurn(unsigned Chain);

  /// Passes messages to further relays on; these connect by themselves.
  void setRelayReceiver(RelayReceiver Receiver);
  /// Sends a message of such a relay. It is lost if the process ends before.
  void sendFromRelay(const HostId &Relay, const HostId &To, Message Body);
  /// Drops what such a relay and a host have in flight. The last messages of
  /// the relay may still arrive if IsRelayLost is set.
  void disconnectRelay(const HostId &Relay, const HostId &Host,
                       bool IsRelayLost);
  /// Returns whether a process serves this very replica, and whether it is not
  /// frozen either.
  bool isRunning(const LedgerMember &Member) const;
  bool isReachable(const LedgerMember &Member) const;
  const LedgerView &view() const { return this->View; }

  /// Returns the chains whose last answered turn must be kept and that can't be
  /// read whole without the given hosts.
  std::vector<std::string> unreadableChains(const std::set<HostId> &Lost) const;
  /// Returns what keeps the membership from having replaced all lost replicas,
  /// or an empty string.
  std::string membershipFault() const;
  /// Returns the hosts of the current members.
  std::set<HostId> memberHosts() const;
  /// Returns whether a host was removed after its retirement.
  bool isRemoved(unsigned Host) const;
  std::size_t answeredTurns() const { return this->Answered; }
  std::uint64_t draw(std::uint64_t Bound) { return this->Random() % Bound; }

private:
  struct Disk {
    HolderId Holder;
    LedgerView View;
    std::map<std::uint64_t, std::vector<LedgerBatch>> Segments;
    std::uint64_t LastSegment = 1;
  };
  struct Node {
    HostId Host;
    Disk Stored;
    std::optional<LedgerState> State;
    std::deque<PersistLedgerBatch> Unpersisted;
    /// What the key-value service has not told the process yet.
    std::deque<LedgerEvent> Notices;
    std::deque<LedgerEffect> Calls;
    std::optional<Instant> RegistrationEndsAt;
    bool IsReadingDisk = false;
    bool IsFrozen = false;
    bool IsRemoved = false;
  };
  struct Chain {
    std::vector<TurnId> Turns;
    std::optional<Instant> AnsweredAt;
    bool IsClosing = false;
  };
  struct Close {
    CloseTurn Message;
    unsigned Chain = 0;
    Instant Since;
    std::set<HolderId> ConfirmedBy;
  };
  using Link = std::pair<HostId, HostId>;

  Node *find(const HostId &Host);
  const Node *find(const HostId &Host) const;
  void emptyDisk(Node &At);
  void readDisk(Node &At);
  void apply(Node &At, const LedgerEvent &Event);
  void perform(Node &At, const LedgerEffect &Effect);
  void send(const HostId &From, const HostId &To, Message Body);
  void notifyAll(const LedgerEvent &Event);
  void makeProgress();
  void deliver(const Link &Between);
  void receiveAtRelay(const HostId &From, const Message &Body);
  void persistNext(Node &At);
  void carryOutCall(Node &At, const LedgerEffect &Call);
  std::string historyOf(const Node &At, const SendHistory &Asked) const;
  std::vector<LedgerBatch> read(const Node &At,
                                const std::vector<BatchLocation> &Places) const;
  void sendClose(Close &Pending, const HostId &To);
  void sendCloses();
  /// Ends the closes that are durable, and those whose caller has left.
  void completeCloses();
  void adoptAtRelay(const LedgerView &View);
  bool isReadable(const std::vector<TurnId> &Turns,
                  const std::set<HostId> &Lost) const;

  std::mt19937_64 Random;
  RelayReceiver ReceiveAtRelay;
  Instant Now;
  std::vector<Node> Nodes;
  std::map<Link, std::deque<Message>> Links;
  std::uint64_t NextHolder = 1;
  std::uint64_t NextRun = 1;
  /// The contents of the key-value service.
  std::map<HostId, LedgerMember> Registered;
  std::map<HolderId, ViewVersion> Synced;
  std::set<HostId> Retiring;
  LedgerView View;
  Revision ViewAt;
  /// The relay's state.
  LedgerView RelayView;
  std::map<unsigned, Chain> Chains;
  std::map<LedgerOperationId, Close> Closes;
  std::uint64_t NextOperation = 1;
  std::size_t Answered = 0;
};

} // namespace tanagerlanding::test

#endif
