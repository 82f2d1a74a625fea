/// \file
/// Package daemon: the two roles of tanagerlandingd. Performs the reducers'
/// effects with the packages gateway, engine, platform, journal and runtime.
#ifndef TANAGERLANDING_DAEMON_H
#define TANAGERLANDING_DAEMON_H

#include "tanagerlanding/daemon/EntryProcess.h"
#include "tanagerlanding/daemon/SidecarProcess.h"

#endif
