/// \file
/// Package ledger: the role that keeps turns and budgets on the hosts with
/// disks. Needs packages decision, keyvalue, journal and runtime.
#ifndef TANAGERLANDING_LEDGER_H
#define TANAGERLANDING_LEDGER_H

#include "tanagerlanding/ledger/LedgerFolder.h"
#include "tanagerlanding/ledger/LedgerProcess.h"
#include "tanagerlanding/ledger/LedgerWriter.h"

#endif
