#include "tanagerlanding/ledger/ReplicaRegistration.h"

namespace tanagerlanding {

namespace {

/// Short, since a lost replica should be replaced within the few seconds that
/// its successor has to catch up; long enough for several renewals, even if one
/// of them is not answered.
constexpr Milliseconds LeaseTtl{2000};
constexpr Milliseconds RenewInterval{600};
constexpr Milliseconds RetryDelay{200};

} // namespace

ReplicaRegistration::ReplicaRegistration(EventLoop &Loop,
                                         KeyValueClient &Service)
    : Service(Service), Timer(Loop.context()) {}

void ReplicaRegistration::start(LedgerMember NewMember) {
  this->Member = std::move(NewMember);
  this->runNextStep();
}

void ReplicaRegistration::publishSynced(ViewVersion View) {
  this->Synced = View;
  this->IsSyncedWritten = false;
  this->runNextStep();
}

void ReplicaRegistration::runNextStep() {
  if (this->IsCalling)
    return;
  this->Timer.cancel();
  if (this->Lease.Value == 0)
    this->requestLease();
  else if (this->IsRenewalDue)
    this->renewLease();
  else if (!this->IsMemberWritten)
    this->writeMember();
  else if (this->Synced && !this->IsSyncedWritten)
    this->writeSynced();
  else {
    this->IsRenewalDue = true;
    this->scheduleNextStep(RenewInterval);
  }
}

void ReplicaRegistration::scheduleNextStep(Milliseconds Delay) {
  this->Timer.expires_after(Delay);
  this->Timer.async_wait([this](const auto &Error) {
    if (!Error)
      this->runNextStep();
  });
}

void ReplicaRegistration::requestLease() {
  this->IsCalling = true;
  this->Service.call(GrantLease{LeaseTtl}, [this](auto Reply) {
    this->IsCalling = false;
    if (!Reply) {
      this->scheduleNextStep(RetryDelay);
      return;
    }
    this->Lease = std::get<LeaseAnswer>(Reply.value()).Lease;
    this->IsRenewalDue = false;
    logEvent("replica_lease_granted",
             {{"lease", std::to_string(this->Lease.Value)}});
    this->runNextStep();
  });
}

void ReplicaRegistration::writeMember() {
  this->write(replicaKey(this->Member.Host), encodeLedgerMember(this->Member),
              [this] { this->IsMemberWritten = true; });
}

void ReplicaRegistration::writeSynced() {
  const ViewVersion View = *this->Synced;
  this->write(syncedKey(this->Member.Holder), std::to_string(View.Value),
              [this, View] { this->IsSyncedWritten = *this->Synced == View; });
}

/// A write that is not answered may have been carried out. It is repeated under
/// the same lease, alternating with renewals, until the service answers.
void ReplicaRegistration::write(const std::string &Key,
                                const std::string &Value,
                                std::function<void()> Done) {
  this->IsCalling = true;
  ConditionalWrite Write;
  Write.Writes.push_back({Key, Value, this->Lease});
  this->Service.write(std::move(Write),
                      [this, Key, Done = std::move(Done)](auto Answer) {
                        this->IsCalling = false;
                        if (Answer && Answer.value().HasSucceeded) {
                          Done();
                          this->runNextStep();
                          return;
                        }
                        if (Answer) {
                          this->handleLeaseEnd();
                          return;
                        }
                        logEvent("replica_write_unanswered", {{"key", Key}});
                        this->IsRenewalDue = true;
                        this->scheduleNextStep(RetryDelay);
                      });
}

void ReplicaRegistration::renewLease() {
  this->IsCalling = true;
  this->Service.call(RenewLease{this->Lease}, [this](auto Reply) {
    this->IsCalling = false;
    if (Reply && std::get<LeaseAnswer>(Reply.value()).IsEnded) {
      this->handleLeaseEnd();
      return;
    }
    // Without an answer the lease may have ended or be about to end, so the
    // renewal is repeated after a short delay.
    this->IsRenewalDue = !Reply;
    if (Reply)
      this->runNextStep();
    else
      this->scheduleNextStep(RetryDelay);
  });
}

void ReplicaRegistration::handleLeaseEnd() {
  logEvent("replica_lease_ended",
           {{"lease", std::to_string(this->Lease.Value)}});
  this->Lease = LeaseId();
  this->IsMemberWritten = false;
  this->IsSyncedWritten = false;
  this->runNextStep();
}

} // namespace tanagerlanding
