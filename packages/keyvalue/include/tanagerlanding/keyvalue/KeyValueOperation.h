/// \file
/// What can be asked of a key-value service, and what it answers.
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
  /// The page begins behind this key; empty for the first page.
  std::string After;
};

/// Waits for changes of keys that begin with Prefix.
struct WatchRange {
  std::string Prefix;
  /// Changes up to this revision are known.
  Revision After;
  /// How long the service may hold the call back while nothing changes.
  Milliseconds Wait{0};
};

/// A key whose last change must be at Expected; revision 0 means absent.
struct KeyCondition {
  std::string Key;
  Revision Expected;
};

/// A value to write; the key goes when its lease ends. Lease 0 is none.
struct KeyWrite {
  std::string Key;
  std::string Value;
  LeaseId Lease;
};

/// Writes all or nothing.
struct ConditionalWrite {
  std::vector<KeyCondition> Conditions;
  std::vector<KeyWrite> Writes;
};

/// Asks for a lease.
struct GrantLease {
  Milliseconds TimeToLive{0};
};

/// Renews a lease.
struct RenewLease {
  LeaseId Lease;
};

using KeyValueOperation = std::variant<ReadRange, WatchRange, ConditionalWrite,
                                       GrantLease, RenewLease>;

/// One page of keys in order.
struct RangePage {
  std::vector<KeyValue> Items;
  bool HasMore = false;
  Revision AsOf;
};

/// One change of a key.
struct KeyChange {
  KeyValue Item;
  bool IsDeleted = false;
};

/// Changes in order, up to revision AsOf.
struct WatchPage {
  std::vector<KeyChange> Changes;
  Revision AsOf;
  /// The service has dropped the changes behind the asked revision; the keys
  /// must be read again.
  bool IsHistoryLost = false;
};

/// The answer to a conditional write.
struct WriteAnswer {
  /// Whether the condition held and the values were written.
  bool Succeeded = false;
  /// The revision of the service when it answered.
  Revision At;
  /// What the first condition's key holds instead, where it did not hold.
  std::optional<KeyValue> Present;
  /// The lease that was to be attached has ended; nothing was written.
  bool IsLeaseEnded = false;
};

/// The answer to a grant or a renewal.
struct LeaseAnswer {
  LeaseId Lease;
  Milliseconds TimeToLive{0};
  bool IsEnded = false;
};

using KeyValueReply =
    std::variant<RangePage, WatchPage, WriteAnswer, LeaseAnswer>;

} // namespace tanagerlanding

#endif
