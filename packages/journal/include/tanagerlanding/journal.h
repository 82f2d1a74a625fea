/// \file
/// Package journal: records of shards in segments on a small disk. Needs
/// package wire for the records' encoding.
#ifndef TANAGERLANDING_JOURNAL_H
#define TANAGERLANDING_JOURNAL_H

#include "tanagerlanding/journal/JournalFolder.h"
#include "tanagerlanding/journal/JournalWriter.h"
#include "tanagerlanding/journal/SegmentFolder.h"

#endif
