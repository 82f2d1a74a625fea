/// \file
/// Package http: the HTTP/1.1 server for callers and the budgets of its memory,
/// on Boost.Beast. Depends on packages decision and runtime.
#ifndef TANAGERLANDING_HTTP_H
#define TANAGERLANDING_HTTP_H

#include "tanagerlanding/http/BufferBudget.h"
#include "tanagerlanding/http/CallerProtocol.h"
#include "tanagerlanding/http/CallerServer.h"
#include "tanagerlanding/http/HttpHead.h"
#include "tanagerlanding/http/ReceiveBudget.h"

#endif
