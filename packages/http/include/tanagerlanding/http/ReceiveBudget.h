/// \file
/// The memory budget of a relay for the requests that callers send.
#ifndef TANAGERLANDING_HTTP_RECEIVEBUDGET_H
#define TANAGERLANDING_HTTP_RECEIVEBUDGET_H

#include "tanagerlanding/http/BufferBudget.h"

#include <cstddef>
#include <map>
#include <vector>

namespace tanagerlanding {

/// What the request on one connection occupies.
struct ReceivedRequest {
  std::size_t Bytes = 0;
  /// Whether it is still arriving. Such a request has not been handed on, so it
  /// can be refused as not run.
  bool IsArriving = false;
  /// When it began to arrive, or last brought a substantial part.
  Instant ProgressAt;
};

/// Accounts for what callers send, from the first byte of a request to the end
/// of its response, and decides which requests are refused for lack of room.
///
/// Arriving requests give way in the order in which they have made no progress
/// for longest, so that those that never end do not keep others out. Small
/// requests have a part of the room to themselves. Performs no input or output.
/// See BufferBudget for what is sent to callers.
class ReceiveBudget {
public:
  /// Up to this size a request counts as small.
  static constexpr std::size_t MaxSmallBytes = 64 * 1024;

  /// Limit is in bytes. Small requests may take a quarter more.
  explicit ReceiveBudget(std::size_t Limit) : Limit(Limit) {}

  /// Raises the limit to the size of the largest request that callers may send,
  /// so that it is served if it is the only one.
  void setLargestRequest(std::size_t Bytes) { this->LargestRequest = Bytes; }

  /// Sets what the request on a connection occupies; no bytes: no request.
  void update(CallerConnectionId Connection, const ReceivedRequest &Request);
  void release(CallerConnectionId Connection);

  /// Sets what the process holds for callers besides these requests. It takes
  /// room from requests that arrive.
  void setOtherBytes(std::size_t Bytes);

  std::size_t total() const { return this->Total; }

  /// Returns whether the request on a connection is within the budget.
  bool hasRoom(CallerConnectionId Connection) const;

  /// Returns the connections whose requests are to be refused, until an eighth
  /// of the room is free or all others are being served.
  std::vector<CallerConnectionId> selectRefused() const;

private:
  std::size_t largeLimit() const;
  std::size_t smallLimit() const;
  void count(const ReceivedRequest &Request, bool IsAdded);

  const std::size_t Limit;
  std::size_t LargestRequest = 0;
  std::map<CallerConnectionId, ReceivedRequest> Requests;
  std::size_t Total = 0;
  std::size_t OtherBytes = 0;
  /// Numbers of arriving requests.
  std::size_t LargeArriving = 0;
  std::size_t SmallArriving = 0;
};

} // namespace tanagerlanding

#endif
