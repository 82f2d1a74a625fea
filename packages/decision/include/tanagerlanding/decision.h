/// \file
/// Package decision: the reducers of the roles (entry, sidecar, copy holder,
/// relay, ledger replica) with their states, events and effects. Needs package
/// basics only; does no I/O, reads no clock, starts no thread.
#ifndef TANAGERLANDING_DECISION_H
#define TANAGERLANDING_DECISION_H

#include "tanagerlanding/decision/Calls.h"
#include "tanagerlanding/decision/EntryReducer.h"
#include "tanagerlanding/decision/HolderReducer.h"
#include "tanagerlanding/decision/Inventory.h"
#include "tanagerlanding/decision/Messages.h"
#include "tanagerlanding/decision/Records.h"
#include "tanagerlanding/decision/SidecarReducer.h"
#include "tanagerlanding/decision/ledger/LedgerReducer.h"
#include "tanagerlanding/decision/relay/RelayReducer.h"

#endif
