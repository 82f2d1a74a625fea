/// \file
/// Package engine: HTTP calls to targets with libcurl, and the engines' chat
/// protocol. Needs libcurl, nlohmann-json and package runtime.
#ifndef TANAGERLANDING_ENGINE_H
#define TANAGERLANDING_ENGINE_H

#include "tanagerlanding/engine/ChatProtocol.h"
#include "tanagerlanding/engine/HttpClient.h"
#include "tanagerlanding/engine/TargetClient.h"

#endif
