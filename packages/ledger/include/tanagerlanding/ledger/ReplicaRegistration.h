/// \file
/// A replica's registration in the key-value service.
#ifndef TANAGERLANDING_LEDGER_REPLICAREGISTRATION_H
#define TANAGERLANDING_LEDGER_REPLICAREGISTRATION_H

#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/runtime.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace tanagerlanding {

/// Keeps a key that tells that this replica lives, under a lease that it
/// renews. Only tells others when to try a replacement: no promise rests on
/// it.
class ReplicaRegistration {
public:
  ReplicaRegistration(EventLoop &Loop, KeyValueClient &Service);
  ReplicaRegistration(const ReplicaRegistration &) = delete;
  ReplicaRegistration &operator=(const ReplicaRegistration &) = delete;

  /// Registers and renews from now on.
  void start(LedgerMember Member);

  /// Tells that all records are copied for a view, for as long as the lease
  /// lasts; told again under a new lease.
  void tellSynced(ViewVersion View);

private:
  void grant();
  void renew();
  void writeMember();
  void writeSynced();
  void retryLater();
  void writeUnderLease(const std::string &Key, const std::string &Value,
                       std::function<void()> Done);

  KeyValueClient &Service;
  boost::asio::steady_timer Timer;
  LedgerMember Member;
  LeaseId Lease;
  std::optional<ViewVersion> Synced;
};

} // namespace tanagerlanding

#endif
