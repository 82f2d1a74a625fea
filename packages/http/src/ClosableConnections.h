/// \file
/// Choice of the connections that are closed in favour of new ones.
#ifndef TANAGERLANDING_HTTP_CLOSABLECONNECTIONS_H
#define TANAGERLANDING_HTTP_CLOSABLECONNECTIONS_H

#include "tanagerlanding/http/BufferBudget.h"

#include <vector>

namespace tanagerlanding {

/// A connection on which no request is being served.
struct ClosableConnection {
  /// In the order in which connections are closed.
  enum class Use : std::uint8_t {
    /// Its request was refused.
    Refused,
    /// It has never brought a complete request.
    Unused,
    /// It is kept for another request.
    Idle,
    /// A request is arriving.
    Arriving,
  };

  CallerConnectionId Connection;
  Use CurrentUse = Use::Unused;
  /// Since when it is used like this or, while a request is arriving, when that
  /// last made progress.
  Instant Since;
};

/// Returns up to Count connections: by use and, among those of the same use,
/// the longest used like this.
std::vector<CallerConnectionId>
selectClosed(std::vector<ClosableConnection> Connections, std::size_t Count);

} // namespace tanagerlanding

#endif
