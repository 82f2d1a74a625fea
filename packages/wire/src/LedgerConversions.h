/// \file
/// Conversions between the ledger's messages and the generated FlatBuffers
/// tables.
#ifndef TANAGERLANDING_WIRE_LEDGERCONVERSIONS_H
#define TANAGERLANDING_WIRE_LEDGERCONVERSIONS_H

#include "messages_generated.h"
#include "tanagerlanding/decision/ledger/LedgerMessages.h"

namespace tanagerlanding {

wire::LedgerBatchT toTable(const LedgerBatch &Body);
LedgerBatch fromTable(const wire::LedgerBatchT &Table);
wire::StreamStartedT toTable(const StreamStarted &Body);
StreamStarted fromTable(const wire::StreamStartedT &Table);
wire::StreamOutputsT toTable(const StreamOutputs &Body);
StreamOutputs fromTable(const wire::StreamOutputsT &Table);
wire::ContinuationFailedT toTable(const ContinuationFailed &Body);
ContinuationFailed fromTable(const wire::ContinuationFailedT &Table);
wire::OpenTurnT toTable(const OpenTurn &Body);
OpenTurn fromTable(const wire::OpenTurnT &Table);
wire::TurnOpenedT toTable(const TurnOpened &Body);
TurnOpened fromTable(const wire::TurnOpenedT &Table);
wire::CloseTurnT toTable(const CloseTurn &Body);
CloseTurn fromTable(wire::CloseTurnT Table);
wire::HistoryQueryT toTable(const HistoryQuery &Body);
HistoryQuery fromTable(const wire::HistoryQueryT &Table);
wire::HistoryPartT toTable(const HistoryPart &Body);
HistoryPart fromTable(wire::HistoryPartT Table);
wire::TurnClosedT toTable(const TurnClosed &Body);
TurnClosed fromTable(const wire::TurnClosedT &Table);
wire::LedgerRefusedT toTable(const LedgerRefused &Body);
LedgerRefused fromTable(const wire::LedgerRefusedT &Table);
wire::ViewOfferT toTable(const ViewOffer &Body);
ViewOffer fromTable(const wire::ViewOfferT &Table);
wire::PullRecordsT toTable(const PullRecords &Body);
PullRecords fromTable(const wire::PullRecordsT &Table);
wire::RecordsPageT toTable(const RecordsPage &Body);
RecordsPage fromTable(const wire::RecordsPageT &Table);
wire::TurnsQueryT toTable(const TurnsQuery &Body);
TurnsQuery fromTable(const wire::TurnsQueryT &Table);
wire::TurnsFoundT toTable(const TurnsFound &Body);
TurnsFound fromTable(const wire::TurnsFoundT &Table);
wire::DirectoryChangesT toTable(const DirectoryChanges &Body);
DirectoryChanges fromTable(const wire::DirectoryChangesT &Table);

} // namespace tanagerlanding

#endif
