#include "tanagerlanding/decision/relay/EventSplitter.h"

#include <charconv>

namespace tanagerlanding {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view DataField = "data:";

bool startsWith(std::string_view Line, std::string_view Field) {
  return Line.substr(0, Field.size()) == Field;
}

/// Returns a field's value. One space after the colon is part of the separator.
std::string_view valueOf(std::string_view Line, std::string_view Field) {
  std::string_view Value = Line.substr(Field.size());
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  return Value;
}

/// Removes the first line from Text and returns it without its line ending.
std::string_view takeLine(std::string_view &Text) {
  const std::size_t End = Text.find('\n');
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

StreamEvent parseEvent(std::string_view Bytes) {
  StreamEvent Event;
  Event.Bytes = std::string(Bytes);
  while (!Bytes.empty()) {
    const std::string_view Line = takeLine(Bytes);
    if (startsWith(Line, IdField)) {
      const std::string_view Value = valueOf(Line, IdField);
      std::uint64_t Number = 0;
      const auto Read = std::from_chars(Value.begin(), Value.end(), Number);
      if (Read.ec == std::errc())
        Event.Id = Number;
    } else if (startsWith(Line, DataField)) {
      if (Event.HasData)
        Event.Data += '\n';
      Event.HasData = true;
      Event.Data += valueOf(Line, DataField);
    }
  }
  return Event;
}

/// Returns the length of the first event including the empty line that ends it,
/// or 0 if it is incomplete.
std::size_t firstEventLength(std::string_view Text) {
  std::string_view Rest = Text;
  while (Rest.find('\n') != std::string_view::npos) {
    if (takeLine(Rest).empty())
      return Text.size() - Rest.size();
  }
  return 0;
}

} // namespace

std::vector<StreamEvent> EventSplitter::append(std::string_view Bytes) {
  this->Partial += Bytes;
  std::vector<StreamEvent> Whole;
  std::string_view Left = this->Partial;
  while (const std::size_t Length = firstEventLength(Left)) {
    Whole.push_back(parseEvent(Left.substr(0, Length)));
    Left.remove_prefix(Length);
  }
  this->Partial.erase(0, this->Partial.size() - Left.size());
  return Whole;
}

} // namespace tanagerlanding
