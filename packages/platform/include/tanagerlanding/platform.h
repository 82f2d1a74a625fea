/// \file
/// Package platform: the platform's key-value service, reached through the
/// etcd v3 JSON gateway, and what we keep there. Needs package engine for
/// HTTP.
#ifndef TANAGERLANDING_PLATFORM_H
#define TANAGERLANDING_PLATFORM_H

#include "tanagerlanding/platform/ConfigurationClient.h"
#include "tanagerlanding/platform/ConfigurationStore.h"
#include "tanagerlanding/platform/KeyValueClient.h"
#include "tanagerlanding/platform/ShardTableStore.h"

#endif
