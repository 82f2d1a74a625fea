/// \file
/// Package engine: HTTP calls to targets with libcurl, and the chat protocol of
/// model engines. Depends on libcurl, nlohmann-json and package runtime.
#ifndef TANAGERLANDING_ENGINE_H
#define TANAGERLANDING_ENGINE_H

#include "tanagerlanding/engine/ChatProtocol.h"
#include "tanagerlanding/engine/HttpClient.h"
#include "tanagerlanding/engine/TargetClient.h"

#endif
