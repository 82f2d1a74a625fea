/// \file
/// The memory budget of a replica for what it receives.
#ifndef TANAGERLANDING_LEDGER_INTAKEBUDGET_H
#define TANAGERLANDING_LEDGER_INTAKEBUDGET_H

#include "tanagerlanding/basics.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace tanagerlanding {

/// Accounts for large messages that arrive and for records that are not stored
/// yet, and decides from which connections a replica reads on.
///
/// A sender that has to wait keeps its message. Large messages are read in the
/// order in which they begin. Small ones may overtake them, but while a large
/// one waits they leave most of the room free, so that each is read in the end.
/// Performs no input or output.
class IntakeBudget {
public:
  /// Up to this size a message counts as small. Small ones are not counted
  /// while they arrive.
  static constexpr std::size_t MaxSmallBytes = 64 * 1024;

  /// Limit is in bytes.
  explicit IntakeBudget(std::size_t Limit) : Limit(Limit) {}

  /// Returns whether more may be read from a connection on which a message of
  /// IncompleteBytes has begun, or none.
  bool mayRead(ConnectionId Connection, std::size_t IncompleteBytes);

  /// States that the message on a connection is complete or won't be.
  void finishRead(ConnectionId Connection);

  /// Records that are about to be stored, by the ticket of their batch.
  void addUnstored(std::uint64_t Ticket, std::size_t Bytes);
  void removeUnstored(std::uint64_t Ticket);

  /// Returns the bytes that arrive or are not stored yet.
  std::size_t total() const { return this->Arriving + this->Unstored; }

  /// Returns whether a connection has to wait.
  bool isAnyWaiting() const { return this->IsAnyWaiting; }
  /// Returns the same, and forgets it.
  bool takeWaiting();

private:
  bool mayReadLarge(ConnectionId Connection, std::size_t Bytes);

  const std::size_t Limit;
  std::size_t Arriving = 0;
  std::size_t Unstored = 0;
  bool IsAnyWaiting = false;
  std::map<ConnectionId, std::size_t> LargeMessages;
  std::deque<ConnectionId> WaitingForLarge;
  std::map<std::uint64_t, std::size_t> Batches;
};

} // namespace tanagerlanding

#endif
