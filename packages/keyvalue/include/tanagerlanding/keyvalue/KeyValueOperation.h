/// \file
/// Operations of a key-value service and their results.
#ifndef TANAGERLANDING_KEYVALUE_KEYVALUEOPERATION_H
#define TANAGERLANDING_KEYVALUE_KEYVALUEOPERATION_H

#include "tanagerlanding/basics.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tanagerlanding {

/// A key with its value and the revision of its last change.
struct KeyValue {
  std::string Key;
  std::string Value;
  Revision ModRevision;
};

/// Reads one page of the keys that begin with Prefix.
struct ReadRange {
  std::string Prefix;
  /// The page starts after this key; empty for the first page.
  std::string After;
};

/// Waits for changes to keys that begin with Prefix.
struct WatchRange {
  std::string Prefix;
  /// Only changes after this revision are reported.
  Revision After;
  /// Maximum time for which the service may delay its answer while nothing
  /// changes (long polling).
  Milliseconds Timeout{0};
};

/// Requires that a key's last change is at revision Expected; 0 requires that
/// the key is absent.
struct KeyCondition {
  std::string Key;
  Revision Expected;
};

/// A value to write. The key is deleted when its lease ends; lease 0 means no
/// lease.
struct KeyWrite {
  std::string Key;
  std::string Value;
  LeaseId Lease;
};

/// Performs all writes atomically if all conditions hold, otherwise none.
struct ConditionalWrite {
  std::vector<KeyCondition> Conditions;
  std::vector<KeyWrite> Writes;
};

/// Requests a new lease.
struct GrantLease {
  Milliseconds TimeToLive{0};
};

struct RenewLease {
  LeaseId Lease;
};

using KeyValueOperation = std::variant<ReadRange, WatchRange, ConditionalWrite,
                                       GrantLease, RenewLease>;

/// One page of items, ordered by key.
struct RangePage {
  std::vector<KeyValue> Items;
  bool HasMore = false;
  Revision AsOf;
};

/// An update or a deletion of a key.
struct KeyChange {
  KeyValue Item;
  bool IsDeleted = false;
};

/// Changes in order, up to and including revision AsOf.
struct WatchPage {
  std::vector<KeyChange> Changes;
  Revision AsOf;
  /// The service no longer has the changes after the requested revision; all
  /// keys must be read again.
  bool IsHistoryLost = false;
};

/// The result of a conditional write.
struct WriteAnswer {
  /// Whether the conditions held and the values were written.
  bool HasSucceeded = false;
  /// The service's revision at the time of the answer.
  Revision ServiceRevision;
  /// If the conditions did not hold, the current item of the first condition's
  /// key.
  std::optional<KeyValue> ConflictingItem;
  /// The lease to attach has already ended; nothing was written.
  bool IsLeaseEnded = false;
};

/// The result of granting or renewing a lease.
struct LeaseAnswer {
  LeaseId Lease;
  Milliseconds TimeToLive{0};
  bool IsEnded = false;
};

using KeyValueReply =
    std::variant<RangePage, WatchPage, WriteAnswer, LeaseAnswer>;

} // namespace tanagerlanding

#endif
