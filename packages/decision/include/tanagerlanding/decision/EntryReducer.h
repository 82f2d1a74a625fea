/// \file
/// Decisions of an entry: ownership of shards, order of calls, budgets,
/// choice of targets, retries and answers.
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

/// The timer service's notice of the present time.
struct EntryTimePassed {
  Instant Now;
};
/// A caller's request, checked in form by the gateway.
struct CallArrived {
  RequestId Request;
  Call Asked;
};
/// A caller closed its connection before its answer was complete.
struct CallerVanished {
  RequestId Request;
};
/// Another process of the system has connected and said who it is.
struct PeerConnected {
  Hello Greeting;
};
struct PeerDisconnected {
  HostId Host;
};
/// A message from the process on Host, or from this entry's own holder.
struct PeerSaid {
  HostId Host;
  Message Body;
};
/// Rows of the shard table as read from the key-value service.
struct TableObserved {
  std::vector<std::pair<ShardId, VersionedShardEntry>> Rows;
  /// Whether Rows is the whole table: what is missing is absent.
  bool IsWhole = false;
};
/// An inventory was accepted by operators or offered by a peer.
struct InventoryObserved {
  Inventory Accepted;
};
struct EntryStopAsked {};

using EntryEvent =
    std::variant<EntryTimePassed, CallArrived, CallerVanished, PeerConnected,
                 PeerDisconnected, PeerSaid, TableObserved, InventoryObserved,
                 EntryStopAsked>;

/// Send a message to the process on Host; Self is this entry's own holder.
struct SendHost {
  HostId Host;
  Message Body;
};
/// Give a local caller its final answer.
struct AnswerCaller {
  RequestId Request;
  CallAnswer Answer;
};
/// Give a local caller a piece of its streamed answer.
struct StreamToCaller {
  RequestId Request;
  std::string Bytes;
};
/// Replace a row of the shard table if its revision is still Expected.
/// Whatever happened is observed by TableObserved.
struct WriteShardEntry {
  ShardId Shard;
  Revision Expected;
  ShardEntry Entry;
};
/// Write one log line.
struct LogLine {
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
};
/// Count one occurrence of a named metric with a cause.
struct CountMetric {
  std::string Name;
  std::string Cause;
};
/// Record a span of a call's trace.
struct RecordSpan {
  std::string TraceParent;
  std::string Name;
  Milliseconds Duration{0};
  std::vector<std::pair<std::string, std::string>> Attributes;
};
/// Stop the process: nothing is left to do.
struct ExitEntry {};

using EntryEffect =
    std::variant<SendHost, AnswerCaller, StreamToCaller, WriteShardEntry,
                 LogLine, CountMetric, RecordSpan, ExitEntry>;

/// Applies one event to the entry's state and returns what is to be done, in
/// order.
std::vector<EntryEffect> reduce(EntryState &State, const EntryEvent &Event);

/// Returns whether the owner that a row names answers.
bool isOwnerLive(const EntryState &State, const ShardEntry &Entry);

} // namespace tanagerlanding

#endif
