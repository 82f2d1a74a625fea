/// \file
/// Package decision: the reducers of all roles (entry, sidecar, journal holder,
/// relay, ledger replica) with their states, events and effects. Depends on
/// package basics only; performs no I/O, reads no clock and starts no threads.
#ifndef TANAGERLANDING_DECISION_H
#define TANAGERLANDING_DECISION_H

#include "tanagerlanding/decision/Calls.h"
#include "tanagerlanding/decision/CrashEvidence.h"
#include "tanagerlanding/decision/EntryReducer.h"
#include "tanagerlanding/decision/HolderReducer.h"
#include "tanagerlanding/decision/Inventory.h"
#include "tanagerlanding/decision/Messages.h"
#include "tanagerlanding/decision/Records.h"
#include "tanagerlanding/decision/SidecarReducer.h"
#include "tanagerlanding/decision/ledger/LedgerReducer.h"
#include "tanagerlanding/decision/relay/RelayReducer.h"

#endif
