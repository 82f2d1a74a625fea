/// \file
/// Spans of traces, as lines of JSON.
#ifndef TANAGERLANDING_RUNTIME_TRACEWRITER_H
#define TANAGERLANDING_RUNTIME_TRACEWRITER_H

#include "tanagerlanding/basics.h"

#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// Appends spans to a file, each as one line shaped like an OTLP span.
class TraceWriter {
public:
  /// Writes to the file at Path; an empty path means no spans are kept.
  TraceWriter(const std::string &Path, std::string Host);
  TraceWriter(const TraceWriter &) = delete;
  TraceWriter &operator=(const TraceWriter &) = delete;

  /// Writes a span that ends now. TraceParent is a W3C traceparent; a span
  /// without a valid one is not written.
  void write(const std::string &TraceParent, const std::string &Name,
             Milliseconds Duration,
             const std::vector<std::pair<std::string, std::string>> &Values);

private:
  std::ofstream File;
  std::string Host;
};

/// Returns a new W3C traceparent.
std::string makeTraceParent();

/// Returns whether Text is a W3C traceparent.
bool isTraceParent(const std::string &Text);

} // namespace tanagerlanding

#endif
