/// \file
/// A replica's registration in the key-value service.
#ifndef TANAGERLANDING_LEDGER_REPLICAREGISTRATION_H
#define TANAGERLANDING_LEDGER_REPLICAREGISTRATION_H

#include "tanagerlanding/keyvalue.h"
#include "tanagerlanding/runtime.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <string>

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
  /// Does what is due next. One call is under way at a time.
  void proceed();
  void proceedAfter(Milliseconds Pause);
  void grant();
  void writeMember();
  void writeSynced();
  void write(const std::string &Key, const std::string &Value,
             std::function<void()> Done);
  void renew();
  void loseLease();

  KeyValueClient &Service;
  boost::asio::steady_timer Timer;
  LedgerMember Member;
  LeaseId Lease;
  bool IsCalling = false;
  bool IsRenewalDue = false;
  /// Whether the member, and the last view that was copied for, are written
  /// under the present lease.
  bool IsMemberWritten = false;
  bool IsSyncedWritten = false;
  std::optional<ViewVersion> Synced;
};

} // namespace tanagerlanding

#endif
