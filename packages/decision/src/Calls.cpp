#include "tanagerlanding/decision/Calls.h"

namespace tanagerlanding {

std::uint64_t digestOf(const Call &RequestedCall) {
  std::string Content = RequestedCall.Service.Value;
  Content += '\n';
  Content += RequestedCall.Method;
  Content += '\n';
  Content += RequestedCall.Path;
  Content += '\n';
  Content += RequestedCall.Agent.Value;
  Content += '\n';
  Content += RequestedCall.Body;
  return hashBytes(Content);
}

} // namespace tanagerlanding
