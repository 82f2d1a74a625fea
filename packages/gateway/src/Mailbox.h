/// \file
/// Queue of deliveries for one server thread.
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

/// Queues deliveries from any thread and wakes the server thread that owns the
/// mailbox through a timerfd in the thread's poll set.
///
/// Pistache accepts a descriptor only once and unregisters it only after the
/// continuation of its timer has returned. Each wake-up therefore needs a new
/// descriptor, and the previous one stays open until the next wake-up so that
/// its number is not reused.
class Mailbox {
public:
  Mailbox() = default;
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// Queues a delivery and wakes the owning thread.
  void post(Delivery Item);

  /// Removes and returns all deliveries in the order of arrival.
  std::deque<Delivery> takeAll();

  /// Wakes the owning thread if a delivery is queued.
  void wakeIfPending();

  /// Returns a new timer descriptor to arm, which subsequent wake-ups use.
  int replaceDescriptor();

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
