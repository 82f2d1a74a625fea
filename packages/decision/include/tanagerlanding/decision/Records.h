/// \file
/// The records of a shard's journal, and the state they fold into.
#ifndef TANAGERLANDING_DECISION_RECORDS_H
#define TANAGERLANDING_DECISION_RECORDS_H

#include "tanagerlanding/decision/Calls.h"

#include <map>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// A program has begun.
struct ProgramStarted {
  ProgramId Program;
  TeamId Team;
  Budget Granted;
};

/// An attempt may be dispatched from now on.
struct IntentRecorded {
  AttemptId Attempt;
  Call Asked;
  HostId Target;
  InstanceId SidecarInstance;
  /// Tokens set aside from the budget until the outcome is known.
  TokenCount Reserved;
};

/// An attempt is over without an answer; the call itself may go on.
struct AttemptReleased {
  ProgramId Program;
  AttemptId Attempt;
  /// Tokens charged although there is no answer.
  TokenCount Charged;
  /// Whether the target may have run it, which uses up one call.
  bool Ran = false;
};

/// A call has its final answer. What was asked stands in the attempt's intent.
struct CallFinished {
  ProgramId Program;
  AttemptId Attempt;
  CallAnswer Answer;
  TokenCount Used;
  /// The assistant's message, a JSON object, to add to the agent's history
  /// behind the messages asked; empty if the history stays as it is.
  std::string HistoryMessage;
};

/// A program has ended; its history may go, its answers stay for a while.
struct ProgramEnded {
  ProgramId Program;
};

/// A whole program, written when a shard gets a new epoch.
struct ProgramSnapshot;

/// What an agent said and heard so far.
struct AgentHistory {
  /// JSON message objects joined by commas.
  std::string Messages;
  std::uint32_t Turns = 0;
  /// The target that holds the agent's prefix, empty if none.
  HostId LastTarget;
};

/// The final answer of one call, kept for repeats.
struct StoredAnswer {
  std::uint64_t Digest = 0;
  CallAnswer Answer;
};

/// What a journal says of one program.
struct ProgramLedger {
  TeamId Team;
  Budget Granted;
  TokenCount TokensSpent;
  TokenCount TokensReserved;
  std::uint32_t CallsSpent = 0;
  bool Ended = false;
  std::map<AgentId, AgentHistory> Agents;
  std::map<CallKey, StoredAnswer> Answers;
  std::map<AttemptId, IntentRecorded> OpenIntents;

  /// Returns the generated tokens that may still be set aside.
  TokenCount tokensLeft() const;
  /// Returns whether one more call may be dispatched.
  bool hasCallsLeft() const;
};

struct ProgramSnapshot {
  ProgramId Program;
  ProgramLedger Ledger;
};

using Record = std::variant<ProgramStarted, IntentRecorded, AttemptReleased,
                            CallFinished, ProgramEnded, ProgramSnapshot>;

/// The durable state of a shard: the fold of its records.
using ShardLedger = std::map<ProgramId, ProgramLedger>;

/// Applies one record. A record about a program or attempt that is not there
/// changes nothing.
void applyRecord(ShardLedger &Ledger, const Record &Entry);

/// Returns records that fold into the same ledger.
std::vector<Record> snapshotOf(const ShardLedger &Ledger);

} // namespace tanagerlanding

#endif
