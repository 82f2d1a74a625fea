/// \file
/// How a deployment's callers and targets speak HTTP.
#ifndef TANAGERLANDING_RELAY_RELAYPROTOCOL_H
#define TANAGERLANDING_RELAY_RELAYPROTOCOL_H

#include "tanagerlanding/decision/relay/RelayReducer.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace tanagerlanding {

/// A whole HTTP request as it came.
struct RawRequest {
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  std::string Body;
};

/// The head of a target's answer, decoded.
struct DecodedTargetHead {
  TargetAnswerHead Head;
  /// The caller's attempt that the target says it answers.
  std::optional<CallerAttemptId> Answers;
};

/// The head of the system's own answer.
struct RefusalHead {
  std::uint16_t Status = 0;
  HeaderFields Headers;
};

/// Translates between HTTP heads and the relay's types. Headers that concern
/// one connection only, lengths among them, are handled by the relay itself.
struct RelayProtocol {
  std::function<Result<CallerRequest, RelayRefusalReason>(RawRequest)>
      DecodeRequest;
  /// Returns the headers of an attempt: the caller's, and the system's own.
  std::function<HeaderFields(const CallerRequest &, const SendAttempt &)>
      EncodeAttempt;
  std::function<DecodedTargetHead(std::uint16_t Status, HeaderFields)>
      DecodeTargetHead;
  std::function<RefusalHead(const RelayRefusal &, const CallerAttemptId &)>
      EncodeRefusal;
};

} // namespace tanagerlanding

#endif
