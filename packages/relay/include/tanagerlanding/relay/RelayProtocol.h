/// \file
/// Conversion between a deployment's HTTP messages and the relay's types.
#ifndef TANAGERLANDING_RELAY_RELAYPROTOCOL_H
#define TANAGERLANDING_RELAY_RELAYPROTOCOL_H

#include "tanagerlanding/decision/relay/RelayReducer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace tanagerlanding {

/// A complete HTTP request before decoding.
struct RawRequest {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  std::string Body;
};

/// The decoded head of a target's response.
struct DecodedTargetHead {
  TargetAnswerHead Head;
  /// The caller's attempt id that the response carries.
  std::optional<CallerAttemptId> AnsweredAttempt;
};

/// The head of a refusal.
struct RefusalHead {
  std::uint16_t Status = 0;
  HeaderFields Headers;
};

/// Converts between HTTP heads and the relay's types. The relay itself handles
/// hop-by-hop headers and Content-Length.
struct RelayProtocol {
  std::function<Result<CallerRequest, RelayRefusalReason>(RawRequest)>
      DecodeRequest;
  /// Returns an attempt's headers: the caller's and those that the relay adds.
  std::function<HeaderFields(const CallerRequest &, const SendAttempt &)>
      EncodeAttempt;
  std::function<DecodedTargetHead(std::uint16_t Status, HeaderFields)>
      DecodeTargetHead;
  std::function<RefusalHead(const RelayRefusal &, const CallerAttemptId &)>
      EncodeRefusal;
};

} // namespace tanagerlanding

#endif
