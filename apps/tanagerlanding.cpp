/// \file
/// The command-line tool for operators.
#include "tanagerlanding/ctl.h"

int main(int Count, char **Arguments) {
  return tanagerlanding::runCommandLine(Count, Arguments);
}
