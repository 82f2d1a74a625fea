/// \file
/// Callers' HTTP requests as calls.
#ifndef TANAGERLANDING_GATEWAY_CALLREQUEST_H
#define TANAGERLANDING_GATEWAY_CALLREQUEST_H

#include "tanagerlanding/decision/Calls.h"

#include <functional>
#include <optional>
#include <string>

namespace tanagerlanding {

/// A request as it came in.
struct IncomingRequest {
  std::string Method;
  /// Path without the query.
  std::string Path;
  /// Query with its question mark, or empty.
  std::string Query;
  std::string Body;
  /// Returns a header's value by its name in any case.
  std::function<std::optional<std::string>(const std::string &)> Header;
};

/// Returns the call, or the failure to answer with. See docs/PROTOCOL.md for
/// paths and headers.
Result<Call, CallFailure> readCall(const IncomingRequest &Request);

/// Returns a failure's HTTP status.
std::uint16_t statusOf(const CallFailure &Failure);

/// Returns a failure as the JSON body that callers get.
std::string failureBody(const CallFailure &Failure);

} // namespace tanagerlanding

#endif
