/// \file
/// The command-line tool for operators.
#include "tanagerlanding/ctl.h"
#include "tanagerlanding/platform.h"

int main(int Count, char **Arguments) {
  return tanagerlanding::runCommandLine(
      Count, Arguments, tanagerlanding::platform::checkConfiguration);
}
