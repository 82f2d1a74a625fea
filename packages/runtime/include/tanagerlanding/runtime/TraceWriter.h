/// \file
/// Writes trace spans as JSON lines.
#ifndef TANAGERLANDING_RUNTIME_TRACEWRITER_H
#define TANAGERLANDING_RUNTIME_TRACEWRITER_H

#include "tanagerlanding/basics.h"

#include <fstream>
#include <string>
#include <utility>
#include <vector>

namespace tanagerlanding {

/// Appends spans to a file, each as one JSON line similar to an OTLP span.
class TraceWriter {
public:
  /// Appends to the file at Path; an empty path disables writing. Host is
  /// written to each span.
  TraceWriter(const std::string &Path, std::string Host);
  TraceWriter(const TraceWriter &) = delete;
  TraceWriter &operator=(const TraceWriter &) = delete;

  /// Writes a span that ends now, with Values as its attributes. TraceParent
  /// is a W3C traceparent; a span without a valid one is not written.
  void write(const std::string &TraceParent, const std::string &Name,
             Milliseconds Duration,
             const std::vector<std::pair<std::string, std::string>> &Values);

private:
  std::ofstream File;
  std::string Host;
};

/// Returns a new W3C traceparent.
std::string makeTraceParent();

/// Returns whether Text has the length and characters of a W3C traceparent.
bool isTraceParent(const std::string &Text);

} // namespace tanagerlanding

#endif
