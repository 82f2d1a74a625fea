/// \file
/// Work for one of the server's threads.
#ifndef TANAGERLANDING_GATEWAY_MAILBOX_H
#define TANAGERLANDING_GATEWAY_MAILBOX_H

#include "tanagerlanding/decision/Calls.h"

#include <deque>
#include <mutex>
#include <variant>

namespace tanagerlanding {

/// A final answer for a request.
struct FinalAnswer {
  RequestId Request;
  CallAnswer Answer;
};

/// A piece of a streamed answer.
struct AnswerPiece {
  RequestId Request;
  std::string Events;
};

using Delivery = std::variant<FinalAnswer, AnswerPiece>;

/// Takes deliveries from any thread and wakes the server's thread that owns
/// it, by a timer descriptor that the thread's poll watches.
///
/// The library takes a descriptor only once, and forgets it only after the
/// continuation of its timer has returned: each wake needs a new one, and the
/// last one stays open until the next wake so that its number is not reused.
class Mailbox {
public:
  Mailbox() = default;
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Adds a delivery and wakes the owner.
  void post(Delivery Item);

  /// Returns all deliveries, in order.
  std::deque<Delivery> take();

  /// Makes the descriptor readable at once if there is a delivery.
  void wakeIfFull();

  /// Returns the timer descriptor to arm next; wakes go to it from now on.
  int nextDescriptor();

private:
  void wake();

  std::mutex Lock;
  std::deque<Delivery> Items;
  bool IsWakePending = false;
  int Current = -1;
  int Retired = -1;
};

} // namespace tanagerlanding

#endif
