/// \file
/// What the ledger keeps in the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_LEDGERSTORE_H
#define TANAGERLANDING_KEYVALUE_LEDGERSTORE_H

#include "tanagerlanding/decision/ledger/LedgerView.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// The prefix of all keys of the ledger.
extern const std::string LedgerPrefix;

/// The key of the view.
std::string ledgerViewKey();
/// The key of a replica's registration, which goes with its lease.
std::string replicaKey(const HostId &Host);
/// The key under which a replica tells for which view it has copied all.
std::string syncedKey(const HolderId &Holder);

/// Returns the host of a registration's key, or nothing for other keys.
std::optional<HostId> hostOfReplicaKey(const std::string &Key);
/// Returns the replica of a syncedKey(), or nothing for other keys.
std::optional<HolderId> holderOfSyncedKey(const std::string &Key);

std::string encodeLedgerView(const LedgerView &View);
/// Returns nothing where the text is not a view.
std::optional<LedgerView> decodeLedgerView(const std::string &Text);
std::string encodeLedgerMember(const LedgerMember &Member);
std::optional<LedgerMember> decodeLedgerMember(const std::string &Text);

} // namespace tanagerlanding

#endif
