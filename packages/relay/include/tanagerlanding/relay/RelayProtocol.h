/// \file
/// Conversion between a deployment's HTTP messages and the relay's types.
#ifndef TANAGERLANDING_RELAY_RELAYPROTOCOL_H
#define TANAGERLANDING_RELAY_RELAYPROTOCOL_H

#include "tanagerlanding/http/CallerProtocol.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace tanagerlanding {

/// The decoded head of a target's response.
struct DecodedTargetHead {
  TargetAnswerHead Head;
  /// The caller's attempt id that the response carries.
  std::optional<CallerAttemptId> AnsweredAttempt;
};

/// Converts between HTTP heads and the relay's types. The relay itself handles
/// hop-by-hop headers and Content-Length.
struct RelayProtocol : CallerProtocol {
  /// Returns an attempt's headers: the caller's and those that the relay adds.
  std::function<HeaderFields(const CallerRequest &, const SendAttempt &)>
      EncodeAttempt;
  std::function<DecodedTargetHead(std::uint16_t Status, HeaderFields)>
      DecodeTargetHead;
};

} // namespace tanagerlanding

#endif
