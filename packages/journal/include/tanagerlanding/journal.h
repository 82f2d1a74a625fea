/// \file
/// Package journal: storage of shard records in segment files on a small disk.
/// Depends on package wire for the encoding of records.
#ifndef TANAGERLANDING_JOURNAL_H
#define TANAGERLANDING_JOURNAL_H

#include "tanagerlanding/journal/FileSystem.h"
#include "tanagerlanding/journal/JournalFolder.h"
#include "tanagerlanding/journal/JournalWriter.h"
#include "tanagerlanding/journal/SegmentFolder.h"

#endif
