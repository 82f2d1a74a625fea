/// \file
/// Issues permits for the requests of teams that have a quota over all relays.
///
/// As with targets, each member of the view issues an equal part of a quota.
/// Requests for permits of teams do not wait: each is answered at once, so that
/// the relay can ask the next member.
#ifndef TANAGERLANDING_DECISION_LEDGER_QUOTAISSUING_H
#define TANAGERLANDING_DECISION_LEDGER_QUOTAISSUING_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Records that a host has sent a message, if it is another member's.
void recordMemberContact(LedgerContext &Context, const HostId &Peer);

/// Adopts the quotas of a configuration, unless a newer one is known.
void adoptQuotas(LedgerContext &Context, const TeamQuotasConfigured &Event);

/// Answers one row of a relay's request that concerns a team.
void answerQuotaRow(LedgerContext &Context, const HostId &Peer,
                    const PermitRequest &Request,
                    const PermitRequest::Row &Row);

/// Returns the number of permits that a member's bucket of a team may hold.
double quotaCapacity(const RequestQuota &Quota, std::size_t MemberCount);

} // namespace tanagerlanding

#endif
