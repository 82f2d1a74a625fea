/// \file
/// Simulation of several reducers connected by message queues, for tests.
#ifndef TANAGERLANDING_DECISION_TESTS_CONNECTEDSTATES_H
#define TANAGERLANDING_DECISION_TESTS_CONNECTEDSTATES_H

#include "tanagerlanding/decision.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding::test {

/// Three entries with journals, two sidecars of one service of kind Service,
/// the shard table, and the messages and table writes in flight between them.
///
/// Each step is a public function, and the test chooses the next one. Messages
/// of one link are delivered in order, as on a TCP connection; cutting a link
/// loses those in flight. Uses no clock, sockets or threads.
class ConnectedStates {
public:
  static constexpr unsigned EntryCount = 3;
  static constexpr unsigned SidecarCount = 2;

  explicit ConnectedStates(std::uint64_t Seed);

  /// Advances the time everywhere except at frozen entries.
  void passTime(Milliseconds Span);
  /// Delivers the first message of a link chosen by Pick. Returns false if none
  /// can be delivered.
  bool deliver(std::uint64_t Pick);
  /// Makes the next batch of a holder chosen by Pick durable. Returns false if
  /// there is none.
  bool persist(std::uint64_t Pick);
  /// Carries out the next write to the table. The writer receives no answer if
  /// LoseAnswer is set. Returns false if there is no write.
  bool writeTable(bool LoseAnswer);
  /// Delivers the complete table to an entry.
  void readTable(unsigned Entry);
  /// How a call at a target ends: answered, connection lost before or after
  /// execution, or target unreachable.
  enum class TargetEnd { Answered, BrokenBefore, BrokenAfter, Unreached };
  /// Ends a running call chosen by Pick. Returns false if there is none.
  bool endCall(std::uint64_t Pick, TargetEnd End);
  /// Cuts the link between two hosts and notifies both.
  void cut(const HostId &A, const HostId &B);
  /// Connects all hosts that are not frozen and not connected yet.
  void connectAll();
  /// Kills an entry's process and starts a new one on the same disk.
  void restartEntry(unsigned Entry);
  /// Kills a sidecar's process and starts a new one.
  void restartSidecar(unsigned Sidecar);
  void setFrozen(unsigned Entry, bool Frozen);
  /// Sends a call through an entry.
  void call(unsigned Entry, const std::string &Program, const std::string &Key,
            bool Idempotent);
  /// Unfreezes all entries and runs rounds of delivering, persisting, writing,
  /// answering and passing time, enough for all calls and takeovers to
  /// complete.
  void settle();

  static HostId entryName(unsigned Entry);
  static HostId sidecarName(unsigned Sidecar);

  /// Number of executions at the targets, by "program/key".
  std::map<std::string, int> Executions;
  /// All answers that callers received, in order, by "program/key".
  std::map<std::string, std::vector<CallAnswer>> Answers;
  /// Number of calls dispatched to the targets.
  std::uint64_t TargetCalls = 0;
  /// Number of calls sent by callers.
  std::uint64_t CallerCalls = 0;

  struct EntryNode {
    EntryState State;
    HolderState Holder;
    /// The contents of the disk: records by shard and epoch, and fences.
    std::map<std::pair<ShardId, Epoch>, std::vector<Record>> Disk;
    std::map<ShardId, Epoch> DiskFences;
    std::deque<HolderEffect> Unpersisted;
    bool Frozen = false;
  };
  std::vector<EntryNode> Entries;

private:
  struct SidecarNode {
    SidecarState State;
    std::vector<DispatchAttempt> Running;
  };
  using Link = std::pair<HostId, HostId>;

  EntryOptions options() const;
  Inventory inventory() const;
  void startEntry(unsigned Entry);
  void startSidecar(unsigned Sidecar);
  void send(const HostId &From, const HostId &To, const Message &Body);
  void receive(const HostId &From, const HostId &To, const Message &Body);
  void connect(const HostId &A, const HostId &B);
  void notifyConnected(const HostId &At, const HostId &Other);
  void notifyDisconnected(const HostId &At, const HostId &Other);
  Hello greetingOf(const HostId &Host) const;
  void apply(unsigned Entry, const EntryEvent &Event);
  void applyHolder(unsigned Entry, const HolderEvent &Event);
  void applySidecar(unsigned Sidecar, const SidecarEvent &Event);
  void perform(unsigned Entry, const EntryEffect &Effect);
  void performHolder(unsigned Entry, const HolderEffect &Effect);
  void performSidecar(unsigned Sidecar, const SidecarEffect &Effect);
  void finishPersist(unsigned Entry, const HolderEffect &Effect);
  bool isFrozen(const HostId &Host) const;
  unsigned indexOf(const HostId &Host) const;
  bool isEntry(const HostId &Host) const;
  ConnectionId connectionOf(const HostId &Host) const;

  Instant Now;
  std::uint64_t NextInstance = 1;
  std::uint64_t NextRequest = 1;
  std::uint64_t Seed;
  std::vector<SidecarNode> Sidecars;
  std::map<ShardId, VersionedShardEntry> Table;
  std::int64_t TableRevision = 0;
  std::deque<std::pair<HostId, WriteShardEntry>> Writes;
  std::set<Link> Connected;
  std::map<Link, std::deque<Message>> Links;
  std::map<std::pair<HostId, RequestId>, std::string> Requests;
};

} // namespace tanagerlanding::test

#endif
