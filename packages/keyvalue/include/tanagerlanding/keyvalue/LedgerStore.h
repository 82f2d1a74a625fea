/// \file
/// Keys and encodings of the ledger's membership in the key-value service.
#ifndef TANAGERLANDING_KEYVALUE_LEDGERSTORE_H
#define TANAGERLANDING_KEYVALUE_LEDGERSTORE_H

#include "tanagerlanding/decision/ledger/LedgerView.h"

#include <optional>
#include <string>

namespace tanagerlanding {

/// Prefix of all keys of the ledger.
extern const std::string LedgerPrefix;

/// Returns the key of the current view.
std::string ledgerViewKey();
/// Returns the key of a replica's registration, which is deleted when its
/// lease ends.
std::string replicaKey(const HostId &Host);
/// Returns the key under which a replica publishes the view for which it has
/// copied all records.
std::string syncedKey(const HolderId &Holder);

/// Returns the host of a replicaKey(), or nothing for other keys.
std::optional<HostId> hostOfReplicaKey(const std::string &Key);
/// Returns the replica of a syncedKey(), or nothing for other keys.
std::optional<HolderId> holderOfSyncedKey(const std::string &Key);

std::string encodeLedgerView(const LedgerView &View);
/// Returns the decoded view, or nothing if Text is not valid.
std::optional<LedgerView> decodeLedgerView(const std::string &Text);
std::string encodeLedgerMember(const LedgerMember &Member);
/// Returns the decoded member, or nothing if Text is not valid.
std::optional<LedgerMember> decodeLedgerMember(const std::string &Text);
/// Returns the view that a replica has published under its syncedKey(), or
/// nothing if Text is not valid.
std::optional<ViewVersion> decodeSynced(const std::string &Text);

} // namespace tanagerlanding

#endif
