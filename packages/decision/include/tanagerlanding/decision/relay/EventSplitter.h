/// \file
/// Splits an event stream into whole events.
#ifndef TANAGERLANDING_DECISION_RELAY_EVENTSPLITTER_H
#define TANAGERLANDING_DECISION_RELAY_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerlanding {

/// One event of a text/event-stream body.
struct StreamEvent {
  /// The event's bytes as received, including the empty line that ends it.
  std::string Bytes;
  std::optional<std::uint64_t> Id;
  /// The values of its data lines, joined by line feeds.
  std::string Data;
  /// Whether it has any data line; comments and retry fields have none.
  bool HasData = false;
};

/// Incremental parser that splits the bytes of an event stream, received in
/// pieces of any size, into whole events.
class EventSplitter {
public:
  /// Appends bytes and returns the events that they complete.
  std::vector<StreamEvent> append(std::string_view Bytes);

  /// Returns whether bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return !this->Partial.empty(); }
  std::size_t partialBytes() const { return this->Partial.size(); }

private:
  std::string Partial;
};

} // namespace tanagerlanding

#endif
