/// \file
/// Changes of the ledger's membership.
#ifndef TANAGERLANDING_DECISION_LEDGER_LEDGERMEMBERSHIP_H
#define TANAGERLANDING_DECISION_LEDGER_LEDGERMEMBERSHIP_H

#include "LedgerContext.h"

namespace tanagerlanding {

/// Adopts a view if it is newer than the present one.
void adoptView(LedgerContext &Context, const LedgerView &View);

/// Returns whether this replica has to copy records before the present change
/// of the view can be completed, and has not copied all of them.
bool isCopying(const LedgerState &State);

/// Returns the current members ordered by distance: this replica, live members
/// of its zone, live members of other zones, and members that have failed or
/// are not registered.
std::vector<LedgerMember> nearestFirst(const LedgerState &State);

/// Compares the members with the registrations, writes the next view if one is
/// due, and reports the progress of retirements.
void reconcileMembership(LedgerContext &Context);

/// Copies the records that this replica needs before the present change of the
/// view can be completed: starts a pull if there is none, and repeats requests
/// to sources that have not finished if no page has arrived within the retry
/// interval.
void continuePull(LedgerContext &Context);

/// Stores the unknown records of a page from another replica, and requests the
/// next page.
void handleRecordsPage(LedgerContext &Context, const HostId &Peer,
                       const RecordsPage &Page);

/// Lets the pull start again if one of its batches could not be stored.
void failPull(LedgerState &State, std::uint64_t Ticket);

/// Completes the pull once enough sources have sent everything and all pulled
/// batches are durable.
void completePull(LedgerContext &Context);

/// Sends a page of records to another replica, or the newer view if the other
/// replica's view is out of date.
void handlePull(LedgerContext &Context, const HostId &Peer,
                const PullRecords &Request);

} // namespace tanagerlanding

#endif
