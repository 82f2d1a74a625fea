/// \file
/// Package daemon: the entry and sidecar roles of tanagerlandingd. Performs the
/// reducers' effects with packages gateway, engine, keyvalue, journal and
/// runtime.
#ifndef TANAGERLANDING_DAEMON_H
#define TANAGERLANDING_DAEMON_H

#include "tanagerlanding/daemon/EntryProcess.h"
#include "tanagerlanding/daemon/SidecarProcess.h"

#endif
