#include "tanagerlanding/decision/relay/RelayConfiguration.h"

namespace tanagerlanding {

const RelayRoute *findRoute(const RelayConfiguration &Configuration,
                            const std::string &Host, const std::string &Path) {
  const RelayRoute *Best = nullptr;
  for (const RelayRoute &Each : Configuration.Routes) {
    if (Each.Host != Host ||
        Path.compare(0, Each.PathPrefix.size(), Each.PathPrefix) != 0)
      continue;
    if (!Best || Best->PathPrefix.size() < Each.PathPrefix.size())
      Best = &Each;
  }
  return Best;
}

} // namespace tanagerlanding
