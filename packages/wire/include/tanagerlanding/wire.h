/// \file
/// Package wire: serialization of messages and journal records with
/// FlatBuffers, and length-prefixed frames. Needs package decision for the
/// types.
#ifndef TANAGERLANDING_WIRE_H
#define TANAGERLANDING_WIRE_H

#include "tanagerlanding/wire/FrameReader.h"
#include "tanagerlanding/wire/MessageCodec.h"
#include "tanagerlanding/wire/RecordCodec.h"
#include "tanagerlanding/wire/SegmentIndexCodec.h"

#endif
