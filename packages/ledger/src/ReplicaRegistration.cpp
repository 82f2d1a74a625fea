#include "tanagerlanding/ledger/ReplicaRegistration.h"

namespace tanagerlanding {

namespace {

/// A lost replica should be replaced within the seconds that a successor has
/// to catch up; several renewals fit in.
constexpr Milliseconds LeaseTime{2000};
constexpr Milliseconds RenewInterval{600};
constexpr Milliseconds RetryPause{200};

} // namespace

ReplicaRegistration::ReplicaRegistration(EventLoop &Loop,
                                         KeyValueClient &Service)
    : Service(Service), Timer(Loop.context()) {}

void ReplicaRegistration::start(LedgerMember Wanted) {
  this->Member = std::move(Wanted);
  this->grant();
}

void ReplicaRegistration::tellSynced(ViewVersion View) {
  this->Synced = View;
  if (this->Lease.Value != 0)
    this->writeSynced();
}

void ReplicaRegistration::grant() {
  this->Lease = LeaseId();
  this->Service.call(GrantLease{LeaseTime}, [this](auto Reply) {
    if (!Reply) {
      this->retryLater();
      return;
    }
    this->Lease = std::get<LeaseAnswer>(Reply.value()).Lease;
    logEvent("replica_lease_granted",
             {{"lease", std::to_string(this->Lease.Value)}});
    this->writeMember();
  });
}

void ReplicaRegistration::retryLater() {
  this->Timer.expires_after(RetryPause);
  this->Timer.async_wait([this](const auto &Error) {
    if (!Error)
      this->grant();
  });
}

void ReplicaRegistration::writeUnderLease(const std::string &Key,
                                          const std::string &Value,
                                          std::function<void()> Done) {
  ConditionalWrite Write;
  Write.Writes.push_back({Key, Value, this->Lease});
  this->Service.write(std::move(Write),
                      [this, Done = std::move(Done)](auto Answer) {
                        if (Answer && Answer.value().Succeeded)
                          Done();
                        else
                          this->retryLater();
                      });
}

void ReplicaRegistration::writeMember() {
  this->writeUnderLease(replicaKey(this->Member.Host),
                        encodeLedgerMember(this->Member), [this] {
                          if (this->Synced)
                            this->writeSynced();
                          this->renew();
                        });
}

void ReplicaRegistration::writeSynced() {
  // Written again with the next lease where this write fails.
  ConditionalWrite Write;
  Write.Writes.push_back({syncedKey(this->Member.Holder),
                          std::to_string(this->Synced->Value), this->Lease});
  this->Service.write(std::move(Write), [this](auto Answer) {
    if (Answer && Answer.value().Succeeded)
      return;
    logEvent("replica_synced_write_failed",
             {{"view", std::to_string(this->Synced->Value)}});
    this->Timer.cancel();
    this->grant();
  });
}

void ReplicaRegistration::renew() {
  this->Timer.expires_after(RenewInterval);
  this->Timer.async_wait([this](const auto &Error) {
    if (Error)
      return;
    this->Service.call(RenewLease{this->Lease}, [this](auto Reply) {
      if (Reply && std::get<LeaseAnswer>(Reply.value()).IsEnded) {
        logEvent("replica_lease_ended",
                 {{"lease", std::to_string(this->Lease.Value)}});
        this->grant();
        return;
      }
      // An unanswered renewal leaves open whether the lease lives; the next
      // one tells.
      this->renew();
    });
  });
}

} // namespace tanagerlanding
