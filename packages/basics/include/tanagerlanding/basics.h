/// \file
/// Package basics: identifiers, units, errors and hashing, used by all other
/// packages. Needs Boost.Outcome and xxHash, and no other package.
#ifndef TANAGERLANDING_BASICS_H
#define TANAGERLANDING_BASICS_H

#include "tanagerlanding/basics/Errors.h"
#include "tanagerlanding/basics/Hashing.h"
#include "tanagerlanding/basics/Ids.h"
#include "tanagerlanding/basics/Outcome.h"
#include "tanagerlanding/basics/SharedText.h"
#include "tanagerlanding/basics/Units.h"

#endif
