/// \file
/// Package ledger: the role that stores turns and budgets on hosts with disks.
/// Depends on packages decision, keyvalue, journal and runtime.
#ifndef TANAGERLANDING_LEDGER_H
#define TANAGERLANDING_LEDGER_H

#include "tanagerlanding/ledger/HistoryReader.h"
#include "tanagerlanding/ledger/IntakeBudget.h"
#include "tanagerlanding/ledger/LedgerFolder.h"
#include "tanagerlanding/ledger/LedgerProcess.h"
#include "tanagerlanding/ledger/LedgerWriter.h"

#endif
