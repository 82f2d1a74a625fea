#include "ClosableConnections.h"

#include <algorithm>

namespace tanagerlanding {

std::vector<CallerConnectionId>
selectClosed(std::vector<ClosableConnection> Connections, std::size_t Count) {
  const auto End =
      Connections.begin() +
      static_cast<std::ptrdiff_t>(std::min(Count, Connections.size()));
  std::partial_sort(
      Connections.begin(), End, Connections.end(),
      [](const ClosableConnection &Left, const ClosableConnection &Right) {
        if (Left.CurrentUse != Right.CurrentUse)
          return Left.CurrentUse < Right.CurrentUse;
        return Left.Since < Right.Since;
      });
  std::vector<CallerConnectionId> Selected;
  for (auto Each = Connections.begin(); Each != End; ++Each)
    Selected.push_back(Each->Connection);
  return Selected;
}

} // namespace tanagerlanding
