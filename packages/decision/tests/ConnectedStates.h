/// \file
/// A few reducers' states connected by queues, for tests.
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

/// Three entries with journals, two sidecars of one plain service, the shard
/// table, and the messages and writes between them that are under way.
///
/// Each step is a public function; a test chooses which comes next. Messages
/// of one link stay in order, as on a TCP connection; a cut loses those under
/// way. No clock, sockets or threads.
class ConnectedStates {
public:
  static constexpr unsigned EntryCount = 3;
  static constexpr unsigned SidecarCount = 2;

  explicit ConnectedStates(std::uint64_t Seed);

  /// Lets time pass everywhere but at frozen entries.
  void passTime(Milliseconds Span);
  /// Delivers the first message of a link chosen by Pick. Returns false if
  /// none is under way.
  bool deliver(std::uint64_t Pick);
  /// Makes the next batch of a holder durable.
  bool persist(std::uint64_t Pick);
  /// Carries out a write to the table; its answer may be lost.
  bool writeTable(bool LoseAnswer);
  /// Lets an entry read the table.
  void readTable(unsigned Entry);
  /// Ends a running call at a target.
  enum class TargetEnd { Answered, BrokenBefore, BrokenAfter, Unreached };
  bool endCall(std::uint64_t Pick, TargetEnd End);
  /// Cuts the link between two hosts; both hear of it.
  void cut(const HostId &A, const HostId &B);
  /// Connects all running hosts that are not connected.
  void connectAll();
  /// Kills an entry's process and starts it anew on the same disk.
  void restartEntry(unsigned Entry);
  /// Kills a sidecar's process and starts it anew.
  void restartSidecar(unsigned Sidecar);
  void setFrozen(unsigned Entry, bool Frozen);
  /// Sends a call through an entry.
  void call(unsigned Entry, const std::string &Program, const std::string &Key,
            bool Idempotent);
  /// Delivers, persists and lets time pass until nothing is under way.
  void settle();

  static HostId entryName(unsigned Entry);
  static HostId sidecarName(unsigned Sidecar);

  /// How often the targets ran each "program/key".
  std::map<std::string, int> Executions;
  /// All answers that callers got for each "program/key", in order.
  std::map<std::string, std::vector<CallAnswer>> Answers;
  /// Calls dispatched to the targets.
  std::uint64_t TargetCalls = 0;
  /// Calls sent by callers.
  std::uint64_t CallerCalls = 0;

  struct EntryNode {
    EntryState State;
    HolderState Holder;
    /// What is on the disk: records of each shard's epochs, and fences.
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
  void tellConnected(const HostId &At, const HostId &Other);
  void tellDisconnected(const HostId &At, const HostId &Other);
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
