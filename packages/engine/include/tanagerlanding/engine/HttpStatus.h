/// \file
/// Which statuses of HTTP/1.1 responses are possible.
#ifndef TANAGERLANDING_ENGINE_HTTPSTATUS_H
#define TANAGERLANDING_ENGINE_HTTPSTATUS_H

namespace tanagerlanding {

/// Returns whether a response with this status may precede the final one. 101
/// may not, as no request asks for another protocol.
inline bool isInterimStatus(unsigned Status) {
  return 100 <= Status && Status < 200 && Status != 101;
}

/// Returns whether a response with this status ends a request. One that is
/// neither interim nor final is no answer.
inline bool isFinalStatus(unsigned Status) {
  return 200 <= Status && Status < 600;
}

} // namespace tanagerlanding

#endif
