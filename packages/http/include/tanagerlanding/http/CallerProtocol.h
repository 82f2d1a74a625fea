/// \file
/// Conversion between HTTP messages of callers and their decoded form.
#ifndef TANAGERLANDING_HTTP_CALLERPROTOCOL_H
#define TANAGERLANDING_HTTP_CALLERPROTOCOL_H

#include "tanagerlanding/decision/relay/RelayReducer.h"

#include <cstdint>
#include <functional>
#include <string>

namespace tanagerlanding {

/// A complete HTTP request before decoding.
struct RawRequest {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  std::string Body;
};

/// A refusal as it is sent.
struct RefusalHead {
  std::uint16_t Status = 0;
  HeaderFields Headers;
  std::string Body;
};

/// Converts between HTTP heads and decoded requests. The server itself handles
/// hop-by-hop headers and Content-Length.
struct CallerProtocol {
  std::function<Result<CallerRequest, RelayRefusalReason>(RawRequest)>
      DecodeRequest;
  std::function<RefusalHead(const RelayRefusal &, const CallerAttemptId &)>
      EncodeRefusal;
};

} // namespace tanagerlanding

#endif
