/// \file
/// Package relay: the relay role, which forwards callers' requests to targets,
/// on Boost.Beast. Depends on packages decision, engine, http, keyvalue,
/// gateway and runtime.
#ifndef TANAGERLANDING_RELAY_H
#define TANAGERLANDING_RELAY_H

#include "tanagerlanding/relay/AttemptClient.h"
#include "tanagerlanding/relay/RelayProcess.h"
#include "tanagerlanding/relay/RelayProtocol.h"

#endif
