/// \file
/// Package ctl: the command-line tool for operators. Needs CLI11 and packages
/// platform, settings and runtime.
#ifndef TANAGERLANDING_CTL_H
#define TANAGERLANDING_CTL_H

#include "tanagerlanding/ctl/CommandLine.h"

#endif
