/// \file
/// The membership of the ledger, agreed on through the key-value service.
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
/// A record is durable once writeQuorum() replicas have stored it; the result
/// of a read is certain once readQuorum() replicas of Current have answered.
/// Any write quorum and any read quorum share a replica. While Next is not
/// empty, the membership is changing: reads ask Current, and writes need a
/// quorum of both sets. Before the version with Current = Next is written, the
/// replicas of Next that may lack durable records copy those of readQuorum()
/// replicas of Current.
struct LedgerView {
  ViewVersion Version;
  /// Number of replicas that may be lost at the same time.
  std::uint32_t ToleratedFailures = 1;
  std::vector<LedgerMember> Current;
  std::vector<LedgerMember> Next;

  /// Returns the number of replicas of a set that must store a record.
  std::size_t writeQuorum(const std::vector<LedgerMember> &Set) const;
  /// Returns the number of replicas of Current that must answer a read.
  std::size_t readQuorum() const;
  /// Returns whether a record that these replicas have stored is durable.
  bool hasWriteQuorum(const std::set<HolderId> &Holders) const;
  /// Returns whether the answers of these replicas make a read certain.
  bool hasReadQuorum(const std::set<HolderId> &Holders) const;
  bool isChanging() const { return !this->Next.empty(); }
  /// Returns the replicas of Current and Next without duplicates.
  std::vector<LedgerMember> allMembers() const;
};

/// Returns whether a set of replicas contains the one with this id.
bool containsHolder(const std::vector<LedgerMember> &Set,
                    const HolderId &Holder);

} // namespace tanagerlanding

#endif
