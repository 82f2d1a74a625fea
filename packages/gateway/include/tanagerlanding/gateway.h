/// \file
/// Package gateway: the HTTP interface for callers, on Pistache. Depends on
/// packages engine (for the chat protocol) and runtime.
#ifndef TANAGERLANDING_GATEWAY_H
#define TANAGERLANDING_GATEWAY_H

#include "tanagerlanding/gateway/CallRequest.h"
#include "tanagerlanding/gateway/HttpGateway.h"
#include "tanagerlanding/gateway/StatusServer.h"

#endif
