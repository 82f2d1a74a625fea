/// \file
/// The operators' command line.
#include "tanagerlanding/ctl.h"

int main(int Count, char **Arguments) {
  return tanagerlanding::runCommandLine(Count, Arguments);
}
