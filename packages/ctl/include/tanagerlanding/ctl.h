/// \file
/// Package ctl: the operators' command line. Needs CLI11 and packages
/// platform, settings and runtime.
#ifndef TANAGERLANDING_CTL_H
#define TANAGERLANDING_CTL_H

#include "tanagerlanding/ctl/CommandLine.h"

#endif
