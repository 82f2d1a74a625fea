/// \file
/// The memory budget of a relay for the buffers of its connections.
#ifndef TANAGERLANDING_HTTP_BUFFERBUDGET_H
#define TANAGERLANDING_HTTP_BUFFERBUDGET_H

#include "tanagerlanding/basics.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace tanagerlanding {

using CallerConnectionId = StrongId<struct CallerConnectionTag, std::uint64_t>;

/// What a buffer holds.
enum class BufferKind : std::uint8_t {
  /// Requests being received or served.
  RequestBodies,
  /// Histories of turns, and requests as sent to targets, which contain them.
  Histories,
  /// Answers of targets that are kept before or after they are forwarded.
  TargetAnswers,
  /// Bytes that callers have not read yet.
  QueuedAnswers,
};
constexpr std::size_t BufferKindCount = 4;

/// Returns the stable name of a kind, for logs and metrics.
const char *toString(BufferKind Kind);

/// The bytes queued for the caller of one connection.
struct UnreadQueue {
  CallerConnectionId Connection;
  std::size_t Bytes = 0;
  /// Since when the oldest of them is queued.
  Instant Since;
};

/// Accounts for all buffers of a process and decides what each connection may
/// buffer and which connections are ended when the budget is full.
///
/// Without a limit it only accounts. Performs no input or output.
class BufferBudget {
public:
  explicit BufferBudget(std::optional<std::size_t> Limit) : Limit(Limit) {}

  bool isLimited() const { return this->Limit.has_value(); }

  /// Replaces the part Before of a kind's bytes by After.
  void resize(BufferKind Kind, std::size_t Before, std::size_t After);
  std::size_t bytes(BufferKind Kind) const;
  std::size_t total() const { return this->Total; }

  /// Returns whether the budget has been reached, and the total has not fallen
  /// below seven eighths of it since. The distance keeps single buffers from
  /// switching the state many times a second.
  bool isFull() const { return this->IsFull; }

  /// Returns the bytes that may be queued for a caller before reading from its
  /// target pauses. UnreadAge is the age of the oldest queued byte.
  std::size_t queueAllowance(Milliseconds UnreadAge) const;

  /// Returns the connections to end, oldest unread bytes first, until the
  /// budget is no longer full; empty while it is not full.
  std::vector<CallerConnectionId>
  selectEnded(std::vector<UnreadQueue> Queues) const;

private:
  std::size_t lowMark() const;

  std::optional<std::size_t> Limit;
  std::array<std::size_t, BufferKindCount> Bytes{};
  std::size_t Total = 0;
  bool IsFull = false;
};

} // namespace tanagerlanding

#endif
