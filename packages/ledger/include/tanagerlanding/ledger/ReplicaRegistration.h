/// \file
/// The registration of a replica in the key-value service.
#ifndef TANAGERLANDING_LEDGER_REPLICAREGISTRATION_H
#define TANAGERLANDING_LEDGER_REPLICAREGISTRATION_H

#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/runtime.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

namespace tanagerlanding {

/// Maintains a key that registers this replica under a lease, which it renews.
/// Other replicas use the key only as a failure detector, to decide when to
/// replace this one; correctness does not depend on it.
class ReplicaRegistration {
public:
  ReplicaRegistration(EventLoop &Loop, KeyValueClient &Service);
  ReplicaRegistration(const ReplicaRegistration &) = delete;
  ReplicaRegistration &operator=(const ReplicaRegistration &) = delete;

  /// Registers the replica and starts to renew its lease.
  void start(LedgerMember NewMember);

  /// Publishes under the lease that all records are copied for a view. Written
  /// again if the lease is replaced.
  void publishSynced(ViewVersion View);

private:
  /// Starts the next call that is due. Only one call is in flight at a time.
  void runNextStep();
  void scheduleNextStep(Milliseconds Delay);
  void requestLease();
  void writeMember();
  void writeSynced();
  void write(const std::string &Key, const std::string &Value,
             std::function<void()> Done);
  void renewLease();
  void handleLeaseEnd();

  KeyValueClient &Service;
  boost::asio::steady_timer Timer;
  LedgerMember Member;
  LeaseId Lease;
  bool IsCalling = false;
  bool IsRenewalDue = false;
  /// Whether Member and Synced have been written under the present lease.
  bool IsMemberWritten = false;
  bool IsSyncedWritten = false;
  /// The last view for which all records are copied.
  std::optional<ViewVersion> Synced;
};

} // namespace tanagerlanding

#endif
