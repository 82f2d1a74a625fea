/// \file
/// The records of a shard's journal, and the state that results from applying
/// them.
#ifndef TANAGERLANDING_DECISION_RECORDS_H
#define TANAGERLANDING_DECISION_RECORDS_H

#include "tanagerlanding/decision/Calls.h"

#include <map>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// A program has started.
struct ProgramStarted {
  ProgramId Program;
  TeamId Team;
  Budget Granted;
};

/// An attempt may be dispatched from now on.
struct IntentRecorded {
  AttemptId Attempt;
  Call RequestedCall;
  HostId Target;
  InstanceId SidecarInstance;
  /// Tokens reserved from the budget until the outcome is known.
  TokenCount Reserved;
};

/// An attempt has ended without an answer; the call itself may be retried.
struct AttemptReleased {
  ProgramId Program;
  AttemptId Attempt;
  /// Tokens charged although there is no answer.
  TokenCount Charged;
  /// Whether the target may have run the attempt, in which case one call is
  /// charged to the budget.
  bool MayHaveRun = false;
};

/// A call has its final answer. The call itself is stored in the attempt's
/// intent.
struct CallFinished {
  ProgramId Program;
  AttemptId Attempt;
  CallAnswer Answer;
  TokenCount Used;
  /// The assistant's message, a JSON object, which is appended to the agent's
  /// history after the messages of the call; empty if the history does not
  /// change.
  std::string HistoryMessage;
};

/// A program has ended. Its history is dropped; its answers are kept for a
/// retention period.
struct ProgramEnded {
  ProgramId Program;
};

/// The complete state of a program, written when a new epoch of its shard
/// starts.
struct ProgramSnapshot;

/// The conversation history of an agent.
struct AgentHistory {
  /// JSON message objects separated by commas.
  std::string Messages;
  std::uint32_t Turns = 0;
  /// The target that holds the agent's prefix, empty if none.
  HostId LastTarget;
};

/// The final answer of one call, returned again if the call is repeated.
struct StoredAnswer {
  std::uint64_t Digest = 0;
  CallAnswer Answer;
};

/// The state of one program, derived from its shard's journal.
struct ProgramState {
  TeamId Team;
  Budget Granted;
  TokenCount TokensSpent;
  TokenCount TokensReserved;
  std::uint32_t CallsSpent = 0;
  bool HasEnded = false;
  std::map<AgentId, AgentHistory> Agents;
  std::map<CallKey, StoredAnswer> Answers;
  std::map<AttemptId, IntentRecorded> OpenIntents;

  /// Returns the number of tokens that may still be reserved.
  TokenCount tokensLeft() const;
  /// Returns whether one more call may be dispatched.
  bool hasCallsLeft() const;
};

struct ProgramSnapshot {
  ProgramId Program;
  ProgramState DurableState;
};

using Record = std::variant<ProgramStarted, IntentRecorded, AttemptReleased,
                            CallFinished, ProgramEnded, ProgramSnapshot>;

/// The durable state of a shard: the result of applying all its records.
using ShardState = std::map<ProgramId, ProgramState>;

/// Applies one record. A record of an unknown program or attempt has no effect,
/// except for ProgramStarted and ProgramSnapshot.
void applyRecord(ShardState &DurableState, const Record &Entry);

/// Returns records that reproduce the ledger when they are applied.
std::vector<Record> snapshotOf(const ShardState &DurableState);

} // namespace tanagerlanding

#endif
