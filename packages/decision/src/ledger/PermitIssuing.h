/// \file
/// Issues permits for requests to targets that name a limit for all relays
/// together, and answers requests for permits of teams; see QuotaIssuing.h.
///
/// Each member of the view issues an equal part of the limit, so that members
/// need not agree, and a lost one can only lower what the target gets.
#ifndef TANAGERLANDING_DECISION_LEDGER_PERMITISSUING_H
#define TANAGERLANDING_DECISION_LEDGER_PERMITISSUING_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Returns the part of a limit that each of the members issues.
RequestRate shareOf(RequestRate Limit, std::size_t MemberCount);

/// Merges a limit that a relay has learned of, and tells all relays if the
/// target now has a limit or has none any more.
void handleLimitNotice(LedgerContext &Context, const HostId &Peer,
                       const TargetLimitNotice &Notice);

/// Sends all limits in force to a relay.
void sendLimitsTo(LedgerContext &Context, const HostId &Peer);

/// Grants permits to a relay, at once or when there are some.
void handlePermitRequest(LedgerContext &Context, const HostId &Peer,
                         const PermitRequest &Request);

/// Grants permits that have become available to the relays that wait for them.
void issueWaitingPermits(LedgerContext &Context);

} // namespace tanagerlanding

#endif
