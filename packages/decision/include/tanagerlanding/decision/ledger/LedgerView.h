/// \file
/// The membership of the ledger, as agreed in the key-value service.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERVIEW_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERVIEW_H

#include "tanagerlanding/basics.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace tanagerlanding {

/// A replica of the ledger: one data folder and the process that serves it.
struct LedgerMember {
  HolderId Holder;
  HostId Host;
  std::string Address;
  std::uint16_t Port = 0;
  ZoneId Zone;

  bool operator==(const LedgerMember &Other) const {
    return this->Holder == Other.Holder && this->Host == Other.Host &&
           this->Address == Other.Address && this->Port == Other.Port;
  }
};

/// One version of the membership.
///
/// A record is durable once writeQuorum() replicas have it; an answer is
/// certain once readQuorum() replicas of Current have given it. Any such two
/// sets share a replica. While Next is not empty the membership is changing:
/// reads ask Current, writes need a quorum of both, and each replica in Next
/// copies what readQuorum() replicas of Current have before the version with
/// Current = Next is written.
struct LedgerView {
  ViewVersion Version;
  /// Replicas that may be lost at the same time.
  std::uint32_t Tolerated = 1;
  std::vector<LedgerMember> Current;
  std::vector<LedgerMember> Next;

  /// Returns how many of a set of replicas must have a record.
  std::size_t writeQuorum(const std::vector<LedgerMember> &Set) const;
  /// Returns how many replicas of Current must answer a read.
  std::size_t readQuorum() const;
  /// Returns whether enough replicas have a record for it to be durable.
  bool isWrittenBy(const std::set<HolderId> &Holders) const;
  /// Returns whether enough replicas have answered for it to be certain.
  bool isReadBy(const std::set<HolderId> &Holders) const;
  /// Returns whether the membership is changing.
  bool isChanging() const { return !this->Next.empty(); }
  /// Returns all replicas of Current and Next, each once.
  std::vector<LedgerMember> allMembers() const;
};

/// Returns whether a set of replicas has this one.
bool containsHolder(const std::vector<LedgerMember> &Set,
                    const HolderId &Holder);

} // namespace tanagerlanding

#endif
