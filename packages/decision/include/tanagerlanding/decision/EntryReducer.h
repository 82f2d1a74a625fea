/// \file
/// Reducer of an entry: shard ownership, ordering of calls, budgets, choice of
/// targets, retries and answers.
#ifndef TANAGERLANDING_DECISION_ENTRYREDUCER_H
#define TANAGERLANDING_DECISION_ENTRYREDUCER_H

#include "tanagerlanding/decision/EntryState.h"
#include "tanagerlanding/decision/Messages.h"
#include "tanagerlanding/decision/ShardTable.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// Timer tick that carries the current time.
struct EntryTick {
  Instant Now;
};
/// A caller's request, already validated syntactically by the gateway.
struct CallArrived {
  RequestId Request;
  Call RequestedCall;
};
/// A caller closed its connection before its answer was complete.
struct CallerDisconnected {
  RequestId Request;
};
/// Another process of the system has connected and sent its Hello.
struct PeerConnected {
  Hello Greeting;
};
struct PeerDisconnected {
  HostId Host;
};
/// A message from the process on Host or, if Host is this entry's own, from its
/// own holder.
struct PeerMessageReceived {
  HostId Host;
  Message Body;
};
/// Rows of the shard table, read from the key-value service.
struct TableObserved {
  std::vector<std::pair<ShardId, VersionedShardEntry>> Rows;
  /// Whether Rows is the complete table, so that a row not listed does not
  /// exist.
  bool IsWhole = false;
};
/// An inventory accepted by operators or offered by a peer.
struct InventoryObserved {
  Inventory Accepted;
};
struct EntryShutdownRequested {};

using EntryEvent =
    std::variant<EntryTick, CallArrived, CallerDisconnected, PeerConnected,
                 PeerDisconnected, PeerMessageReceived, TableObserved,
                 InventoryObserved, EntryShutdownRequested>;

/// Sends a message to the process on Host; if Host is Self, to this entry's own
/// holder.
struct SendHost {
  HostId Host;
  Message Body;
};
/// Sends the final answer to a local caller.
struct AnswerCaller {
  RequestId Request;
  CallAnswer Answer;
};
/// Sends a chunk of a streamed answer to a local caller.
struct StreamToCaller {
  RequestId Request;
  std::string Bytes;
};
/// Replaces a row of the shard table if its revision is still Expected. The
/// resulting row is reported by TableObserved, whether or not the write
/// succeeded.
struct WriteShardEntry {
  ShardId Shard;
  Revision Expected;
  ShardEntry Entry;
};
/// Writes one log line.
struct LogLine {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Increments the named counter for the given cause.
struct CountMetric {
  std::string Name;
  std::string Cause;
  std::uint64_t Amount = 1;
};
/// Records a span of a call's trace.
struct RecordSpan {
  std::string TraceParent;
  std::string Name;
  Milliseconds Duration{0};
  std::vector<std::pair<std::string, std::string>> Attributes;
};
/// Exits the process; shutdown is complete.
struct ExitEntry {};

using EntryEffect =
    std::variant<SendHost, AnswerCaller, StreamToCaller, WriteShardEntry,
                 LogLine, CountMetric, RecordSpan, ExitEntry>;

/// Applies one event to the entry's state and returns the resulting effects, in
/// the order in which they must be carried out.
std::vector<EntryEffect> reduce(EntryState &State, const EntryEvent &Event);

/// Returns whether the owner named in a row is live and is still the same
/// process instance.
bool isOwnerLive(const EntryState &State, const ShardEntry &Entry);

} // namespace tanagerlanding

#endif
