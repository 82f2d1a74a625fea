/// \file
/// Package gateway: the HTTP interface for callers, on package http, and the
/// status pages of other roles, on Pistache. Depends on packages engine (for
/// the chat protocol), http and runtime.
#ifndef TANAGERLANDING_GATEWAY_H
#define TANAGERLANDING_GATEWAY_H

#include "tanagerlanding/gateway/CallRequest.h"
#include "tanagerlanding/gateway/HttpGateway.h"
#include "tanagerlanding/gateway/StatusServer.h"

#endif
