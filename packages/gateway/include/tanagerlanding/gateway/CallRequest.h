/// \file
/// Conversion of callers' HTTP requests to calls, and of failures to HTTP.
#ifndef TANAGERLANDING_GATEWAY_CALLREQUEST_H
#define TANAGERLANDING_GATEWAY_CALLREQUEST_H

#include "tanagerlanding/decision/Calls.h"

#include <functional>
#include <optional>
#include <string>

namespace tanagerlanding {

/// An HTTP request before conversion.
struct IncomingRequest {
  std::string Method;
  /// Path without the query.
  std::string Path;
  /// Query including the question mark, or empty.
  std::string Query;
  std::string Body;
  /// Returns a header's value; names are case-insensitive.
  std::function<std::optional<std::string>(const std::string &)> Header;
};

/// Parses a request into a call, or returns the failure to respond with. See
/// docs/PROTOCOL.md for paths and headers.
Result<Call, CallFailure> readCall(const IncomingRequest &Request);

/// Returns the HTTP status code for a failure.
std::uint16_t httpStatusFor(const CallFailure &Failure);

/// Returns the JSON response body for a failure.
std::string failureBody(const CallFailure &Failure);

} // namespace tanagerlanding

#endif
