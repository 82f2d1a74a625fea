/// \file
/// Package runtime: the event loop, the timer service, connections between the
/// processes of a deployment, logs, metrics and traces. Needs Boost.Asio,
/// Boost.Histogram, glog, nlohmann-json, and packages wire and settings.
#ifndef TANAGERLANDING_RUNTIME_H
#define TANAGERLANDING_RUNTIME_H

#include "tanagerlanding/runtime/Acceptor.h"
#include "tanagerlanding/runtime/ConnectionHub.h"
#include "tanagerlanding/runtime/EventLoop.h"
#include "tanagerlanding/runtime/HostResources.h"
#include "tanagerlanding/runtime/Identity.h"
#include "tanagerlanding/runtime/Log.h"
#include "tanagerlanding/runtime/Metrics.h"
#include "tanagerlanding/runtime/TimerService.h"
#include "tanagerlanding/runtime/TraceWriter.h"

#endif
