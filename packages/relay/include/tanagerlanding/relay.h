/// \file
/// Package relay: the role that passes callers' requests on to targets, on
/// Boost.Beast. Needs packages decision, keyvalue, gateway and runtime.
#ifndef TANAGERLANDING_RELAY_H
#define TANAGERLANDING_RELAY_H

#include "tanagerlanding/relay/AttemptClient.h"
#include "tanagerlanding/relay/CallerServer.h"
#include "tanagerlanding/relay/RelayProcess.h"
#include "tanagerlanding/relay/RelayProtocol.h"

#endif
