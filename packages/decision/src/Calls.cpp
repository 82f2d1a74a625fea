#include "tanagerlanding/decision/Calls.h"

namespace tanagerlanding {

std::uint64_t digestOf(const Call &Asked) {
  std::string Content = Asked.Service.Value;
  Content += '\n';
  Content += Asked.Method;
  Content += '\n';
  Content += Asked.Path;
  Content += '\n';
  Content += Asked.Agent.Value;
  Content += '\n';
  Content += Asked.Body;
  return hashBytes(Content);
}

} // namespace tanagerlanding
