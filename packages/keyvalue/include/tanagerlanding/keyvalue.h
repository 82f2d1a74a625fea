/// \file
/// Package keyvalue: client of the key-value service, with exchangeable
/// dialects (such as the etcd v3 JSON gateway), and the keys and values that
/// this project stores there. Needs package engine for HTTP.
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
