/// \file
/// How much of their quotas teams use, as one replica sees it.
#ifndef TANAGERLANDING_DECISION_LEDGER_QUOTAUSE_H
#define TANAGERLANDING_DECISION_LEDGER_QUOTAUSE_H

#include "tanagerlanding/decision/ledger/LedgerState.h"

#include <cstddef>
#include <vector>

namespace tanagerlanding {

/// The rate of a team's permits at one replica, as a share of what the replica
/// may issue in the long run.
struct TeamQuotaUse {
  TeamId Team;
  double UsedShare = 0;
};

/// Returns the teams to which this replica grants the most permits, at most
/// Most of them, the busiest first.
std::vector<TeamQuotaUse> busiestTeams(const LedgerState &State,
                                       std::size_t Most);

} // namespace tanagerlanding

#endif
