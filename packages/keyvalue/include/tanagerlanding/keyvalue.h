/// \file
/// Package keyvalue: the key-value service, reached through a dialect (the
/// etcd v3 JSON gateway is one), and what we keep there. Needs package engine
/// for HTTP.
#ifndef TANAGERLANDING_KEYVALUE_H
#define TANAGERLANDING_KEYVALUE_H

#include "tanagerlanding/keyvalue/ConfigurationClient.h"
#include "tanagerlanding/keyvalue/ConfigurationStore.h"
#include "tanagerlanding/keyvalue/DirectoryProtocol.h"
#include "tanagerlanding/keyvalue/KeyValueClient.h"
#include "tanagerlanding/keyvalue/KeyValueDialect.h"
#include "tanagerlanding/keyvalue/KeyWatcher.h"
#include "tanagerlanding/keyvalue/LedgerStore.h"
#include "tanagerlanding/keyvalue/ShardTableStore.h"

#endif
